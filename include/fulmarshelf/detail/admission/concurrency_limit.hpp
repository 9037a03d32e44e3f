#ifndef FULMARSHELF_DETAIL_ADMISSION_CONCURRENCY_LIMIT_HPP
#define FULMARSHELF_DETAIL_ADMISSION_CONCURRENCY_LIMIT_HPP

#include "fulmarshelf/detail/base/time.hpp" // TimePoint, Micros

#include <cstdint> // uint8_t

namespace fulmarshelf {

/// @brief Learns how many calls the backend server may run at a time.
///
/// The announced slots are the upper bound. The limit falls when the backend
/// server sheds or fails. While calls are slow it is lowered on trial: if calls
/// then run faster at the same rate, they had queued inside the backend server
/// and the lower limit is kept; if they run as slowly as before, the backend
/// server is slow in all its slots and gets its limit back. It rises again
/// while it is used and calls run at their usual speed. The speed is a call's
/// time over the shortest usual time of its route, so a mix of long and short
/// routes does not look like a slowdown.
class ConcurrencyLimit {
public:
  /// @brief Sets the announced slots; a first announcement starts at them.
  void setSlots(unsigned Slots);

  /// @brief A call was answered.
  /// @param Now time of the answer
  /// @param Took time it held its slot
  /// @param NoLoad time its route takes on an idle backend server, 0 unknown
  /// @param InFlight calls in progress when it was answered, itself included
  void onAnswer(TimePoint Now, Micros Took, Micros NoLoad, unsigned InFlight);

  /// @brief The backend server shed a call or failed to answer.
  void onOverload(TimePoint Now, unsigned InFlight);

  /// @brief Calls that may run now, at least 1 once slots are known.
  unsigned limit() const;

private:
  enum class Phase : std::uint8_t {
    Steady,
    Settling, ///< lowered; calls of the higher limit still end
    Trial,    ///< lowered; its effect is measured
  };
  // What one window of answers showed.
  struct Sample {
    double Rate_ = 0; ///< answers per microsecond
    double Slowness_ = 1;
  };

  void closeWindow(TimePoint Now);
  void judge(const Sample &Seen);

  unsigned Slots_ = 0;
  double Limit_ = 0;
  Phase Phase_ = Phase::Steady;
  double BaseLimit_ = 0; ///< before the present trial
  Sample Base_;
  unsigned Pause_ = 0; ///< windows until the next trial
  TimePoint WindowStart_;
  TimePoint NextDecrease_;
  unsigned Answers_ = 0;
  unsigned PeakInFlight_ = 0;
  double SlownessSum_ = 0;
};

} // namespace fulmarshelf

#endif
