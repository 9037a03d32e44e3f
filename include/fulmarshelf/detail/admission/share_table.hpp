#ifndef FULMARSHELF_DETAIL_ADMISSION_SHARE_TABLE_HPP
#define FULMARSHELF_DETAIL_ADMISSION_SHARE_TABLE_HPP

#include "fulmarshelf/detail/base/time.hpp"     // TimePoint
#include "fulmarshelf/detail/wire/messages.hpp" // AdmittedShares

#include <array>         // array
#include <string>        // string
#include <unordered_map> // unordered_map

namespace fulmarshelf {

/// @brief Mean of the shares that owners recently reported, for each route. The
/// shares return to full shares when no further reports are received.
class ShareTable {
public:
  /// @brief Records the shares that a reply contains.
  void learn(TimePoint Now, const std::string &Route,
             const AdmittedShares &Reported);

  /// @brief Current share of one importance, 0 to 1. O(1)
  double share(TimePoint Now, const std::string &Route,
               std::size_t Importance) const;

  /// @brief Current shares of a route. O(1)
  AdmittedShares shares(TimePoint Now, const std::string &Route) const;

  /// @brief False until an owner reports less than full shares for the route.
  bool contains(const std::string &Route) const;

private:
  struct RouteShares {
    std::array<double, ImportanceCount> Shares_{};
    TimePoint UpdatedAt_;
  };

  static double currentShare(TimePoint Now, const RouteShares &Stored,
                             std::size_t Importance);

  std::unordered_map<std::string, RouteShares> Routes_;
};

} // namespace fulmarshelf

#endif
