#include "fulmarshelf/detail/admission/share_table.hpp"

#include <algorithm> // clamp, max
#include <cmath>     // exp, lround

namespace fulmarshelf {

namespace {

// Replies come from several owners whose shares differ; the mean over this time
// is the share that the route can serve.
constexpr double SmoothingMicros = 200'000;
// Without reports a share is held for HoldMicros and then rises to the full
// share over ReleaseMicros: an entry whose requests are mostly rejected
// receives few reports.
constexpr double HoldMicros = 500'000;
constexpr double ReleaseMicros = 1'000'000;
constexpr std::size_t MaxRoutes = 4096;

} // namespace

void ShareTable::learn(TimePoint Now, const std::string &Route,
                       const AdmittedShares &Reported) {
  auto Existing = Routes_.find(Route);
  if (Existing == Routes_.end()) {
    if (Reported == FullShares || Routes_.size() >= MaxRoutes)
      return;
    Existing = Routes_.emplace(Route, Entry()).first;
    Existing->second.Shares_.fill(1);
    Existing->second.UpdatedAt_ = Now;
  }
  Entry &RouteEntry = Existing->second;
  auto Elapsed = static_cast<double>((Now - RouteEntry.UpdatedAt_).count());
  // Each reply counts for at least a tenth of the smoothing time.
  double Weight = 1 - std::exp(-std::max(Elapsed / SmoothingMicros, 0.1));
  for (std::size_t Level = 0; Level < ImportanceCount; ++Level) {
    double Before = current(Now, RouteEntry, Level);
    double Share = static_cast<double>(Reported[Level]) / FullShare;
    RouteEntry.Shares_[Level] = Before + Weight * (Share - Before);
  }
  RouteEntry.UpdatedAt_ = Now;
}

double ShareTable::current(TimePoint Now, const Entry &RouteEntry,
                           std::size_t Level) {
  auto Age = static_cast<double>((Now - RouteEntry.UpdatedAt_).count());
  double ReleasedPart =
      std::clamp((Age - HoldMicros) / ReleaseMicros, 0.0, 1.0);
  return RouteEntry.Shares_[Level] +
         ReleasedPart * (1 - RouteEntry.Shares_[Level]);
}

double ShareTable::share(TimePoint Now, const std::string &Route,
                         std::size_t Level) const {
  auto Existing = Routes_.find(Route);
  return Existing == Routes_.end() ? 1 : current(Now, Existing->second, Level);
}

AdmittedShares ShareTable::shares(TimePoint Now,
                                  const std::string &Route) const {
  auto Existing = Routes_.find(Route);
  AdmittedShares Result = FullShares;
  if (Existing == Routes_.end())
    return Result;
  for (std::size_t Level = 0; Level < ImportanceCount; ++Level)
    Result[Level] = static_cast<std::uint8_t>(
        std::lround(current(Now, Existing->second, Level) * FullShare));
  return Result;
}

bool ShareTable::contains(const std::string &Route) const {
  return Routes_.contains(Route);
}

} // namespace fulmarshelf
