#ifndef FULMARSHELF_DETAIL_ADMISSION_ADMISSION_CONTROLLER_HPP
#define FULMARSHELF_DETAIL_ADMISSION_ADMISSION_CONTROLLER_HPP

#include "fulmarshelf/detail/admission/share_table.hpp" // ShareTable

#include <array>         // array
#include <string>        // string
#include <unordered_map> // unordered_map

namespace fulmarshelf {

/// @brief What an entry has heard of the shares that fit behind each route, and
/// the decision which fresh request is let in.
///
/// Load pattern: as DemandMeter. The share of a route is that of the scarcest
/// service anywhere behind it, since a request that loses one of its calls is
/// lost as a whole and what it has used is wasted.
class AdmissionController {
public:
  /// @brief Takes the shares that came with the answer to a call.
  void learn(TimePoint Now, const std::string &Route,
             const AdmittedShares &Told);

  /// @brief Shares of a route now; they return to full ones when nothing more
  /// is heard. O(1)
  AdmittedShares shares(TimePoint Now, const std::string &Route) const;

  /// @brief What became of a fresh request at the gate.
  struct Decision {
    bool Admitted_ = true;
    double Share_ = 1; ///< of its kind that is let in now
  };

  /// @brief Decides on a fresh request. Of any number of requests of one route
  /// and importance just the share is let in, with no runs of luck.
  /// While the share is full, what was left over before is forgotten, and one
  /// that falls short of it for a moment refuses nobody.
  Decision decide(TimePoint Now, const std::string &Route, unsigned Importance);

private:
  // Left over of the shares of the requests so far.
  struct Credits {
    Credits();
    std::array<double, ImportanceLevels> Left_{};
  };

  ShareTable ReportedShares_;
  std::unordered_map<std::string, Credits>
      Credits_; ///< of routes in ReportedShares_
};

} // namespace fulmarshelf

#endif
