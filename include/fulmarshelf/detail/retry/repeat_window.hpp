#ifndef FULMARSHELF_DETAIL_RETRY_REPEAT_WINDOW_HPP
#define FULMARSHELF_DETAIL_RETRY_REPEAT_WINDOW_HPP

#include "fulmarshelf/detail/base/time.hpp" // TimePoint

#include <array>   // array
#include <cstdint> // int64_t

namespace fulmarshelf {

/// @brief Bound on the repeats of one service, as this node applies it. A
/// repeat is an attempt that a backend server may already have run.
struct RepeatBound {
  double Ratio_ = 0;               ///< repeats allowed per request
  double Slack_ = 0;               ///< additional repeats allowed at this node
  Micros Window_ = millis(10'000); ///< length of the sliding window
  friend bool operator==(const RepeatBound &, const RepeatBound &) = default;
};

/// @brief Counts the requests and repeats of one service at one node and limits
/// the repeats in a sliding window to the bound.
///
/// Load pattern: a service fails and all its callers retry. The bound holds for
/// the sum over all nodes: each node applies the ratio to its own requests, and
/// the slack is divided by the number of nodes.
class RepeatWindow {
public:
  /// @brief Counts a first attempt.
  void onFirstAttempt(TimePoint Now, const RepeatBound &Bound);
  /// @brief Counts a repeat that this node cannot prevent: a call made by work
  /// that is itself a repeat.
  void onInheritedRepeat(TimePoint Now, const RepeatBound &Bound);
  /// @brief Reserves one repeat.
  /// @return false when the bound forbids it
  bool tryAcquire(TimePoint Now, const RepeatBound &Bound);

private:
  static constexpr std::size_t IntervalCount = 20; ///< per window

  struct Interval {
    std::int64_t Index_ = -1; ///< number of the interval since the epoch
    double FirstAttempts_ = 0;
    double Repeats_ = 0;
  };

  Interval &intervalAt(TimePoint Now, const RepeatBound &Bound);

  std::array<Interval, IntervalCount> Intervals_{};
};

} // namespace fulmarshelf

#endif
