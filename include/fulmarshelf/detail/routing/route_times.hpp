#ifndef FULMARSHELF_DETAIL_ROUTING_ROUTE_TIMES_HPP
#define FULMARSHELF_DETAIL_ROUTING_ROUTE_TIMES_HPP

#include "fulmarshelf/detail/base/time.hpp" // Micros

#include <string>        // string
#include <unordered_map> // unordered_map

namespace fulmarshelf {

/// @brief Learned times of routes.
///
/// The number of routes is bounded; the ones that come after the bound share
/// one entry, so that a caller cannot fill the memory with invented paths.
class RouteTimes {
public:
  /// @brief Counts an answer; O(1).
  void observe(const std::string &Route, Micros Took);
  /// @brief Usual time of a route, 0 when unknown; O(1).
  Micros expected(const std::string &Route) const;
  /// @brief Time that few calls of a route exceed, 0 when unknown; O(1).
  Micros outlierThreshold(const std::string &Route) const;
  /// @brief Time of a route when nothing else runs, 0 when unknown; O(1).
  Micros noLoadTime(const std::string &Route) const;
  /// @brief True when a route takes more than twice the geometric mean of all
  /// routes. Each route counts once, so that many calls of a long route do not
  /// make it the common one.
  bool isLong(const std::string &Route) const;

private:
  struct Times {
    double Mean_ = 0;      ///< microseconds
    double Deviation_ = 0; ///< microseconds
    double Floor_ = 0;     ///< microseconds
  };

  const Times *find(const std::string &Route) const;

  std::unordered_map<std::string, Times> Routes_;
  double LogSum_ = 0; ///< of the routes' means
};

} // namespace fulmarshelf

#endif
