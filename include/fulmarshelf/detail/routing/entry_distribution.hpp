#ifndef FULMARSHELF_DETAIL_ROUTING_ENTRY_DISTRIBUTION_HPP
#define FULMARSHELF_DETAIL_ROUTING_ENTRY_DISTRIBUTION_HPP

#include "fulmarshelf/detail/base/time.hpp"         // TimePoint
#include "fulmarshelf/detail/wire/route_origin.hpp" // RouteOrigin

#include <map>           // map
#include <string>        // string
#include <unordered_map> // unordered_map

namespace fulmarshelf {

/// @brief Distinguishes calls from callers' requests by the VMs at which the
/// requests of a route enter the mesh.
///
/// Callers send their requests to the VMs of all services alike. A call enters
/// at the VM of the work that makes it, so the calls of a route enter only at
/// the VMs of the services whose work calls it. An owner sees the services of
/// the entries for each route that it serves, at any load. Which entries prefer
/// this owner depends on placement, so only a service that uses another route
/// of the same owner can be missed among the entries of a route.
///
/// A route that every service calls cannot be distinguished from one of callers
/// in this way, and an owner that serves one route only cannot decide.
///
/// Load pattern: so much work runs at an entry that some work could have made
/// any request that arrives, and OriginTest cannot decide.
class EntryDistribution {
public:
  /// @brief Sets the share of the VMs at which requests can enter by service;
  /// the shares add up to 1.
  void setVmShares(std::map<std::string, double> Shares);

  /// @brief Counts a request of a route.
  /// @param EntryService service of the VM at which it entered
  void onArrival(TimePoint Now, const std::string &Route,
                 const std::string &EntryService);

  /// @brief Decision from the arrivals of about the last fifteen seconds.
  /// O(routes * services)
  RouteOrigin origin(TimePoint Now, const std::string &Route) const;

private:
  struct Arrivals {
    std::map<std::string, double> ByService_;
    double Total_ = 0;
    TimePoint UpdatedAt_;
  };

  static void decay(TimePoint Now, Arrivals &Counts);
  bool usesAnotherRoute(TimePoint Now, const std::string &Service,
                        const std::string &Route) const;

  std::map<std::string, double> VmShares_;
  std::unordered_map<std::string, Arrivals> Routes_;
};

} // namespace fulmarshelf

#endif
