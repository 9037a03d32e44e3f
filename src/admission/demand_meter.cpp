#include "fulmarshelf/detail/admission/demand_meter.hpp"

#include <algorithm> // clamp, max, min
#include <cmath>     // exp, lround
#include <numeric>   // accumulate

namespace fulmarshelf {

namespace {

// Time over which demand is averaged: a chain of calls several hundred
// milliseconds long should count as one piece of demand and not as a series of
// bursts.
constexpr double SmoothingMicros = 500'000;
// Random arrivals need some free slots to keep the queue short; at 0.92 of the
// slots the mean wait in a queue of 15 servers is half a service time.
constexpr double UsableShare = 0.92;
// A trickle is let through even when nothing fits, so that the end of the
// demand is seen.
constexpr double LeastShare = 0.02;

} // namespace

void DemandMeter::onArrival(unsigned Importance, double Weight,
                            Micros Holding) {
  std::size_t Level = std::min<std::size_t>(Importance, ImportanceLevels - 1);
  Asked_[Level] += std::max(1.0, Weight) * static_cast<double>(Holding.count());
}

bool DemandMeter::update(TimePoint Now, double Slots) {
  if (Since_ == TimePoint{})
    Since_ = Now;
  auto Elapsed = static_cast<double>((Now - Since_).count());
  if (Elapsed < static_cast<double>(Interval.count()))
    return false;
  Since_ = Now;
  double Weight = 1 - std::exp(-Elapsed / SmoothingMicros);
  for (std::size_t Level = 0; Level < ImportanceLevels; ++Level) {
    Demand_[Level] += Weight * (Asked_[Level] / Elapsed - Demand_[Level]);
    Asked_[Level] = 0;
  }
  divide(Slots);
  return true;
}

void DemandMeter::divide(double Slots) {
  double Left = std::max(1.0, Slots) * UsableShare;
  for (std::size_t Level = ImportanceLevels; Level > 0; --Level) {
    double Wanted = Demand_[Level - 1];
    double Share = Wanted <= Left ? 1 : Left / Wanted;
    Left -= std::min(Left, Wanted);
    Shares_[Level - 1] = static_cast<std::uint8_t>(
        std::lround(std::clamp(Share, LeastShare, 1.0) * FullShare));
  }
}

double DemandMeter::demand() const {
  return std::accumulate(Demand_.begin(), Demand_.end(), 0.0);
}

} // namespace fulmarshelf
