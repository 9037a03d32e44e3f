#include "fulmarshelf/detail/routing/route_times.hpp"

#include <algorithm> // max, min
#include <cmath>     // abs, exp, log

namespace fulmarshelf {

namespace {

constexpr std::size_t MaxRoutes = 1024;
constexpr double Weight = 0.05;
constexpr double FloorRise = 0.001;
constexpr double LongFactor = 2.0;
constexpr double UnusualDeviations = 4.0;
const char *const SharedRoute = "*";

Micros toMicros(double Value) {
  return Micros(static_cast<Micros::rep>(Value));
}

} // namespace

const RouteTimes::Times *RouteTimes::find(const std::string &Route) const {
  auto Found = Routes_.find(Route);
  if (Found == Routes_.end())
    Found = Routes_.find(SharedRoute);
  return Found == Routes_.end() ? nullptr : &Found->second;
}

void RouteTimes::observe(const std::string &Route, Micros Took) {
  bool Full = Routes_.size() >= MaxRoutes && !Routes_.contains(Route);
  const bool Fresh = !Routes_.contains(Full ? SharedRoute : Route);
  Times &Entry = Routes_[Full ? SharedRoute : Route];
  double Value = std::max(1.0, static_cast<double>(Took.count()));
  if (Fresh)
    Entry = {Value, Value / 2, Value};
  double Error = Value - Entry.Mean_;
  LogSum_ -= Fresh ? 0 : std::log(Entry.Mean_);
  Entry.Mean_ += Weight * Error;
  LogSum_ += std::log(Entry.Mean_);
  Entry.Deviation_ += Weight * (std::abs(Error) - Entry.Deviation_);
  // The floor follows the fastest calls and forgets them slowly.
  Entry.Floor_ = std::min(Entry.Floor_ * (1 + FloorRise), Value);
}

Micros RouteTimes::expected(const std::string &Route) const {
  const Times *Known = find(Route);
  return Known == nullptr ? Micros(0) : toMicros(Known->Mean_);
}

Micros RouteTimes::outlierThreshold(const std::string &Route) const {
  const Times *Known = find(Route);
  if (Known == nullptr)
    return Micros(0);
  return toMicros(Known->Mean_ + UnusualDeviations * Known->Deviation_);
}

Micros RouteTimes::noLoadTime(const std::string &Route) const {
  const Times *Known = find(Route);
  return Known == nullptr ? Micros(0) : toMicros(Known->Floor_);
}

bool RouteTimes::isLong(const std::string &Route) const {
  const Times *Known = find(Route);
  if (Known == nullptr)
    return false;
  double Middle = std::exp(LogSum_ / static_cast<double>(Routes_.size()));
  return Known->Mean_ > LongFactor * Middle;
}

} // namespace fulmarshelf
