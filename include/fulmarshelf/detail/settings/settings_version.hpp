#ifndef FULMARSHELF_DETAIL_SETTINGS_SETTINGS_VERSION_HPP
#define FULMARSHELF_DETAIL_SETTINGS_SETTINGS_VERSION_HPP

#include <compare>  // strong_ordering
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string

namespace fulmarshelf {

/// @brief Position of a write in the history of the store. Revisions are given
/// out again in each era, so positions of different eras are ordered by era.
struct StorePosition {
  std::uint64_t Era_ = 0;      ///< 0: the store names no eras
  std::uint64_t Revision_ = 0; ///< below MaxStoreRevision
  friend auto operator<=>(const StorePosition &,
                          const StorePosition &) = default;
};

/// @brief Highest era of the store.
inline constexpr std::uint64_t MaxStoreEra = (std::uint64_t{1} << 23) - 1;

/// @brief Upper bound of the revisions within an era.
inline constexpr std::uint64_t MaxStoreRevision = std::uint64_t{1} << 40;

/// @brief Version of a team's settings: the position as one number of the same
/// order, which nodes of releases without eras order as well.
std::uint64_t versionOf(const StorePosition &Position);

/// @brief Inverse of versionOf().
StorePosition positionOf(std::uint64_t Version);

/// @brief Text of a version for operators: `14`, or `2.14` for revision 14 of
/// era 2.
std::string formatVersion(std::uint64_t Version);

/// @brief Inverse of formatVersion().
/// @return nullopt when the text is no version
std::optional<std::uint64_t> parseVersion(const std::string &Text);

} // namespace fulmarshelf

#endif
