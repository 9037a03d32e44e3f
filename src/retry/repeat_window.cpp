#include "fulmarshelf/detail/retry/repeat_window.hpp"

#include <algorithm> // max

namespace fulmarshelf {

namespace {

// Number of the part of a window in which a moment lies.
std::int64_t numberOf(TimePoint Now, const RepeatBound &Bound,
                      std::size_t Parts) {
  std::int64_t Length = std::max<std::int64_t>(
      1, Bound.Window_.count() / static_cast<std::int64_t>(Parts));
  return Now.time_since_epoch().count() / Length;
}

} // namespace

RepeatWindow::Slot &RepeatWindow::slotOf(TimePoint Now,
                                         const RepeatBound &Bound) {
  std::int64_t Number = numberOf(Now, Bound, Slots);
  Slot &Current = Slots_[static_cast<std::size_t>(Number) % Slots];
  if (Current.Number_ != Number)
    Current = {Number, 0, 0};
  return Current;
}

void RepeatWindow::onFirstAttempt(TimePoint Now, const RepeatBound &Bound) {
  slotOf(Now, Bound).FirstAttempts_ += 1;
}

void RepeatWindow::onInheritedRepeat(TimePoint Now, const RepeatBound &Bound) {
  slotOf(Now, Bound).Repeats_ += 1;
}

bool RepeatWindow::tryAcquire(TimePoint Now, const RepeatBound &Bound) {
  Slot &Current = slotOf(Now, Bound);
  std::int64_t Oldest = Current.Number_ - static_cast<std::int64_t>(Slots) + 1;
  double Fresh = 0;
  double Repeats = 0;
  for (const Slot &Part : Slots_) {
    if (Part.Number_ < Oldest)
      continue;
    Fresh += Part.FirstAttempts_;
    Repeats += Part.Repeats_;
  }
  if (Repeats + 1 > Bound.Ratio_ * Fresh + Bound.Slack_)
    return false;
  Current.Repeats_ += 1;
  return true;
}

} // namespace fulmarshelf
