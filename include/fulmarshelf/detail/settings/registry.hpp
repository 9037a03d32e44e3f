#ifndef FULMARSHELF_DETAIL_SETTINGS_REGISTRY_HPP
#define FULMARSHELF_DETAIL_SETTINGS_REGISTRY_HPP

#include "fulmarshelf/detail/settings/route_table.hpp"     // RouteTable
#include "fulmarshelf/detail/settings/team_settings.hpp"   // TeamSettings
#include "fulmarshelf/detail/tenancy/tenant_directory.hpp" // TenantDirectory

#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace fulmarshelf {

/// @brief One version of a team's subtree in the store: its text, or a mark
/// that the subtree was deleted.
struct SubtreeVersion {
  std::string Path_;
  /// For a team, versionOf() the position of the write in the store; for the
  /// route table, the operator's own number.
  std::uint64_t Version_ = 0;
  bool Deleted_ = false;
  std::string Text_; ///< INI; empty when deleted
  friend bool operator==(const SubtreeVersion &,
                         const SubtreeVersion &) = default;
};

/// @brief Path of the route table among the subtrees. Team paths begin with a
/// slash and cannot collide with it.
inline constexpr std::string_view RouteTablePath = "routes";

/// @brief Version of a subtree as operators know it.
std::string versionText(const SubtreeVersion &Subtree);

/// @brief Rules in force for one request.
struct EffectiveRules {
  std::string Team_;          ///< path of the subtree
  std::uint64_t Version_ = 0; ///< version of the subtree
  unsigned Importance_ = 0;
  bool Idempotent_ = true;
  Micros Patience_{0};        ///< longest time to wait for an answer
  std::uint32_t Retries_ = 0; ///< limit for the whole chain of calls
  std::uint64_t MaxBodyBytes_ = 0;
  unsigned RetrySharePercent_ = 0; ///< limit, percent of first attempts
  Micros LatencyTarget_{0};        ///< latency target of the route; 0: none
  bool NeedsCredential_ = false;   ///< callers name their tenant by one
  friend bool operator==(const EffectiveRules &,
                         const EffectiveRules &) = default;
};

/// @brief Result of applying a version.
enum class ApplyResult : std::uint8_t { Applied, NotNewer, Faulty };

/// @brief The subtrees in force on this node.
///
/// The version of a subtree only increases; a deletion is a version, too.
class SettingsRegistry {
public:
  /// @brief Puts a version in force if it is newer and valid.
  /// @return NotNewer for an older or equal version; Faulty when the text does
  /// not pass validation (the previous version stays in force)
  ApplyResult apply(const SubtreeVersion &Offered);

  /// @brief Version of a subtree in force, 0 when none was ever applied;
  /// O(log n).
  std::uint64_t versionOf(const std::string &Path) const;

  /// @brief The subtree version in force at a path.
  /// @return nullptr when none was ever applied
  const SubtreeVersion *find(const std::string &Path) const;

  /// @brief All subtrees with their versions, deleted ones included.
  std::vector<SubtreeVersion> all() const;

  /// @brief Digest of all paths and versions in force, for detecting
  /// differences; O(1).
  std::uint64_t digest() const;

  /// @brief Rules for a request, or nullopt when no team owns the service.
  /// @param Service first segment of the target
  /// @param Path path of the target, which begins with the service
  /// @param Caller kind of caller; an empty or unknown kind has no rules of its
  /// own
  std::optional<EffectiveRules> effective(const std::string &Service,
                                          const std::string &Method,
                                          std::string_view Path,
                                          const std::string &Caller) const;

  /// @brief The route table in force, nullptr when none was ever applied.
  const RouteTable *routes() const { return Routes_ ? &*Routes_ : nullptr; }

  /// @brief The tenants of the route table in force.
  const TenantDirectory &tenants() const { return Tenants_; }

  /// @brief Rules for a request that matches a route: the rules of the route,
  /// overlaid with the settings of the team that owns the service.
  EffectiveRules effective(const Route &Matched, const std::string &Service,
                           const std::string &Method, std::string_view Path,
                           const std::string &Caller) const;

  /// @brief Path of the team that owns a service, empty when there is none.
  std::string teamOf(const std::string &Service) const;

private:
  struct Subtree {
    SubtreeVersion Version_;
    TeamSettings Settings_;
  };

  void rebuildIndex();

  std::map<std::string, Subtree> Subtrees_;
  std::map<std::string, std::string> TeamOfService_;
  std::optional<RouteTable> Routes_;
  TenantDirectory Tenants_;
  std::uint64_t Digest_ = 0;
};

/// @brief Rules of one team for one request.
/// @param Base values to use where the team sets none
/// @param Settings the team's settings
/// @return the rules, with built-in defaults for values that are set nowhere
EffectiveRules effectiveRules(const CallRules &Base,
                              const TeamSettings &Settings,
                              const std::string &Service,
                              const std::string &Method, std::string_view Path,
                              const std::string &Caller);

} // namespace fulmarshelf

#endif
