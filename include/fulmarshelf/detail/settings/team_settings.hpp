#ifndef FULMARSHELF_DETAIL_SETTINGS_TEAM_SETTINGS_HPP
#define FULMARSHELF_DETAIL_SETTINGS_TEAM_SETTINGS_HPP

#include "fulmarshelf/detail/base/error.hpp" // Checked
#include "fulmarshelf/detail/base/time.hpp"  // Micros

#include <cstdint>  // uint32_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace fulmarshelf {

/// @brief Values that the defaults, a service and a route may each set. A route
/// overrides a service, which overrides the defaults.
struct CallRules {
  std::optional<unsigned> Importance_; ///< 0 to 9
  /// Default: true for GET, HEAD, PUT and OPTIONS.
  std::optional<bool> Idempotent_;
  std::optional<Micros> Patience_;       ///< longest time to wait for an answer
  std::optional<std::uint32_t> Retries_; ///< limit for the whole chain of calls
  std::optional<std::uint64_t> MaxBodyBytes_; ///< bytes
  /// Limit on retries in percent of first attempts.
  std::optional<unsigned> RetrySharePercent_;
  friend bool operator==(const CallRules &, const CallRules &) = default;
};

/// @brief Rules of one service.
struct ServiceRules {
  std::string Service_;
  CallRules Rules_;
  friend bool operator==(const ServiceRules &, const ServiceRules &) = default;
};

/// @brief Rules for requests to a service whose path has a given prefix.
struct RouteRules {
  std::string Service_;
  std::string Prefix_; ///< begins with a slash; excludes the service name
  std::vector<std::string> Methods_; ///< empty: all
  CallRules Rules_;
  friend bool operator==(const RouteRules &, const RouteRules &) = default;
};

/// @brief Time limit and retries for one kind of caller.
struct CallerRules {
  std::string Caller_;
  std::optional<Micros> Patience_;
  std::optional<std::uint32_t> Retries_;
  friend bool operator==(const CallerRules &, const CallerRules &) = default;
};

/// @brief The validated settings of one team's subtree.
struct TeamSettings {
  std::vector<std::string> Services_;
  CallRules Defaults_;
  std::vector<ServiceRules> ServiceRules_;
  std::vector<RouteRules> Routes_;
  std::vector<CallerRules> Callers_;
  friend bool operator==(const TeamSettings &, const TeamSettings &) = default;
};

/// @brief Reads a team's settings; docs/SETTINGS.md lists the keys.
/// @param File file name for findings
/// @param Text INI text, at most MaxSettingsBytes
/// @return the settings, or all faults with their lines
Checked<TeamSettings> parseTeamSettings(const std::string &File,
                                        const std::string &Text);

/// @brief True for paths such as `/name/name`, with at most 64 characters and
/// four names of lower-case letters, digits and dashes.
bool isTeamPath(const std::string &Path);

} // namespace fulmarshelf

#endif
