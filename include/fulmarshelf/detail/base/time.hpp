#ifndef FULMARSHELF_DETAIL_BASE_TIME_HPP
#define FULMARSHELF_DETAIL_BASE_TIME_HPP

#include <chrono> // microseconds, time_point

namespace fulmarshelf {

/// @brief Unit of every duration in the core.
using Micros = std::chrono::microseconds;

/// @brief Clock type of the core; it has no now(), time comes in with events.
struct CoreClock {
  using duration = Micros;
  using rep = Micros::rep;
  using period = Micros::period;
  using time_point = std::chrono::time_point<CoreClock>;
  static constexpr bool is_steady = true;
};

/// @brief A moment of the node's monotonic clock.
using TimePoint = CoreClock::time_point;

/// @brief Milliseconds as the core's unit.
constexpr Micros millis(std::int64_t Count) {
  return std::chrono::milliseconds(Count);
}

} // namespace fulmarshelf

#endif
