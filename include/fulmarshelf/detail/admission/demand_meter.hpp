#ifndef FULMARSHELF_DETAIL_ADMISSION_DEMAND_METER_HPP
#define FULMARSHELF_DETAIL_ADMISSION_DEMAND_METER_HPP

#include "fulmarshelf/detail/base/time.hpp"     // TimePoint, Micros
#include "fulmarshelf/detail/wire/messages.hpp" // AdmittedShares

#include <array>    // array
#include <optional> // optional

namespace fulmarshelf {

/// @brief An arrival of work, as counted by DemandMeter.
struct DemandArrival {
  unsigned Importance_ = 0;    ///< importance of the root request, 0 to 9
  Micros SlotTime_{0};         ///< expected time in a slot
  double DemandWeight_ = 1;    ///< root requests that this one represents
  double PlacementWeight_ = 1; ///< calls that this one represents
  bool SameDomain_ = true;     ///< whole chain is in the owner's domain
  friend bool operator==(const DemandArrival &,
                         const DemandArrival &) = default;
};

/// @brief Measures the demand for one backend server by importance and computes
/// the shares of it that can be admitted.
///
/// Load pattern: a surge at the entry services whose requests fan out to a deep
/// service. The deep service receives only the admitted requests, so admission
/// control that follows its queue alone oscillates between admitting all
/// requests and none. Here each arrival carries its demand weight, the number
/// of requests that it represents (one over the admitted share), so that the
/// measured demand does not depend on the amount of shedding. The shares follow
/// directly from the demand: slots are assigned in order of importance, the
/// highest first, until all are used.
///
/// Load pattern: one failure domain has more demand than its backend server
/// can serve while other domains have spare capacity. Only the excess of the
/// local demand is moved, and no more than the spare capacity of the other
/// domains.
class DemandMeter {
public:
  /// @brief Counts an arrival.
  void onArrival(const DemandArrival &Arrival);

  /// @brief Takes a measurement once Interval has passed since the last one.
  /// @param Slots calls that may run concurrently
  /// @param Backlog expected slot time of all queued work together
  /// @param Rate most requests a second that the backend server accepts; none:
  /// no limit
  /// @return true when the shares were recomputed
  bool update(TimePoint Now, double Slots, Micros Backlog,
              std::optional<double> Rate = std::nullopt);

  /// @brief Admitted shares; full shares before the first measurement.
  const OwnerShares &shares() const { return Shares_; }

  /// @brief Slots that the total demand would occupy if nothing were shed.
  double demand() const;

  /// @brief Slots that can be in use: all of them, or as many as the rate limit
  /// fills with requests of the measured mean slot time.
  double usableSlots(double Slots, std::optional<double> Rate) const;

  /// @brief Time between two measurements.
  static constexpr Micros Interval = millis(100);

private:
  // Slots that one kind of demand would occupy, by importance.
  struct Series {
    std::array<double, ImportanceCount> Accumulated_{}; ///< slot-microseconds
    std::array<double, ImportanceCount> Mean_{};        ///< slots

    void add(std::size_t Importance, double SlotMicros);
    // Includes the accumulated demand in the mean and resets it.
    void close(double ElapsedMicros);
  };
  void computeShares(double Slots, Micros Backlog);

  // Mean slot time of the arrivals, as the ratio of two decaying sums.
  struct SlotTimes {
    double SlotMicros_ = 0;
    double Requests_ = 0;
  };
  Series Roots_;  ///< all demand, including requests shed at the entries
  Series Local_;  ///< local demand, including calls placed in other domains
  Series Remote_; ///< remote demand, including calls not sent to this domain
  SlotTimes SlotTimes_;
  OwnerShares Shares_;
  TimePoint LastUpdate_;
};

} // namespace fulmarshelf

#endif
