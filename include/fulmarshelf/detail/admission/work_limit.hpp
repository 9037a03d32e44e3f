#ifndef FULMARSHELF_DETAIL_ADMISSION_WORK_LIMIT_HPP
#define FULMARSHELF_DETAIL_ADMISSION_WORK_LIMIT_HPP

#include "fulmarshelf/detail/admission/concurrency_limit.hpp" // ConcurrencyLimit
#include "fulmarshelf/detail/base/time.hpp"                   // TimePoint

#include <variant> // variant

namespace fulmarshelf {

/// @brief Limit for a backend server whose announced slots are reliable.
///
/// Load pattern: a full backend server. Some servers slow down when nearly all
/// slots are in use, and work queued inside a server cannot be reordered, moved
/// or shed, so a few slots stay free. A server that rejects work just below its
/// limit temporarily has fewer slots than announced, so its limit is lowered. A
/// server that rejects work while half of its slots are free fails for another
/// reason, and fewer calls would not help.
class AnnouncedLimit {
public:
  void setSlots(unsigned Slots);
  /// @brief A call was answered; answers raise a lowered limit step by step.
  void onAnswer(TimePoint Now);
  /// @brief The backend server rejected a call or failed to answer.
  void onOverload(TimePoint Now, unsigned InFlight);
  unsigned limit() const;

private:
  unsigned maxLimit() const;

  unsigned Slots_ = 0;
  double Limit_ = 0;
  TimePoint NextDecrease_;
  TimePoint NextIncrease_;
};

/// @brief Concurrent calls that the backend server may run, either learned or
/// taken from its announcement.
class WorkLimit {
public:
  /// @param Announced true when the announced slots are reliable
  explicit WorkLimit(bool Announced);

  void setSlots(unsigned Slots);
  /// @brief See ConcurrencyLimit::onAnswer(); a limit taken from the
  /// announcement uses only Now.
  void onAnswer(TimePoint Now, Micros SlotTime, Micros NoLoadTime,
                unsigned InFlight);
  void onOverload(TimePoint Now, unsigned InFlight);
  unsigned limit() const;
  /// @brief Discards the limit learned for a server instance that has ended.
  void restart();

private:
  std::variant<ConcurrencyLimit, AnnouncedLimit> Limit_;
};

} // namespace fulmarshelf

#endif
