#include "fulmarshelf/detail/admission/concurrency_limit.hpp"

#include <algorithm> // clamp, max, min

namespace fulmarshelf {

namespace {

// A window closes at the first answer after Window has passed, provided that it
// then has more than MinWindowAnswers answers.
constexpr Micros Window = millis(250);
constexpr unsigned MinWindowAnswers = 60;
constexpr Micros MinDecreaseInterval = millis(100);
constexpr double DecreaseFactor = 0.9;
constexpr double IncreaseStep = 1.0;
// A mean slowness above this indicates that calls may queue inside the backend
// server, since a call that does not queue takes its usual time.
constexpr double QueueingSlowness = 2.0;
// The lower limit of a trial is kept if the rate is at least MinRateRatio and
// the slowness at most MaxSlownessRatio of the values before the trial.
constexpr double MinRateRatio = 0.95;
constexpr double MaxSlownessRatio = 0.96;
// Number of windows without a trial after one whose limit was not kept.
constexpr unsigned WindowsAfterTrial = 8;

} // namespace

void ConcurrencyLimit::setSlots(unsigned Slots) {
  if (Slots_ == 0 || Limit_ >= Slots_)
    Limit_ = Slots;
  Slots_ = Slots;
  Limit_ = std::min(Limit_, static_cast<double>(Slots));
}

void ConcurrencyLimit::onAnswer(TimePoint Now, Micros SlotTime,
                                Micros NoLoadTime, unsigned InFlight) {
  if (Answers_ == 0)
    WindowStart_ = Now;
  ++Answers_;
  PeakInFlight_ = std::max(PeakInFlight_, InFlight);
  double Slowness = 1.0;
  if (NoLoadTime.count() > 0)
    Slowness = static_cast<double>(SlotTime.count()) /
               static_cast<double>(NoLoadTime.count());
  SlownessSum_ += Slowness;
  if (Answers_ > MinWindowAnswers && Now - WindowStart_ >= Window)
    closeWindow(Now);
}

void ConcurrencyLimit::closeWindow(TimePoint Now) {
  Sample Latest;
  Latest.Rate_ = Answers_ / static_cast<double>((Now - WindowStart_).count());
  Latest.Slowness_ = SlownessSum_ / Answers_;
  if (PeakInFlight_ + 1 >= limit())
    adjustLimit(Latest);
  Limit_ = std::clamp(Limit_, 1.0, std::max(1.0, static_cast<double>(Slots_)));
  Answers_ = 0;
  SlownessSum_ = 0;
  PeakInFlight_ = 0;
}

void ConcurrencyLimit::adjustLimit(const Sample &Latest) {
  switch (Phase_) {
  case Phase::Steady:
    WindowsToNextTrial_ -= std::min(WindowsToNextTrial_, 1U);
    if (Latest.Slowness_ <= QueueingSlowness) {
      Limit_ += IncreaseStep;
    } else if (WindowsToNextTrial_ == 0) {
      BaseLimit_ = Limit_;
      BaseSample_ = Latest;
      Limit_ *= DecreaseFactor;
      Phase_ = Phase::Settling;
    }
    return;
  case Phase::Settling:
    Phase_ = Phase::Trial;
    return;
  case Phase::Trial:
    bool CallsWereQueued =
        Latest.Rate_ >= MinRateRatio * BaseSample_.Rate_ &&
        Latest.Slowness_ <= MaxSlownessRatio * BaseSample_.Slowness_;
    if (!CallsWereQueued) {
      Limit_ = BaseLimit_;
      WindowsToNextTrial_ = WindowsAfterTrial;
    }
    Phase_ = Phase::Steady;
    return;
  }
}

void ConcurrencyLimit::onOverload(TimePoint Now, unsigned InFlight) {
  if (Now < NextDecrease_)
    return;
  NextDecrease_ = Now + MinDecreaseInterval;
  double UsedLimit =
      std::min(Limit_, static_cast<double>(std::max(InFlight, 1U)));
  Limit_ = std::max(1.0, UsedLimit * DecreaseFactor);
}

unsigned ConcurrencyLimit::limit() const {
  if (Slots_ == 0)
    return 0;
  return static_cast<unsigned>(std::max(1.0, Limit_));
}

} // namespace fulmarshelf
