#ifndef FULMARSHELF_DETAIL_SETTINGS_TEAM_SETTINGS_HPP
#define FULMARSHELF_DETAIL_SETTINGS_TEAM_SETTINGS_HPP

#include "fulmarshelf/detail/base/error.hpp" // Checked
#include "fulmarshelf/detail/base/time.hpp"  // Micros

#include <cstdint>  // uint32_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace fulmarshelf {

/// @brief Values that defaults, a service and a route may each set; the
/// narrowest place that sets a value wins.
struct CallRules {
  std::optional<unsigned> Importance_;   ///< 0 to 9
  std::optional<bool> Idempotent_;       ///< GET, HEAD and PUT: yes
  std::optional<Micros> Patience_;       ///< most time for an answer
  std::optional<std::uint32_t> Retries_; ///< over the whole chain
  std::optional<std::uint64_t> MaxBody_; ///< bytes
  std::optional<unsigned> RetryShare_;   ///< percent of fresh work
  friend bool operator==(const CallRules &, const CallRules &) = default;
};

/// @brief Rules of one service.
struct ServiceRules {
  std::string Service_;
  CallRules Rules_;
  friend bool operator==(const ServiceRules &, const ServiceRules &) = default;
};

/// @brief Rules of the requests to a service whose path has a prefix.
struct RouteRules {
  std::string Service_;
  std::string Prefix_; ///< begins with a slash, without the service
  std::vector<std::string> Methods_; ///< empty: all
  CallRules Rules_;
  friend bool operator==(const RouteRules &, const RouteRules &) = default;
};

/// @brief How patient one kind of caller may be.
struct CallerRules {
  std::string Caller_;
  std::optional<Micros> Patience_;
  std::optional<std::uint32_t> Retries_;
  friend bool operator==(const CallerRules &, const CallerRules &) = default;
};

/// @brief One team's subtree, checked as a whole.
struct TeamSettings {
  std::vector<std::string> Services_;
  CallRules Defaults_;
  std::vector<ServiceRules> ServiceRules_;
  std::vector<RouteRules> Routes_;
  std::vector<CallerRules> Callers_;
  friend bool operator==(const TeamSettings &, const TeamSettings &) = default;
};

/// @brief Reads a team's settings; docs/SETTINGS.md lists the keys.
/// @param File name that findings carry
/// @param Text INI text, at most MaxSettingsBytes
/// @return the settings, or every fault with its line
Checked<TeamSettings> parseTeamSettings(const std::string &File,
                                        const std::string &Text);

/// @brief True for `/name` with lower-case letters, digits and dashes, up to
/// 64 characters and four names deep.
bool isTeamPath(const std::string &Path);

} // namespace fulmarshelf

#endif
