#ifndef FULMARSHELF_DETAIL_ROUTING_WEIGHTED_ROUND_ROBIN_HPP
#define FULMARSHELF_DETAIL_ROUTING_WEIGHTED_ROUND_ROBIN_HPP

#include "fulmarshelf/detail/settings/route_table.hpp" // ServiceShare

#include <cstdint>       // int64_t
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief Distributes the requests of one route to the route's services by
/// weight (smooth weighted round robin).
///
/// After any number of requests, each service is within one request of its
/// share, which a random selection would not guarantee.
class WeightedRoundRobin {
public:
  /// @brief Service that receives the next request; O(services of the route).
  /// @param Shares the route's services, at least one with a weight above 0
  std::string next(const std::vector<ServiceShare> &Shares);

private:
  /// By service: share of the requests so far minus requests received, times
  /// the sum of the weights.
  std::unordered_map<std::string, std::int64_t> Credits_;
};

} // namespace fulmarshelf

#endif
