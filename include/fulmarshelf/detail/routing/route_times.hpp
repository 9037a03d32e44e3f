#ifndef FULMARSHELF_DETAIL_ROUTING_ROUTE_TIMES_HPP
#define FULMARSHELF_DETAIL_ROUTING_ROUTE_TIMES_HPP

#include "fulmarshelf/detail/base/time.hpp" // Micros

#include <string>        // string
#include <unordered_map> // unordered_map

namespace fulmarshelf {

/// @brief Durations of routes, learned from their answers.
///
/// The number of routes is bounded; routes beyond the bound share one entry, so
/// that a caller cannot exhaust the memory with invented paths.
class RouteTimes {
public:
  /// @brief Adds the duration of an answered call; O(1).
  void observe(const std::string &Route, Micros Duration);
  /// @brief Mean duration of a route, 0 when unknown; O(1).
  Micros expected(const std::string &Route) const;
  /// @brief Duration that only few calls of a route exceed, 0 when unknown;
  /// O(1).
  Micros outlierThreshold(const std::string &Route) const;
  /// @brief Duration of a route without load, 0 when unknown; O(1).
  Micros noLoadTime(const std::string &Route) const;
  /// @brief True when the mean duration of a route is more than twice the
  /// geometric mean of all routes. Each route counts once, so that many calls
  /// of a long route do not raise the threshold.
  bool isLong(const std::string &Route) const;

private:
  struct Times {
    double Mean_ = 0;      ///< mean duration in microseconds
    double Deviation_ = 0; ///< mean absolute deviation in microseconds
    double NoLoad_ = 0;    ///< duration without load in microseconds
  };

  /// Entry of a route, or the shared entry; nullptr without either.
  const Times *find(const std::string &Route) const;

  std::unordered_map<std::string, Times> Routes_;
  double LogSum_ = 0; ///< sum of the logarithms of the routes' means
};

} // namespace fulmarshelf

#endif
