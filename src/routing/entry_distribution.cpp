#include "fulmarshelf/detail/routing/entry_distribution.hpp"

#include <cmath>   // exp2
#include <utility> // move

namespace fulmarshelf {

namespace {

constexpr double HalfLifeMicros = 10e6;
constexpr std::size_t MaxRoutes = 4096;
constexpr double MinArrivals = 60;
// Where this many arrivals from a service are expected, none at all occur by
// chance once in four hundred times.
constexpr double MinExpected = 6;
// Callers need not use all VMs evenly, and not in the same way for each route.
constexpr double MaxAbsentShare = 0.1;
constexpr double MinPresentShare = 0.25;

} // namespace

void EntryDistribution::decay(TimePoint Now, Arrivals &Counts) {
  double Factor = std::exp2(
      -static_cast<double>((Now - Counts.UpdatedAt_).count()) / HalfLifeMicros);
  Counts.UpdatedAt_ = Now;
  Counts.Total_ *= Factor;
  for (std::pair<const std::string, double> &Count : Counts.ByService_)
    Count.second *= Factor;
}

void EntryDistribution::setVmShares(std::map<std::string, double> Shares) {
  VmShares_ = std::move(Shares);
}

void EntryDistribution::onArrival(TimePoint Now, const std::string &Route,
                                  const std::string &EntryService) {
  auto Existing = Routes_.find(Route);
  if (Existing == Routes_.end()) {
    if (Routes_.size() >= MaxRoutes)
      return;
    Existing = Routes_.emplace(Route, Arrivals()).first;
    Existing->second.UpdatedAt_ = Now;
  }
  Arrivals &Counts = Existing->second;
  decay(Now, Counts);
  Counts.Total_ += 1;
  Counts.ByService_[EntryService] += 1;
}

bool EntryDistribution::usesAnotherRoute(TimePoint Now,
                                         const std::string &Service,
                                         const std::string &Route) const {
  for (const std::pair<const std::string, Arrivals> &Other : Routes_) {
    if (Other.first == Route)
      continue;
    Arrivals Counts = Other.second;
    decay(Now, Counts);
    auto Count = Counts.ByService_.find(Service);
    if (Count != Counts.ByService_.end() && Count->second >= MinExpected)
      return true;
  }
  return false;
}

RouteOrigin EntryDistribution::origin(TimePoint Now,
                                      const std::string &Route) const {
  auto Existing = Routes_.find(Route);
  if (Existing == Routes_.end())
    return RouteOrigin::Undecided;
  Arrivals Counts = Existing->second;
  decay(Now, Counts);
  if (Counts.Total_ < MinArrivals)
    return RouteOrigin::Undecided;
  unsigned PresentServices = 0;
  bool AllPresent = true;
  for (const std::pair<const std::string, double> &Share : VmShares_) {
    double Expected = Share.second * Counts.Total_;
    if (Expected < MinExpected)
      continue;
    auto Count = Counts.ByService_.find(Share.first);
    double Arrived = Count == Counts.ByService_.end() ? 0 : Count->second;
    if (Arrived < MaxAbsentShare * Expected &&
        usesAnotherRoute(Now, Share.first, Route))
      return RouteOrigin::Work;
    bool Present = Arrived >= MinPresentShare * Expected;
    PresentServices += Present ? 1 : 0;
    AllPresent = AllPresent && Present;
  }
  return AllPresent && PresentServices > 1 ? RouteOrigin::Callers
                                           : RouteOrigin::Undecided;
}

} // namespace fulmarshelf
