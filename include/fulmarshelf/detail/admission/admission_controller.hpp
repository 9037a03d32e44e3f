#ifndef FULMARSHELF_DETAIL_ADMISSION_ADMISSION_CONTROLLER_HPP
#define FULMARSHELF_DETAIL_ADMISSION_ADMISSION_CONTROLLER_HPP

#include "fulmarshelf/detail/admission/share_table.hpp" // ShareTable

#include <array>         // array
#include <string>        // string
#include <unordered_map> // unordered_map

namespace fulmarshelf {

/// @brief Admission control at an entry: stores the admitted shares that owners
/// reported for each route and decides which new requests are admitted.
///
/// Load pattern: a surge at the entry services, described at DemandMeter. The
/// reported share of a route is the minimum over all of its downstream
/// services, since a request that loses one of its calls fails as a whole and
/// the work done for it is wasted.
class AdmissionController {
public:
  /// @brief Records the admitted shares that the reply to a call contains.
  void learn(TimePoint Now, const std::string &Route,
             const AdmittedShares &Reported);

  /// @brief Current shares of a route; they return to full shares when no
  /// further reports are received. O(1)
  AdmittedShares shares(TimePoint Now, const std::string &Route) const;

  /// @brief Result of admission control for a new request.
  struct Decision {
    bool Admitted_ = true;
    double Share_ = 1; ///< admitted share of the route and importance
  };

  /// @brief Decides on a new request. Each request adds the share to the credit
  /// of its route and importance; it is admitted, at a cost of 1, when the
  /// credit is at least 1. So exactly the share is admitted, evenly spaced
  /// instead of at random. While the share is full, a lower credit is reset to
  /// its initial value, so that a short, small reduction rejects no request.
  ///
  /// Load pattern: one domain has lost most of its capacity, and the others
  /// admit nearly all requests. The entries of that domain apply the larger
  /// share, since the requests above the local one are placed elsewhere. Where
  /// all domains lack the same capacity, the shares are equal and nothing more
  /// is admitted.
  /// @param ShareElsewhere largest share that another failure domain admits
  Decision decide(TimePoint Now, const std::string &Route, unsigned Importance,
                  double ShareElsewhere = 0);

  /// @brief True when every request of the route and importance is admitted.
  bool admitsAll(TimePoint Now, const std::string &Route,
                 unsigned Importance) const;

  /// @brief Returns how many requests an admitted one represents: itself and
  /// those of its route and importance that were decided on and not admitted
  /// since the previous admitted one. Every request is represented once,
  /// whatever the reason for which a request is admitted in the end.
  /// @return at most MaxRepresented
  double takeRepresented(const std::string &Route, unsigned Importance);

  /// @brief Bound of the requests that one represents, so that a single one
  /// does not stand for too many after a time of rejections.
  static constexpr double MaxRepresented = 50;

private:
  // Credits of one route by importance: the initial credit plus the shares
  // added by requests minus the number of admitted requests.
  struct Credits {
    Credits();
    std::array<double, ImportanceCount> Balances_{};
    std::array<double, ImportanceCount> Unrepresented_{}; ///< requests
  };

  ShareTable ReportedShares_;
  std::unordered_map<std::string, Credits>
      Credits_; ///< by route, for routes in ReportedShares_
};

} // namespace fulmarshelf

#endif
