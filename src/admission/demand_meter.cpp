#include "fulmarshelf/detail/admission/demand_meter.hpp"

#include <algorithm> // clamp, max, min
#include <cmath>     // exp, lround
#include <numeric>   // accumulate

namespace fulmarshelf {

namespace {

// Averaging period of demand: a chain of calls that takes several hundred
// milliseconds should count as continuous demand and not as a series of bursts.
constexpr double SmoothingMicros = 300'000;
// Random arrivals need some free slots to keep the queue short: with 0.92 of
// the slots in use, the mean queue delay at 15 slots is half a service time.
constexpr double UsableShare = 0.92;
// A queue that has formed is drained within this time: half of the shortest
// time-out of a chain, so that its callers still wait for the queued work.
constexpr double DrainMicros = 400'000;
constexpr double MinUsableShare = 0.3;
// Below UsableShare, so that demand is moved to other domains before a queue
// forms.
constexpr double PlacementUsableShare = 0.85;
// A minimum share is admitted even when no capacity is left, so that the end of
// the demand is detected.
constexpr double MinAdmittedShare = 0.02;

// Subtracts the demand from the remaining slots; returns the admitted share of
// the demand.
std::uint8_t allocateShare(double Demand, double &Remaining) {
  double Share = Demand <= Remaining ? 1 : Remaining / Demand;
  Remaining -= std::min(Remaining, Demand);
  return static_cast<std::uint8_t>(
      std::lround(std::clamp(Share, MinAdmittedShare, 1.0) * FullShare));
}

} // namespace

void DemandMeter::Series::add(std::size_t Level, double Value) {
  Accumulated_[Level] += Value;
}

void DemandMeter::Series::close(double Elapsed) {
  double Weight = 1 - std::exp(-Elapsed / SmoothingMicros);
  for (std::size_t Level = 0; Level < ImportanceCount; ++Level) {
    Mean_[Level] += Weight * (Accumulated_[Level] / Elapsed - Mean_[Level]);
    Accumulated_[Level] = 0;
  }
}

void DemandMeter::onArrival(const DemandArrival &Arrival) {
  std::size_t Level =
      std::min<std::size_t>(Arrival.Importance_, ImportanceCount - 1);
  auto SlotMicros = static_cast<double>(Arrival.SlotTime_.count());
  Roots_.add(Level, SlotMicros * std::max(1.0, Arrival.DemandWeight_));
  Series &Origin = Arrival.SameDomain_ ? Local_ : Remote_;
  Origin.add(Level, SlotMicros * std::max(1.0, Arrival.PlacementWeight_));
}

bool DemandMeter::update(TimePoint Now, double Slots, Micros Backlog) {
  if (LastUpdate_ == TimePoint{})
    LastUpdate_ = Now;
  auto Elapsed = static_cast<double>((Now - LastUpdate_).count());
  if (Elapsed < static_cast<double>(Interval.count()))
    return false;
  LastUpdate_ = Now;
  Roots_.close(Elapsed);
  Local_.close(Elapsed);
  Remote_.close(Elapsed);
  computeShares(std::max(1.0, Slots), Backlog);
  return true;
}

void DemandMeter::computeShares(double Slots, Micros Backlog) {
  double DrainSlots = static_cast<double>(Backlog.count()) / DrainMicros;
  double SlotsForRoots =
      std::max(Slots * MinUsableShare, Slots * UsableShare - DrainSlots);
  double SlotsForPlacement = std::max(
      Slots * MinUsableShare, Slots * PlacementUsableShare - DrainSlots);
  for (std::size_t Level = ImportanceCount; Level > 0; --Level) {
    std::size_t Index = Level - 1;
    Shares_.Admitted_[Index] =
        allocateShare(Roots_.Mean_[Index], SlotsForRoots);
    Shares_.Local_[Index] =
        allocateShare(Local_.Mean_[Index], SlotsForPlacement);
    Shares_.Remote_[Index] =
        allocateShare(Remote_.Mean_[Index], SlotsForPlacement);
  }
}

double DemandMeter::demand() const {
  return std::accumulate(Roots_.Mean_.begin(), Roots_.Mean_.end(), 0.0);
}

} // namespace fulmarshelf
