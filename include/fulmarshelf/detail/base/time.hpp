#ifndef FULMARSHELF_DETAIL_BASE_TIME_HPP
#define FULMARSHELF_DETAIL_BASE_TIME_HPP

#include <chrono> // microseconds, time_point

namespace fulmarshelf {

/// @brief Duration type of the core.
using Micros = std::chrono::microseconds;

/// @brief Clock type of the core. It has no now(): each event carries the
/// current time.
struct CoreClock {
  using duration = Micros;
  using rep = Micros::rep;
  using period = Micros::period;
  using time_point = std::chrono::time_point<CoreClock>;
  static constexpr bool is_steady = true;
};

/// @brief A time on the node's monotonic clock.
using TimePoint = CoreClock::time_point;

/// @brief Converts milliseconds to the duration type of the core.
constexpr Micros millis(std::int64_t Count) {
  return std::chrono::milliseconds(Count);
}

} // namespace fulmarshelf

#endif
