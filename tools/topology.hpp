#ifndef FULMARSHELF_TOOLS_TOPOLOGY_HPP
#define FULMARSHELF_TOOLS_TOPOLOGY_HPP

#include "fulmarshelf/detail/base/error.hpp" // Checked

#include <string> // string
#include <vector> // vector

namespace fulmarshelf::tools {

/// @brief One call that a route makes before it answers.
struct RouteCall {
  std::string Method_;
  std::string Target_; ///< `/service/path`
  friend bool operator==(const RouteCall &, const RouteCall &) = default;
};

/// @brief What a stand-in backend server does for one path.
struct RouteBehaviour {
  std::string Service_;
  std::string Path_; ///< without the service
  double TimeMs_ = 1;
  bool Exponential_ = false; ///< times vary; otherwise they are equal
  unsigned BodyBytes_ = 64;
  std::vector<RouteCall> Calls_; ///< one after the other
  friend bool operator==(const RouteBehaviour &,
                         const RouteBehaviour &) = default;
};

/// @brief Size of one service's backend servers.
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

/// @brief Reads a topology from INI, all faults reported together.
Checked<Topology> parseTopology(const std::string &File,
                                const std::string &Text);

} // namespace fulmarshelf::tools

#endif
