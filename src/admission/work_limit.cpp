#include "fulmarshelf/detail/admission/work_limit.hpp"

#include <algorithm> // max, min

namespace fulmarshelf {

namespace {

// Servers that slow down when nearly full do so in the last twentieth of their
// slots.
constexpr double UsableShare = 0.95;
// A rejection while less than this share of the limit is in use does not
// indicate a full server.
constexpr double MinFullUsage = 0.8;
constexpr double DecreaseFactor = 0.9;
// The limit is not lowered below this share of its maximum.
constexpr double MinLimitShare = 0.5;
constexpr Micros DecreaseInterval = millis(500);
// Each increase restores a twentieth of the slots, so a halved limit is fully
// restored after about two seconds.
constexpr Micros IncreaseInterval = millis(200);
constexpr double IncreaseShare = 0.05;

// Passes an answer to either kind of limit.
struct AnswerVisitor {
  TimePoint Now_;
  Micros SlotTime_;
  Micros NoLoadTime_;
  unsigned InFlight_;

  void operator()(ConcurrencyLimit &Limit) const {
    Limit.onAnswer(Now_, SlotTime_, NoLoadTime_, InFlight_);
  }
  void operator()(AnnouncedLimit &Limit) const { Limit.onAnswer(Now_); }
};

} // namespace

unsigned AnnouncedLimit::maxLimit() const {
  auto UsableSlots = static_cast<unsigned>(Slots_ * UsableShare);
  return Slots_ == 0 ? 0 : std::max(1U, UsableSlots);
}

void AnnouncedLimit::setSlots(unsigned Slots) {
  bool Unchanged = Slots_ == Slots;
  Slots_ = Slots;
  if (!Unchanged)
    Limit_ = maxLimit();
}

void AnnouncedLimit::onAnswer(TimePoint Now) {
  double MaxLimit = maxLimit();
  if (Limit_ >= MaxLimit || Now < NextIncrease_)
    return;
  Limit_ = std::min(MaxLimit, Limit_ + std::max(1.0, MaxLimit * IncreaseShare));
  NextIncrease_ = Now + IncreaseInterval;
}

void AnnouncedLimit::onOverload(TimePoint Now, unsigned InFlight) {
  bool Full = InFlight >= MinFullUsage * Limit_;
  if (!Full || Now < NextDecrease_)
    return;
  Limit_ = std::max(maxLimit() * MinLimitShare, Limit_ * DecreaseFactor);
  NextDecrease_ = Now + DecreaseInterval;
  NextIncrease_ = Now + DecreaseInterval;
}

unsigned AnnouncedLimit::limit() const {
  return Slots_ == 0 ? 0 : static_cast<unsigned>(std::max(1.0, Limit_));
}

WorkLimit::WorkLimit(bool Announced) {
  if (Announced)
    Limit_ = AnnouncedLimit();
}

void WorkLimit::setSlots(unsigned Slots) {
  std::visit([Slots](auto &Limit) { Limit.setSlots(Slots); }, Limit_);
}

void WorkLimit::onAnswer(TimePoint Now, Micros SlotTime, Micros NoLoadTime,
                         unsigned InFlight) {
  std::visit(AnswerVisitor{Now, SlotTime, NoLoadTime, InFlight}, Limit_);
}

void WorkLimit::onOverload(TimePoint Now, unsigned InFlight) {
  std::visit([=](auto &Limit) { Limit.onOverload(Now, InFlight); }, Limit_);
}

unsigned WorkLimit::limit() const {
  return std::visit([](const auto &Limit) { return Limit.limit(); }, Limit_);
}

void WorkLimit::restart() {
  bool Announced = std::holds_alternative<AnnouncedLimit>(Limit_);
  *this = WorkLimit(Announced);
}

} // namespace fulmarshelf
