#ifndef FULMARSHELF_DETAIL_ADMISSION_DEMAND_METER_HPP
#define FULMARSHELF_DETAIL_ADMISSION_DEMAND_METER_HPP

#include "fulmarshelf/detail/base/time.hpp"     // TimePoint, Micros
#include "fulmarshelf/detail/wire/messages.hpp" // AdmittedShares

#include <array> // array

namespace fulmarshelf {

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
class DemandMeter {
public:
  /// @brief Counts an arrival.
  /// @param Importance 0 to 9, that of the request at the root
  /// @param Weight requests that it stands for, 1 or more
  /// @param Holding time for which it will hold a slot
  void onArrival(unsigned Importance, double Weight, Micros Holding);

  /// @brief Takes a measurement when its time has come.
  /// @param Slots calls that may run at a time
  /// @return true when shares were computed anew
  bool update(TimePoint Now, double Slots);

  /// @brief Share of each importance that fits, full shares before the first
  /// measurement.
  const AdmittedShares &shares() const { return Shares_; }

  /// @brief Slots that all demand together would fill.
  double demand() const;

  /// @brief Time between two measurements.
  static constexpr Micros Interval = millis(100);

private:
  void divide(double Slots);

  std::array<double, ImportanceLevels> Asked_{};  ///< slot-microseconds
  std::array<double, ImportanceLevels> Demand_{}; ///< slots
  AdmittedShares Shares_ = FullShares;
  TimePoint Since_;
};

} // namespace fulmarshelf

#endif
