#include "fulmarshelf/detail/routing/route_times.hpp"

#include <algorithm> // max, min
#include <cmath>     // abs, exp, log

namespace fulmarshelf {

namespace {

constexpr std::size_t MaxRoutes = 1024;
constexpr double Smoothing = 0.05;
// Relative rise of the no-load time with each slower call.
constexpr double NoLoadRise = 0.001;
constexpr double LongFactor = 2.0;
constexpr double OutlierDeviations = 4.0;
const char *const OverflowRoute = "*";

Micros toMicros(double Duration) {
  return Micros(static_cast<Micros::rep>(Duration));
}

} // namespace

const RouteTimes::Times *RouteTimes::find(const std::string &Route) const {
  auto Existing = Routes_.find(Route);
  if (Existing == Routes_.end())
    Existing = Routes_.find(OverflowRoute);
  return Existing == Routes_.end() ? nullptr : &Existing->second;
}

void RouteTimes::observe(const std::string &Route, Micros Duration) {
  bool Overflow = Routes_.size() >= MaxRoutes && !Routes_.contains(Route);
  const bool IsNew = !Routes_.contains(Overflow ? OverflowRoute : Route);
  Times &Entry = Routes_[Overflow ? OverflowRoute : Route];
  double Observed = std::max(1.0, static_cast<double>(Duration.count()));
  if (IsNew)
    Entry = {Observed, Observed / 2, Observed};
  double Error = Observed - Entry.Mean_;
  LogSum_ -= IsNew ? 0 : std::log(Entry.Mean_);
  Entry.Mean_ += Smoothing * Error;
  LogSum_ += std::log(Entry.Mean_);
  Entry.Deviation_ += Smoothing * (std::abs(Error) - Entry.Deviation_);
  // The no-load time drops to the fastest calls and rises slowly otherwise.
  Entry.NoLoad_ = std::min(Entry.NoLoad_ * (1 + NoLoadRise), Observed);
}

Micros RouteTimes::expected(const std::string &Route) const {
  const Times *Existing = find(Route);
  return Existing == nullptr ? Micros(0) : toMicros(Existing->Mean_);
}

Micros RouteTimes::outlierThreshold(const std::string &Route) const {
  const Times *Existing = find(Route);
  if (Existing == nullptr)
    return Micros(0);
  return toMicros(Existing->Mean_ + OutlierDeviations * Existing->Deviation_);
}

Micros RouteTimes::noLoadTime(const std::string &Route) const {
  const Times *Existing = find(Route);
  return Existing == nullptr ? Micros(0) : toMicros(Existing->NoLoad_);
}

bool RouteTimes::isLong(const std::string &Route) const {
  const Times *Existing = find(Route);
  if (Existing == nullptr)
    return false;
  double GeometricMean =
      std::exp(LogSum_ / static_cast<double>(Routes_.size()));
  return Existing->Mean_ > LongFactor * GeometricMean;
}

} // namespace fulmarshelf
