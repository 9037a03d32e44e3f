#ifndef FULMARSHELF_DETAIL_ADMISSION_SHARE_TABLE_HPP
#define FULMARSHELF_DETAIL_ADMISSION_SHARE_TABLE_HPP

#include "fulmarshelf/detail/base/time.hpp"     // TimePoint
#include "fulmarshelf/detail/wire/messages.hpp" // AdmittedShares

#include <array>         // array
#include <string>        // string
#include <unordered_map> // unordered_map

namespace fulmarshelf {

/// @brief Shares that owners reported for each route, averaged over a short
/// time; they return to full shares when no further reports are received.
class ShareTable {
public:
  /// @brief Records the shares that a reply reported.
  void learn(TimePoint Now, const std::string &Route,
             const AdmittedShares &Reported);

  /// @brief Share of one importance level, 0 to 1. O(1)
  double share(TimePoint Now, const std::string &Route,
               std::size_t Level) const;

  /// @brief Shares of a route. O(1)
  AdmittedShares shares(TimePoint Now, const std::string &Route) const;

  /// @brief False as long as no owner has reported less than full shares.
  bool contains(const std::string &Route) const;

private:
  struct Entry {
    std::array<double, ImportanceCount> Shares_{};
    TimePoint UpdatedAt_;
  };

  static double current(TimePoint Now, const Entry &RouteEntry,
                        std::size_t Level);

  std::unordered_map<std::string, Entry> Routes_;
};

} // namespace fulmarshelf

#endif
