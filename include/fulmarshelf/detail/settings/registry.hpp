#ifndef FULMARSHELF_DETAIL_SETTINGS_REGISTRY_HPP
#define FULMARSHELF_DETAIL_SETTINGS_REGISTRY_HPP

#include "fulmarshelf/detail/settings/route_table.hpp"   // RouteTable
#include "fulmarshelf/detail/settings/team_settings.hpp" // TeamSettings

#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace fulmarshelf {

/// @brief One team's subtree as it stands in the store: a version with its
/// text, or with a note that it was deleted.
struct SubtreeVersion {
  std::string Path_;
  std::uint64_t Version_ = 0; ///< the store's revision, never used twice
  bool Deleted_ = false;
  std::string Text_; ///< INI; empty when deleted
  friend bool operator==(const SubtreeVersion &,
                         const SubtreeVersion &) = default;
};

/// @brief Path of the route table among the subtrees. Paths of teams begin with
/// a slash, so none of them can be the same.
inline constexpr std::string_view RouteTablePath = "routes";

/// @brief What is in force for one request.
struct EffectiveRules {
  std::string Team_;          ///< path of the subtree
  std::uint64_t Version_ = 0; ///< version of the subtree
  unsigned Importance_ = 0;
  bool Idempotent_ = true;
  Micros Patience_{0};
  std::uint32_t Retries_ = 0;
  std::uint64_t MaxBody_ = 0;
  unsigned RetryShare_ = 0;
  Micros LatencyTarget_{0}; ///< a good answer comes within it; 0: no such aim
  friend bool operator==(const EffectiveRules &,
                         const EffectiveRules &) = default;
};

/// @brief What became of a version that was offered.
enum class ApplyResult : std::uint8_t { Applied, NotNewer, Faulty };

/// @brief The subtrees that this node has in force.
///
/// Versions of a subtree only rise; deletion is a version like any other.
class SettingsRegistry {
public:
  /// @brief Puts a version in force if it is newer and free of faults.
  /// @return NotNewer for an old or equal version, Faulty when the text does
  /// not pass the check (the version before stays in force)
  ApplyResult apply(const SubtreeVersion &Offered);

  /// @brief Version in force of a subtree, 0 when none was ever seen; O(log n).
  std::uint64_t versionOf(const std::string &Path) const;

  /// @brief The subtree at a path as it was applied.
  /// @return nullptr when none was ever seen
  const SubtreeVersion *find(const std::string &Path) const;

  /// @brief All subtrees with their versions, deleted ones included.
  std::vector<SubtreeVersion> all() const;

  /// @brief Number that differs when any version differs; O(1).
  std::uint64_t digest() const;

  /// @brief Rules for a request, or nullopt when no team has the service.
  /// @param Service first segment of the target
  /// @param Path target's path, which begins with the service
  /// @param Caller kind of caller; empty or unknown kinds get the defaults
  std::optional<EffectiveRules> effective(const std::string &Service,
                                          const std::string &Method,
                                          std::string_view Path,
                                          const std::string &Caller) const;

  /// @brief The route table in force, nullptr when none was ever seen.
  const RouteTable *routes() const { return Routes_ ? &*Routes_ : nullptr; }

  /// @brief Rules for a request that a route matched: those of the route, which
  /// the settings of the service's team overlay.
  EffectiveRules effective(const Route &Matched, const std::string &Service,
                           const std::string &Method, std::string_view Path,
                           const std::string &Caller) const;

  /// @brief Path of the team that has a service, empty when none does.
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
  std::uint64_t Digest_ = 0;
};

/// @brief Rules of one team for one request.
/// @param Base values that hold where the team sets none
/// @param Settings the team's settings
/// @return values with the built-in defaults filled in
EffectiveRules effectiveRules(const CallRules &Base,
                              const TeamSettings &Settings,
                              const std::string &Service,
                              const std::string &Method, std::string_view Path,
                              const std::string &Caller);

} // namespace fulmarshelf

#endif
