#ifndef FULMARSHELF_DETAIL_SETTINGS_ROUTE_TABLE_HPP
#define FULMARSHELF_DETAIL_SETTINGS_ROUTE_TABLE_HPP

#include "fulmarshelf/detail/base/error.hpp" // Checked
#include "fulmarshelf/detail/base/time.hpp"  // Micros

#include <cstdint>     // uint32_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace fulmarshelf {

/// @brief A service that takes part of a route's requests.
struct ServiceShare {
  std::string Service_;
  std::uint32_t Weight_ = 1; ///< in proportion to the route's other services
  friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

/// @brief Requests of one host and path prefix, and what is promised for them.
struct Route {
  std::string Host_;   ///< in lower case, without a port
  std::string Prefix_; ///< begins and ends with a slash
  std::vector<ServiceShare> Services_;
  bool Idempotent_ = true;
  Micros Timeout_{0};       ///< longest wait for a final answer
  Micros LatencyTarget_{0}; ///< an answer within this time is a good one
  unsigned Importance_ = 0; ///< 0 to 9, higher is shed later
  unsigned Attempts_ = 1;   ///< backend servers that may run one request
  friend bool operator==(const Route &, const Route &) = default;
};

/// @brief What all routes share about one service.
struct ServiceEntry {
  std::string Name_;
  std::string HealthPath_;
  std::uint32_t Connections_ = 0; ///< that one backend server accepts
  friend bool operator==(const ServiceEntry &, const ServiceEntry &) = default;
};

/// @brief Bounds on what callers may send and how long they may take.
struct CallerLimits {
  std::uint32_t HeaderBytes_ = 16 * 1024;
  std::uint64_t BodyBytes_ = std::uint64_t{1024} * 1024;
  Micros HeaderTimeout_ = millis(5000); ///< from first byte to whole request
  Micros IdleTimeout_ = millis(15'000); ///< between two requests
  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// @brief All routes of a mesh in one version.
struct RouteTable {
  std::vector<Route> Routes_;
  std::vector<ServiceEntry> Services_;
  CallerLimits Limits_;
  friend bool operator==(const RouteTable &, const RouteTable &) = default;
};

/// @brief Route with the longest prefix that begins the path, among those of
/// the host.
/// @return nullptr when no route matches; O(routes)
const Route *findRoute(const RouteTable &Table, std::string_view Host,
                       std::string_view Path);

/// @brief Entry of a service.
/// @return nullptr when the table does not name it; O(services)
const ServiceEntry *findService(const RouteTable &Table,
                                std::string_view Service);

/// @brief Name under which times and levels of a route are learned.
std::string routeName(const Route &Value);

/// @brief Text of a table in INI, and back.
/// @param File name that findings carry
/// @return for parse: the table, or every fault with its line
std::string formatRouteTable(const RouteTable &Table);
Checked<RouteTable> parseRouteTable(const std::string &File,
                                    const std::string &Text);

} // namespace fulmarshelf

#endif
