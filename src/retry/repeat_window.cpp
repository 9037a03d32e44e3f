#include "fulmarshelf/detail/retry/repeat_window.hpp"

#include <algorithm> // max

namespace fulmarshelf {

namespace {

// Index of the interval that contains Now; a window has Count intervals.
std::int64_t intervalIndex(TimePoint Now, const RepeatBound &Bound,
                           std::size_t Count) {
  std::int64_t Length = std::max<std::int64_t>(
      1, Bound.Window_.count() / static_cast<std::int64_t>(Count));
  return Now.time_since_epoch().count() / Length;
}

} // namespace

RepeatWindow::Interval &RepeatWindow::intervalAt(TimePoint Now,
                                                 const RepeatBound &Bound) {
  std::int64_t Index = intervalIndex(Now, Bound, IntervalCount);
  Interval &Current =
      Intervals_[static_cast<std::size_t>(Index) % IntervalCount];
  if (Current.Index_ != Index)
    Current = {Index, 0, 0};
  return Current;
}

void RepeatWindow::onFirstAttempt(TimePoint Now, const RepeatBound &Bound) {
  intervalAt(Now, Bound).FirstAttempts_ += 1;
}

void RepeatWindow::onInheritedRepeat(TimePoint Now, const RepeatBound &Bound) {
  intervalAt(Now, Bound).Repeats_ += 1;
}

bool RepeatWindow::tryAcquire(TimePoint Now, const RepeatBound &Bound) {
  Interval &Current = intervalAt(Now, Bound);
  std::int64_t Oldest =
      Current.Index_ - static_cast<std::int64_t>(IntervalCount) + 1;
  double FirstAttempts = 0;
  double Repeats = 0;
  for (const Interval &Stored : Intervals_) {
    if (Stored.Index_ < Oldest)
      continue;
    FirstAttempts += Stored.FirstAttempts_;
    Repeats += Stored.Repeats_;
  }
  if (Repeats + 1 > Bound.Ratio_ * FirstAttempts + Bound.Slack_)
    return false;
  Current.Repeats_ += 1;
  return true;
}

} // namespace fulmarshelf
