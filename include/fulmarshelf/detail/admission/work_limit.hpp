#ifndef FULMARSHELF_DETAIL_ADMISSION_WORK_LIMIT_HPP
#define FULMARSHELF_DETAIL_ADMISSION_WORK_LIMIT_HPP

#include "fulmarshelf/detail/admission/concurrency_limit.hpp" // learned limit
#include "fulmarshelf/detail/base/time.hpp"                   // TimePoint

#include <variant> // variant

namespace fulmarshelf {

/// @brief Limit for a backend server whose announced slots can be believed.
///
/// Load pattern: a full backend server. Some slow down when nearly all slots
/// are in use, and what waits inside one cannot be ordered, moved or shed, so a
/// few slots stay free. A server that rejects work below its limit has fewer
/// slots than it says for the time being; one that rejects while it is half
/// empty fails for another reason, and fewer calls would not help it.
class AnnouncedLimit {
public:
  void setSlots(unsigned Slots);
  /// @brief A call was answered; time brings a lowered limit back.
  void onAnswer(TimePoint Now);
  /// @brief The backend server rejected a call or failed to answer.
  void onOverload(TimePoint Now, unsigned InFlight);
  unsigned limit() const;

private:
  unsigned full() const;

  unsigned Slots_ = 0;
  double Limit_ = 0;
  TimePoint NextDecrease_;
  TimePoint NextIncrease_;
};

/// @brief Calls that the backend server may run at a time, learned or taken
/// from its announcement.
class WorkLimit {
public:
  /// @param Announced true where announcements can be believed
  explicit WorkLimit(bool Announced);

  void setSlots(unsigned Slots);
  /// @brief As ConcurrencyLimit::onAnswer().
  void onAnswer(TimePoint Now, Micros Took, Micros NoLoad, unsigned InFlight);
  void onOverload(TimePoint Now, unsigned InFlight);
  unsigned limit() const;
  /// @brief Forgets what was learned of an incarnation that is over.
  void restart();

private:
  std::variant<ConcurrencyLimit, AnnouncedLimit> Limit_;
};

} // namespace fulmarshelf

#endif
