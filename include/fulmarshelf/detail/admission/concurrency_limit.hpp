#ifndef FULMARSHELF_DETAIL_ADMISSION_CONCURRENCY_LIMIT_HPP
#define FULMARSHELF_DETAIL_ADMISSION_CONCURRENCY_LIMIT_HPP

#include "fulmarshelf/detail/base/time.hpp" // TimePoint, Micros

#include <cstdint> // uint8_t

namespace fulmarshelf {

/// @brief Learns how many concurrent calls the backend server may run.
///
/// The announced slots are the upper bound. The limit falls when the backend
/// server sheds or fails. While calls are slow, the limit is lowered on trial.
/// If calls then run faster at the same rate, they had queued inside the
/// backend server, and the lower limit is kept. If they run as slowly as
/// before, the backend server is slow in all its slots, and the limit is
/// restored. The limit rises again while it is fully used and calls run at
/// their usual speed. Slowness is the slot time of a call divided by the
/// no-load time of its route, so a mix of long and short routes does not look
/// like a slowdown.
class ConcurrencyLimit {
public:
  /// @brief Sets the announced slots; the first announcement also sets the
  /// limit to them.
  void setSlots(unsigned Slots);

  /// @brief A call was answered.
  /// @param Now time of the answer
  /// @param SlotTime time for which the call held its slot
  /// @param NoLoadTime time that a call of the same route takes on an idle
  /// backend server; 0 when unknown
  /// @param InFlight calls in progress at the answer, including this one
  void onAnswer(TimePoint Now, Micros SlotTime, Micros NoLoadTime,
                unsigned InFlight);

  /// @brief The backend server shed a call or failed to answer.
  void onOverload(TimePoint Now, unsigned InFlight);

  /// @brief Concurrent calls allowed now: 0 before slots are announced, then at
  /// least 1.
  unsigned limit() const;

private:
  enum class Phase : std::uint8_t {
    Steady,
    Settling, ///< limit lowered; calls started under the old one are ending
    Trial,    ///< limit lowered; its effect on rate and slowness is measured
  };
  // Measurements of one window of answers.
  struct Sample {
    double Rate_ = 0;     ///< answers per microsecond
    double Slowness_ = 1; ///< mean of slot time / no-load time
  };

  void closeWindow(TimePoint Now);
  void adjustLimit(const Sample &Latest);

  unsigned Slots_ = 0;
  double Limit_ = 0;
  Phase Phase_ = Phase::Steady;
  double BaseLimit_ = 0; ///< limit before the current trial
  Sample BaseSample_;    ///< measured before the current trial
  unsigned WindowsToNextTrial_ = 0;
  TimePoint WindowStart_;
  TimePoint NextDecrease_;
  unsigned Answers_ = 0;
  unsigned PeakInFlight_ = 0;
  double SlownessSum_ = 0;
};

} // namespace fulmarshelf

#endif
