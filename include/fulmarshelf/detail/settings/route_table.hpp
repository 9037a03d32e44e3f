#ifndef FULMARSHELF_DETAIL_SETTINGS_ROUTE_TABLE_HPP
#define FULMARSHELF_DETAIL_SETTINGS_ROUTE_TABLE_HPP

#include "fulmarshelf/detail/base/error.hpp"      // Checked
#include "fulmarshelf/detail/base/time.hpp"       // Micros
#include "fulmarshelf/detail/settings/tenant.hpp" // Tenancy

#include <cstdint>     // uint32_t
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace fulmarshelf {

/// @brief A service that receives a share of a route's requests.
struct ServiceShare {
  std::string Service_;
  std::uint32_t Weight_ = 1; ///< relative to the other services of the route
  friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

/// @brief Requests to one host and path prefix, and the limits and targets that
/// apply to them.
struct Route {
  std::string Host_;   ///< in lower case, without a port
  std::string Prefix_; ///< begins and ends with a slash
  std::vector<ServiceShare> Services_;
  bool Idempotent_ = true;
  Micros Timeout_{0};       ///< limit on the time to the final answer
  Micros LatencyTarget_{0}; ///< answers within this time meet the target
  unsigned Importance_ = 0; ///< 0 to 9, higher is shed later
  unsigned Attempts_ = 1; ///< limit on the backend servers that run one request
  /// The operator's entry cannot be read; its requests are refused as not run.
  bool OutOfService_ = false;
  bool Public_ = false; ///< needs no credential where tenants are configured
  friend bool operator==(const Route &, const Route &) = default;
};

/// @brief Settings of one service, common to all routes.
struct ServiceEntry {
  std::string Name_;
  std::string HealthPath_;
  std::uint32_t Connections_ = 0; ///< limit of one backend server; 0: not set
  friend bool operator==(const ServiceEntry &, const ServiceEntry &) = default;
};

/// @brief Largest limit on the head of a request, in bytes.
inline constexpr std::uint32_t MaxCallerHeadBytes = 1024 * 1024;

/// @brief Largest limit on the body of a request, in bytes.
inline constexpr std::uint64_t MaxCallerBodyBytes = std::uint64_t{1} << 40;

/// @brief Size and time limits for requests from callers.
struct CallerLimits {
  std::uint32_t HeaderBytes_ = 16 * 1024;
  std::uint64_t BodyBytes_ = std::uint64_t{1024} * 1024;
  /// Limit on the time from the first byte to the complete request.
  Micros HeaderTimeout_ = millis(5000);
  Micros IdleTimeout_ = millis(15'000); ///< between two requests
  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// @brief One version of all routes of a mesh.
struct RouteTable {
  std::vector<Route> Routes_;
  std::vector<ServiceEntry> Services_;
  CallerLimits Limits_;
  Tenancy Tenancy_;
  friend bool operator==(const RouteTable &, const RouteTable &) = default;
};

/// @brief Finds the host's route with the longest prefix that the path has.
/// @return nullptr when no route matches; O(routes)
const Route *findRoute(const RouteTable &Table, std::string_view Host,
                       std::string_view Path);

/// @brief Finds the entry of a service.
/// @return nullptr when the table has no such entry; O(services)
const ServiceEntry *findService(const RouteTable &Table,
                                std::string_view Service);

/// @brief Key under which service times and admission levels of a route are
/// recorded.
std::string routeName(const Route &Value);

/// @brief Formats a table as INI text.
std::string formatRouteTable(const RouteTable &Table);

/// @brief Parses the INI text of a table.
/// @param File file name for findings
/// @return the table, or all faults with their lines
Checked<RouteTable> parseRouteTable(const std::string &File,
                                    const std::string &Text);

} // namespace fulmarshelf

#endif
