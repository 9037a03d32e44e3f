#include "fulmarshelf/detail/admission/share_table.hpp"

#include <algorithm> // clamp, max
#include <cmath>     // exp, lround

namespace fulmarshelf {

namespace {

// Answers come from several owners with shares of their own; the mean over
// this time is what the route can bear.
constexpr double SmoothingMicros = 200'000;
// Without news a share holds for a while and then rises to the full one over
// as long again: an entry that is let in little hears little.
constexpr double HoldMicros = 500'000;
constexpr double ReleaseMicros = 1'000'000;
constexpr std::size_t MaxRoutes = 4096;

} // namespace

void ShareTable::learn(TimePoint Now, const std::string &Route,
                       const AdmittedShares &Told) {
  auto Found = Routes_.find(Route);
  if (Found == Routes_.end()) {
    if (Told == FullShares || Routes_.size() >= MaxRoutes)
      return;
    Found = Routes_.emplace(Route, Entry()).first;
    Found->second.Shares_.fill(1);
    Found->second.UpdatedAt_ = Now;
  }
  Entry &Known = Found->second;
  auto Elapsed = static_cast<double>((Now - Known.UpdatedAt_).count());
  // One answer counts for at least a tenth of the smoothing time.
  double Weight = 1 - std::exp(-std::max(Elapsed / SmoothingMicros, 0.1));
  for (std::size_t Level = 0; Level < ImportanceLevels; ++Level) {
    double Before = current(Now, Known, Level);
    double Share = static_cast<double>(Told[Level]) / FullShare;
    Known.Shares_[Level] = Before + Weight * (Share - Before);
  }
  Known.UpdatedAt_ = Now;
}

double ShareTable::current(TimePoint Now, const Entry &Known,
                           std::size_t Level) {
  auto Age = static_cast<double>((Now - Known.UpdatedAt_).count());
  double Released = std::clamp((Age - HoldMicros) / ReleaseMicros, 0.0, 1.0);
  return Known.Shares_[Level] + Released * (1 - Known.Shares_[Level]);
}

double ShareTable::share(TimePoint Now, const std::string &Route,
                         std::size_t Level) const {
  auto Found = Routes_.find(Route);
  return Found == Routes_.end() ? 1 : current(Now, Found->second, Level);
}

AdmittedShares ShareTable::shares(TimePoint Now,
                                  const std::string &Route) const {
  auto Found = Routes_.find(Route);
  AdmittedShares Result = FullShares;
  if (Found == Routes_.end())
    return Result;
  for (std::size_t Level = 0; Level < ImportanceLevels; ++Level)
    Result[Level] = static_cast<std::uint8_t>(
        std::lround(current(Now, Found->second, Level) * FullShare));
  return Result;
}

bool ShareTable::contains(const std::string &Route) const {
  return Routes_.contains(Route);
}

} // namespace fulmarshelf
