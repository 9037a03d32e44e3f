#ifndef FULMARSHELF_DETAIL_ADMISSION_DEMAND_METER_HPP
#define FULMARSHELF_DETAIL_ADMISSION_DEMAND_METER_HPP

#include "fulmarshelf/detail/base/time.hpp"     // TimePoint, Micros
#include "fulmarshelf/detail/wire/messages.hpp" // AdmittedShares

#include <array> // array

namespace fulmarshelf {

/// @brief One arrival as the meter counts it.
struct DemandArrival {
  unsigned Importance_ = 0;    ///< 0 to 9, that of the request at the root
  Micros SlotTime_{0};         ///< time for which it will hold a slot
  double DemandWeight_ = 1;    ///< roots of its kind that it stands for
  double PlacementWeight_ = 1; ///< calls that its entry would have sent here
  bool SameDomain_ = true;     ///< its entry is in the same failure domain
  friend bool operator==(const DemandArrival &,
                         const DemandArrival &) = default;
};

/// @brief Measures how much work of each importance is asked of one backend
/// server and which share of it fits.
///
/// Load pattern: a surge at the fronts whose requests fan out to a deep
/// service. The deep service sees only what the fronts let through, so an
/// admission that follows its queue alone opens and closes by turns. Here each
/// arrival carries how many requests of its kind it stands for (one over the
/// share that was let through), so that the measured demand is the same
/// whatever is being shed, and the shares follow from it at once: importance by
/// importance from the top until the slots are full.
///
/// Load pattern: one failure domain with more demand than its backend server
/// bears while the others have room. What does not fit beside the demand of the
/// own domain is moved, and only as much as the others have room for.
class DemandMeter {
public:
  /// @brief Counts an arrival.
  void onArrival(const DemandArrival &Arrival);

  /// @brief Takes a measurement when its time has come.
  /// @param Slots calls that may run at a time
  /// @param Backlog time for which all that waits will hold slots
  /// @return true when shares were computed anew
  bool update(TimePoint Now, double Slots, Micros Backlog);

  /// @brief Shares that fit, full ones before the first measurement.
  const OwnerShares &shares() const { return Shares_; }

  /// @brief Slots that all demand together would fill if nothing were shed.
  double demand() const;

  /// @brief Time between two measurements.
  static constexpr Micros Interval = millis(100);

private:
  // Slots that one kind of demand fills, by importance.
  struct Series {
    std::array<double, ImportanceLevels> Asked_{}; ///< slot-microseconds
    std::array<double, ImportanceLevels> Mean_{};  ///< slots

    void add(std::size_t Level, double Value);
    void close(double Elapsed);
  };
  void divide(double Slots, Micros Backlog);

  Series Roots_;  ///< with what the gates shed
  Series Local_;  ///< of the own domain, with what was moved away
  Series Remote_; ///< of other domains, with what they kept back
  OwnerShares Shares_;
  TimePoint Since_;
};

} // namespace fulmarshelf

#endif
