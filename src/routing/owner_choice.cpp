#include "fulmarshelf/detail/routing/owner_choice.hpp"

#include <algorithm> // clamp, max
#include <cmath>     // exp2

namespace fulmarshelf {

namespace {

constexpr double SlowerWeight = 0.3;
constexpr double FasterWeight = 0.1;
constexpr double MaxSlowness = 100;
constexpr double AbandonedFactor = 2;
constexpr double SlownessHalfLifeMicros = 2e6;
constexpr Micros LevelLifetime = millis(1000);
// Longer than the membership takes to tell of it; an owner that serves again
// must not be passed over for ever.
constexpr Micros LeavingLifetime = millis(3000);
constexpr Micros ProbeInterval = millis(50);
constexpr std::size_t MaxLevels = 256;

} // namespace

void OwnerView::onSent() { ++InFlight_; }

void OwnerView::onEnded() { InFlight_ -= std::min(InFlight_, 1U); }

void OwnerView::onEnded(TimePoint Now, double Slowness) {
  onEnded();
  double Value = std::clamp(Slowness, 0.1, MaxSlowness);
  double Current = slowness(Now);
  double Weight = Value > Current ? SlowerWeight : FasterWeight;
  Slowness_ = Current + Weight * (Value - Current);
  SlownessAt_ = Now;
}

void OwnerView::onAbandoned(TimePoint Now, double AtLeast) {
  onEnded();
  Slowness_ = std::clamp(std::max(AtLeast, slowness(Now) * AbandonedFactor),
                         1.0, MaxSlowness);
  SlownessAt_ = Now;
}

void OwnerView::onReport(TimePoint Now, const std::string &Route,
                         const LoadReport &Report) {
  Report_ = Report;
  ReportedAt_ = Now;
  if (Levels_.size() >= MaxLevels && !Levels_.contains(Route))
    return;
  RouteLevel &Entry = Levels_[Route];
  Entry.Level_ = Report.Level_;
  Entry.Heard_ = Now;
}

double OwnerView::slowness(TimePoint Now) const {
  double Age = static_cast<double>((Now - SlownessAt_).count());
  return 1 + (Slowness_ - 1) * std::exp2(-Age / SlownessHalfLifeMicros);
}

bool OwnerView::isLeaving(TimePoint Now) const {
  return Report_.Leaving_ && Now - ReportedAt_ < LeavingLifetime;
}

Rank OwnerView::level(TimePoint Now, const std::string &Route) const {
  auto Found = Levels_.find(Route);
  if (Found == Levels_.end() || Now - Found->second.Heard_ > LevelLifetime)
    return 0;
  return Found->second.Level_;
}

bool OwnerView::takeProbe(TimePoint Now, const std::string &Route) {
  auto Found = Levels_.find(Route);
  if (Found == Levels_.end() || Now < Found->second.NextProbe_)
    return false;
  Found->second.NextProbe_ = Now + ProbeInterval;
  return true;
}

double candidateCost(const Candidate &Option) {
  double Limit = std::max(1U, Option.Report_.Limit_);
  double Waiting = Option.Report_.Queued_ / Limit;
  return Option.Slowness_ * (Option.InFlight_ + 1) * (1 + Waiting) +
         Option.Distance_;
}

std::optional<std::size_t> chooseOwner(const std::vector<Candidate> &Options,
                                       std::mt19937_64 &Random) {
  if (Options.empty())
    return std::nullopt;
  if (Options.size() == 1)
    return 0;
  std::uniform_int_distribution<std::size_t> First(0, Options.size() - 1);
  std::uniform_int_distribution<std::size_t> Second(0, Options.size() - 2);
  std::size_t Left = First(Random);
  std::size_t Right = Second(Random);
  Right += Right >= Left ? 1 : 0;
  bool LeftIsCheaper =
      candidateCost(Options[Left]) <= candidateCost(Options[Right]);
  return LeftIsCheaper ? Left : Right;
}

} // namespace fulmarshelf
