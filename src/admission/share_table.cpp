#include "fulmarshelf/detail/admission/share_table.hpp"

#include <algorithm> // clamp, max
#include <cmath>     // exp, lround

namespace fulmarshelf {

namespace {

// Replies come from several owners whose shares differ; the mean over this time
// is the share that the route can serve.
constexpr double SmoothingMicros = 200'000;
// Without reports a share is held for HoldMicros and then rises to the full
// share over ReleaseMicros: an entry node whose requests are mostly
// rejected receives few reports.
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
    Existing = Routes_.emplace(Route, RouteShares()).first;
    Existing->second.Shares_.fill(1);
    Existing->second.UpdatedAt_ = Now;
  }
  RouteShares &Stored = Existing->second;
  auto Elapsed = static_cast<double>((Now - Stored.UpdatedAt_).count());
  // Each reply counts for at least a tenth of the smoothing time.
  double Weight = 1 - std::exp(-std::max(Elapsed / SmoothingMicros, 0.1));
  for (std::size_t Importance = 0; Importance < ImportanceCount; ++Importance) {
    double PreviousShare = currentShare(Now, Stored, Importance);
    double ReportedShare =
        static_cast<double>(Reported[Importance]) / FullShare;
    Stored.Shares_[Importance] =
        PreviousShare + Weight * (ReportedShare - PreviousShare);
  }
  Stored.UpdatedAt_ = Now;
}

double ShareTable::currentShare(TimePoint Now, const RouteShares &Stored,
                                std::size_t Importance) {
  auto Age = static_cast<double>((Now - Stored.UpdatedAt_).count());
  double ReleasedPart =
      std::clamp((Age - HoldMicros) / ReleaseMicros, 0.0, 1.0);
  return Stored.Shares_[Importance] +
         ReleasedPart * (1 - Stored.Shares_[Importance]);
}

double ShareTable::share(TimePoint Now, const std::string &Route,
                         std::size_t Importance) const {
  auto Existing = Routes_.find(Route);
  return Existing == Routes_.end()
             ? 1
             : currentShare(Now, Existing->second, Importance);
}

AdmittedShares ShareTable::shares(TimePoint Now,
                                  const std::string &Route) const {
  auto Existing = Routes_.find(Route);
  AdmittedShares Result = FullShares;
  if (Existing == Routes_.end())
    return Result;
  for (std::size_t Importance = 0; Importance < ImportanceCount; ++Importance)
    Result[Importance] = static_cast<std::uint8_t>(std::lround(
        currentShare(Now, Existing->second, Importance) * FullShare));
  return Result;
}

bool ShareTable::contains(const std::string &Route) const {
  return Routes_.contains(Route);
}

} // namespace fulmarshelf
