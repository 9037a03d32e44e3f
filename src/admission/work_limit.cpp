#include "fulmarshelf/detail/admission/work_limit.hpp"

#include <algorithm> // max, min

namespace fulmarshelf {

namespace {

// Servers that slow down when full do so in their last twentieth of slots.
constexpr double UsedSlots = 0.95;
// A rejection below this part of the limit is no sign of a full server.
constexpr double FullPart = 0.8;
constexpr double DecreaseFactor = 0.9;
constexpr double LeastPart = 0.5;
constexpr Micros DecreasePause = millis(500);
// A twentieth of the slots comes back each time, so a halved limit is whole
// again after about two seconds.
constexpr Micros IncreasePause = millis(200);
constexpr double IncreasePart = 0.05;

// Hands an answer to either kind of limit.
struct AnswerVisitor {
  TimePoint Now_;
  Micros Took_;
  Micros NoLoad_;
  unsigned InFlight_;

  void operator()(ConcurrencyLimit &Limit) const {
    Limit.onAnswer(Now_, Took_, NoLoad_, InFlight_);
  }
  void operator()(AnnouncedLimit &Limit) const { Limit.onAnswer(Now_); }
};

} // namespace

unsigned AnnouncedLimit::full() const {
  auto Used = static_cast<unsigned>(Slots_ * UsedSlots);
  return Slots_ == 0 ? 0 : std::max(1U, Used);
}

void AnnouncedLimit::setSlots(unsigned Slots) {
  bool Same = Slots_ == Slots;
  Slots_ = Slots;
  if (!Same)
    Limit_ = full();
}

void AnnouncedLimit::onAnswer(TimePoint Now) {
  double Most = full();
  if (Limit_ >= Most || Now < NextIncrease_)
    return;
  Limit_ = std::min(Most, Limit_ + std::max(1.0, Most * IncreasePart));
  NextIncrease_ = Now + IncreasePause;
}

void AnnouncedLimit::onOverload(TimePoint Now, unsigned InFlight) {
  bool Full = InFlight >= FullPart * Limit_;
  if (!Full || Now < NextDecrease_)
    return;
  Limit_ = std::max(full() * LeastPart, Limit_ * DecreaseFactor);
  NextDecrease_ = Now + DecreasePause;
  NextIncrease_ = Now + DecreasePause;
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

void WorkLimit::onAnswer(TimePoint Now, Micros Took, Micros NoLoad,
                         unsigned InFlight) {
  std::visit(AnswerVisitor{Now, Took, NoLoad, InFlight}, Limit_);
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
