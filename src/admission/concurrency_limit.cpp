#include "fulmarshelf/detail/admission/concurrency_limit.hpp"

#include <algorithm> // clamp, max, min

namespace fulmarshelf {

namespace {

constexpr Micros Window = millis(250);
constexpr unsigned WindowAnswers = 60;
constexpr Micros DecreasePause = millis(100);
constexpr double DecreaseFactor = 0.9;
constexpr double IncreaseStep = 1.0;
// A mean slowdown above this says that calls may queue inside the backend
// server, since a call alone takes its usual time.
constexpr double QueueingSlowdown = 2.0;
constexpr double KeptRate = 0.95;
constexpr double FasterCalls = 0.96;
constexpr unsigned PauseAfterTrial = 8;

} // namespace

void ConcurrencyLimit::setSlots(unsigned Slots) {
  if (Slots_ == 0 || Limit_ >= Slots_)
    Limit_ = Slots;
  Slots_ = Slots;
  Limit_ = std::min(Limit_, static_cast<double>(Slots));
}

void ConcurrencyLimit::onAnswer(TimePoint Now, Micros Took, Micros NoLoad,
                                unsigned InFlight) {
  if (Answers_ == 0)
    WindowStart_ = Now;
  ++Answers_;
  PeakInFlight_ = std::max(PeakInFlight_, InFlight);
  double Slowness = 1.0;
  if (NoLoad.count() > 0)
    Slowness =
        static_cast<double>(Took.count()) / static_cast<double>(NoLoad.count());
  SlownessSum_ += Slowness;
  if (Answers_ > WindowAnswers && Now - WindowStart_ >= Window)
    closeWindow(Now);
}

void ConcurrencyLimit::closeWindow(TimePoint Now) {
  Sample Seen;
  Seen.Rate_ = Answers_ / static_cast<double>((Now - WindowStart_).count());
  Seen.Slowness_ = SlownessSum_ / Answers_;
  if (PeakInFlight_ + 1 >= limit())
    judge(Seen);
  Limit_ = std::clamp(Limit_, 1.0, std::max(1.0, static_cast<double>(Slots_)));
  Answers_ = 0;
  SlownessSum_ = 0;
  PeakInFlight_ = 0;
}

void ConcurrencyLimit::judge(const Sample &Seen) {
  switch (Phase_) {
  case Phase::Steady:
    Pause_ -= std::min(Pause_, 1U);
    if (Seen.Slowness_ <= QueueingSlowdown) {
      Limit_ += IncreaseStep;
    } else if (Pause_ == 0) {
      BaseLimit_ = Limit_;
      Base_ = Seen;
      Limit_ *= DecreaseFactor;
      Phase_ = Phase::Settling;
    }
    return;
  case Phase::Settling:
    Phase_ = Phase::Trial;
    return;
  case Phase::Trial:
    bool Queued = Seen.Rate_ >= KeptRate * Base_.Rate_ &&
                  Seen.Slowness_ <= FasterCalls * Base_.Slowness_;
    if (!Queued) {
      Limit_ = BaseLimit_;
      Pause_ = PauseAfterTrial;
    }
    Phase_ = Phase::Steady;
    return;
  }
}

void ConcurrencyLimit::onOverload(TimePoint Now, unsigned InFlight) {
  if (Now < NextDecrease_)
    return;
  NextDecrease_ = Now + DecreasePause;
  double Reached =
      std::min(Limit_, static_cast<double>(std::max(InFlight, 1U)));
  Limit_ = std::max(1.0, Reached * DecreaseFactor);
}

unsigned ConcurrencyLimit::limit() const {
  if (Slots_ == 0)
    return 0;
  return static_cast<unsigned>(std::max(1.0, Limit_));
}

} // namespace fulmarshelf
