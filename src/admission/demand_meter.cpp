#include "fulmarshelf/detail/admission/demand_meter.hpp"

#include <algorithm> // clamp, max, min
#include <cmath>     // exp, lround
#include <numeric>   // accumulate

namespace fulmarshelf {

namespace {

// Time over which demand is averaged: a chain of calls several hundred
// milliseconds long should count as one piece of demand and not as a series of
// bursts.
constexpr double SmoothingMicros = 300'000;
// Random arrivals need some free slots to keep the queue short; at 0.92 of the
// slots the mean wait in a queue of 15 servers is half a service time.
constexpr double UsableShare = 0.92;
// A queue that has formed is worked off within this time: half of the shortest
// patience of a chain, so that what waits is still wanted.
constexpr double DrainMicros = 400'000;
constexpr double LeastUsableShare = 0.3;
// Demand is moved to other domains before a queue forms at all.
constexpr double KeptShare = 0.85;
// A trickle is let through even when nothing fits, so that the end of the
// demand is seen.
constexpr double LeastShare = 0.02;

// Takes what is wanted from what is left; returns the share that was there.
std::uint8_t takeShare(double Wanted, double &Left) {
  double Share = Wanted <= Left ? 1 : Left / Wanted;
  Left -= std::min(Left, Wanted);
  return static_cast<std::uint8_t>(
      std::lround(std::clamp(Share, LeastShare, 1.0) * FullShare));
}

} // namespace

void DemandMeter::Series::add(std::size_t Level, double Value) {
  Asked_[Level] += Value;
}

void DemandMeter::Series::close(double Elapsed) {
  double Weight = 1 - std::exp(-Elapsed / SmoothingMicros);
  for (std::size_t Level = 0; Level < ImportanceLevels; ++Level) {
    Mean_[Level] += Weight * (Asked_[Level] / Elapsed - Mean_[Level]);
    Asked_[Level] = 0;
  }
}

void DemandMeter::onArrival(const DemandArrival &Arrival) {
  std::size_t Level =
      std::min<std::size_t>(Arrival.Importance_, ImportanceLevels - 1);
  auto Holding = static_cast<double>(Arrival.SlotTime_.count());
  Roots_.add(Level, Holding * std::max(1.0, Arrival.DemandWeight_));
  Series &Place = Arrival.SameDomain_ ? Local_ : Remote_;
  Place.add(Level, Holding * std::max(1.0, Arrival.PlacementWeight_));
}

bool DemandMeter::update(TimePoint Now, double Slots, Micros Backlog) {
  if (Since_ == TimePoint{})
    Since_ = Now;
  auto Elapsed = static_cast<double>((Now - Since_).count());
  if (Elapsed < static_cast<double>(Interval.count()))
    return false;
  Since_ = Now;
  Roots_.close(Elapsed);
  Local_.close(Elapsed);
  Remote_.close(Elapsed);
  divide(std::max(1.0, Slots), Backlog);
  return true;
}

void DemandMeter::divide(double Slots, Micros Backlog) {
  double Draining = static_cast<double>(Backlog.count()) / DrainMicros;
  double LeftForRoots =
      std::max(Slots * LeastUsableShare, Slots * UsableShare - Draining);
  double LeftForPlaces =
      std::max(Slots * LeastUsableShare, Slots * KeptShare - Draining);
  for (std::size_t Level = ImportanceLevels; Level > 0; --Level) {
    std::size_t Index = Level - 1;
    Shares_.Admitted_[Index] = takeShare(Roots_.Mean_[Index], LeftForRoots);
    Shares_.Local_[Index] = takeShare(Local_.Mean_[Index], LeftForPlaces);
    Shares_.Remote_[Index] = takeShare(Remote_.Mean_[Index], LeftForPlaces);
  }
}

double DemandMeter::demand() const {
  return std::accumulate(Roots_.Mean_.begin(), Roots_.Mean_.end(), 0.0);
}

} // namespace fulmarshelf
