#ifndef FULMARSHELF_DETAIL_RETRY_REPEAT_WINDOW_HPP
#define FULMARSHELF_DETAIL_RETRY_REPEAT_WINDOW_HPP

#include "fulmarshelf/detail/base/time.hpp" // TimePoint

#include <array>   // array
#include <cstdint> // int64_t

namespace fulmarshelf {

/// @brief Bound on the repeats of one service that all nodes share.
struct RepeatBound {
  double Ratio_ = 0;               ///< repeats allowed per request
  double Slack_ = 0;               ///< this node's part of additional repeats
  Micros Window_ = millis(10'000); ///< period over which both are counted
  friend bool operator==(const RepeatBound &, const RepeatBound &) = default;
};

/// @brief Counts the requests and repeats of one service at one node and limits
/// the repeats in any window to the bound.
///
/// Load pattern: a service fails and all its callers retry. The bound holds for
/// the sum over all nodes: each node applies the ratio to its requests, and the
/// slack is divided by the number of nodes.
class RepeatWindow {
public:
  /// @brief Counts a first attempt.
  void onFirstAttempt(TimePoint Now, const RepeatBound &Bound);
  /// @brief Counts a repeat that this node cannot prevent: a call made by work
  /// that is a repeat.
  void onInheritedRepeat(TimePoint Now, const RepeatBound &Bound);
  /// @brief Reserves one repeat.
  /// @return false when the bound forbids it
  bool tryAcquire(TimePoint Now, const RepeatBound &Bound);

private:
  static constexpr std::size_t IntervalCount = 20;

  struct Interval {
    std::int64_t Index_ = -1; ///< time since the epoch in intervals
    double FirstAttempts_ = 0;
    double Repeats_ = 0;
  };

  Interval &intervalAt(TimePoint Now, const RepeatBound &Bound);

  std::array<Interval, IntervalCount> Intervals_{};
};

} // namespace fulmarshelf

#endif
