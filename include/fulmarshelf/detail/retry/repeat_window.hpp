#ifndef FULMARSHELF_DETAIL_RETRY_REPEAT_WINDOW_HPP
#define FULMARSHELF_DETAIL_RETRY_REPEAT_WINDOW_HPP

#include "fulmarshelf/detail/base/time.hpp" // TimePoint

#include <array>   // array
#include <cstdint> // int64_t

namespace fulmarshelf {

/// @brief Bound on the repeats of one service that all nodes share.
struct RepeatBound {
  double Ratio_ = 0;               ///< repeats for each request
  double Slack_ = 0;               ///< repeats beyond that, this node's part
  Micros Window_ = millis(10'000); ///< over which both are counted
  friend bool operator==(const RepeatBound &, const RepeatBound &) = default;
};

/// @brief Counts the requests and repeats of one service at one node and keeps
/// the repeats of any window within the bound.
///
/// Load pattern: a failing service whose callers all retry. The bound holds for
/// the sum over all nodes: the ratio holds at each node for its own requests,
/// and the slack is divided by the number of nodes.
class RepeatWindow {
public:
  /// @brief Counts a first attempt.
  void onFirstAttempt(TimePoint Now, const RepeatBound &Bound);
  /// @brief Counts a repeat that this node cannot prevent: a call made by work
  /// that is itself a repeat.
  void onInheritedRepeat(TimePoint Now, const RepeatBound &Bound);
  /// @brief Takes one repeat.
  /// @return false when the bound forbids it
  bool tryAcquire(TimePoint Now, const RepeatBound &Bound);

private:
  static constexpr std::size_t Slots = 20;

  struct Slot {
    std::int64_t Number_ = -1; ///< of the part of a window
    double FirstAttempts_ = 0;
    double Repeats_ = 0;
  };

  Slot &slotOf(TimePoint Now, const RepeatBound &Bound);

  std::array<Slot, Slots> Slots_{};
};

} // namespace fulmarshelf

#endif
