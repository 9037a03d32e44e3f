#include "fulmarshelf/detail/admission/demand_meter.hpp"

#include <algorithm> // clamp, max, min
#include <cmath>     // exp, lround
#include <numeric>   // accumulate

namespace fulmarshelf {

namespace {

// Averaging period of demand: a chain of calls that takes several hundred
// milliseconds should count as continuous demand and not as a series of bursts.
constexpr double SmoothingMicros = 300'000;
// Averaging period of the mean slot time, which depends on the mix of routes
// and changes more slowly than the demand.
constexpr double SlotTimeMicros = 2'000'000;
// Random arrivals need some free slots to keep the queue short: with 0.92 of
// the slots in use, the mean queue delay at 15 slots is half a service time.
constexpr double UsableShare = 0.92;
// A queue that has formed is drained within this time: half of the shortest
// time-out of a chain, so that the callers still wait for the queued work.
constexpr double DrainMicros = 400'000;
// Share of the slots that is allocated even under a large backlog.
constexpr double MinUsableShare = 0.3;
// The share for placement is below UsableShare, so that demand is moved to
// other domains before a queue forms.
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

void DemandMeter::Series::add(std::size_t Importance, double SlotMicros) {
  Accumulated_[Importance] += SlotMicros;
}

void DemandMeter::Series::close(double ElapsedMicros) {
  double Weight = 1 - std::exp(-ElapsedMicros / SmoothingMicros);
  for (std::size_t Index = 0; Index < ImportanceCount; ++Index) {
    Mean_[Index] +=
        Weight * (Accumulated_[Index] / ElapsedMicros - Mean_[Index]);
    Accumulated_[Index] = 0;
  }
}

void DemandMeter::onArrival(const DemandArrival &Arrival) {
  std::size_t Importance =
      std::min<std::size_t>(Arrival.Importance_, ImportanceCount - 1);
  auto SlotMicros = static_cast<double>(Arrival.SlotTime_.count());
  double DemandWeight = std::max(1.0, Arrival.DemandWeight_);
  Roots_.add(Importance, SlotMicros * DemandWeight);
  SlotTimes_.SlotMicros_ += SlotMicros * DemandWeight;
  SlotTimes_.Requests_ += DemandWeight;
  Series &DomainDemand = Arrival.SameDomain_ ? Local_ : Remote_;
  DomainDemand.add(Importance,
                   SlotMicros * std::max(1.0, Arrival.PlacementWeight_));
}

bool DemandMeter::update(TimePoint Now, double Slots, Micros Backlog,
                         std::optional<double> Rate) {
  if (LastUpdate_ == TimePoint{})
    LastUpdate_ = Now;
  auto ElapsedMicros = static_cast<double>((Now - LastUpdate_).count());
  if (ElapsedMicros < static_cast<double>(Interval.count()))
    return false;
  LastUpdate_ = Now;
  Roots_.close(ElapsedMicros);
  Local_.close(ElapsedMicros);
  Remote_.close(ElapsedMicros);
  computeShares(usableSlots(std::max(1.0, Slots), Rate), Backlog);
  double Decay = std::exp(-ElapsedMicros / SlotTimeMicros);
  SlotTimes_.SlotMicros_ *= Decay;
  SlotTimes_.Requests_ *= Decay;
  return true;
}

double DemandMeter::usableSlots(double Slots,
                                std::optional<double> Rate) const {
  if (!Rate || SlotTimes_.Requests_ <= 0)
    return Slots;
  constexpr double MicrosPerSecond = 1e6;
  double MeanSlotSeconds =
      SlotTimes_.SlotMicros_ / SlotTimes_.Requests_ / MicrosPerSecond;
  return std::min(Slots, *Rate * MeanSlotSeconds);
}

void DemandMeter::computeShares(double Slots, Micros Backlog) {
  double DrainSlots = static_cast<double>(Backlog.count()) / DrainMicros;
  double SlotsForRoots =
      std::max(Slots * MinUsableShare, Slots * UsableShare - DrainSlots);
  double SlotsForPlacement = std::max(
      Slots * MinUsableShare, Slots * PlacementUsableShare - DrainSlots);
  for (std::size_t Bound = ImportanceCount; Bound > 0; --Bound) {
    std::size_t Importance = Bound - 1;
    Shares_.Admitted_[Importance] =
        allocateShare(Roots_.Mean_[Importance], SlotsForRoots);
    Shares_.Local_[Importance] =
        allocateShare(Local_.Mean_[Importance], SlotsForPlacement);
    Shares_.Remote_[Importance] =
        allocateShare(Remote_.Mean_[Importance], SlotsForPlacement);
  }
}

double DemandMeter::demand() const {
  return std::accumulate(Roots_.Mean_.begin(), Roots_.Mean_.end(), 0.0);
}

} // namespace fulmarshelf
