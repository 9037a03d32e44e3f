#ifndef FULMARSHELF_TOOLS_TOPOLOGY_HPP
#define FULMARSHELF_TOOLS_TOPOLOGY_HPP

#include "fulmarshelf/detail/base/error.hpp" // Checked

#include <string> // string
#include <vector> // vector

namespace fulmarshelf::tools {

/// @brief A call that a route makes before it responds.
struct RouteCall {
  std::string Method_;
  std::string Target_; ///< `/service/path`
  friend bool operator==(const RouteCall &, const RouteCall &) = default;
};

/// @brief Behaviour of a stand-in backend server for one path.
struct RouteBehaviour {
  std::string Service_;
  std::string Path_;         ///< path after the service name
  double TimeMs_ = 1;        ///< service time, the mean when `Exponential_`
  bool Exponential_ = false; ///< distribution of the times; else constant
  unsigned BodyBytes_ = 64;
  std::vector<RouteCall> Calls_; ///< made one after the other
  friend bool operator==(const RouteBehaviour &,
                         const RouteBehaviour &) = default;
};

/// @brief Size of each backend server of a service.
struct ServiceShape {
  std::string Service_;
  unsigned Slots_ = 0;
  unsigned Connections_ = 0;
  friend bool operator==(const ServiceShape &, const ServiceShape &) = default;
};

/// @brief A call graph for tests and measurements.
struct Topology {
  std::vector<ServiceShape> Services_;
  std::vector<RouteBehaviour> Routes_;
  friend bool operator==(const Topology &, const Topology &) = default;
};

/// @brief Parses a topology from INI and reports all its faults together.
Checked<Topology> parseTopology(const std::string &File,
                                const std::string &Text);

} // namespace fulmarshelf::tools

#endif
