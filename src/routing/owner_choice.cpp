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
// Below this part of its limit an owner takes a request of another domain
// without a queue, also while several entries send some at a time.
constexpr double SpareSlots = 0.7;
// Of about 20 calls the mean is known to a tenth for the usual spread of work.
constexpr double ServiceWeight = 0.1;
// What an owner said of its queue is outdated when its queue has run empty.
constexpr Micros WaitLifetime = millis(1000);
// One call in so many goes to a random owner in another failure domain, so that
// what is known of those stays true.
constexpr unsigned CallsPerProbe = 100;

} // namespace

void OwnerView::onSent() {
  ++InFlight_;
  ++SentSinceReport_;
}

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
                         unsigned Importance, const LoadReport &Report) {
  std::size_t Level = std::min<std::size_t>(Importance, ImportanceLevels - 1);
  Waits_[Level] = {Report.QueueDelay_, Now};
  Report_ = Report;
  ReportedAt_ = Now;
  SentSinceReport_ = 0;
  if (Levels_.size() >= MaxLevels && !Levels_.contains(Route))
    return;
  RouteLevel &Entry = Levels_[Route];
  Entry.Level_ = Report.Level_;
  Entry.Shares_ = Report.Shares_;
  Entry.ReceivedAt_ = Now;
}

double OwnerView::slowness(TimePoint Now) const {
  double Age = static_cast<double>((Now - SlownessAt_).count());
  return 1 + (Slowness_ - 1) * std::exp2(-Age / SlownessHalfLifeMicros);
}

bool OwnerView::isLeaving(TimePoint Now) const {
  return Report_.Leaving_ && Now - ReportedAt_ < LeavingLifetime;
}

void OwnerView::onServiceTime(const std::string &Route, Micros Took) {
  if (Services_.size() >= MaxLevels && !Services_.contains(Route))
    return;
  Micros &Mean = Services_[Route];
  if (Mean.count() == 0)
    Mean = Took;
  else
    Mean += Micros(static_cast<Micros::rep>(
        ServiceWeight * static_cast<double>((Took - Mean).count())));
}

std::optional<Micros> OwnerView::serviceTime(TimePoint Now,
                                             const std::string &Route) const {
  auto Found = Services_.find(Route);
  if (Found == Services_.end())
    return std::nullopt;
  return Micros(static_cast<Micros::rep>(
      static_cast<double>(Found->second.count()) * slowness(Now)));
}

bool OwnerView::hasSpareCapacity(TimePoint Now, const std::string &Route,
                                 unsigned Importance) const {
  auto Found = Levels_.find(Route);
  if (Found == Levels_.end() || Now - Found->second.ReceivedAt_ > LevelLifetime)
    return false;
  std::size_t Level = std::min<std::size_t>(Importance, ImportanceLevels - 1);
  unsigned There = Report_.InFlight_ + Report_.Queued_ + SentSinceReport_;
  return Found->second.Shares_.Admitted_[Level] == FullShare &&
         There < SpareSlots * Report_.Limit_ && !isLeaving(Now);
}

double OwnerView::share(TimePoint Now, const std::string &Route,
                        unsigned Importance, bool Near) const {
  auto Found = Levels_.find(Route);
  if (Found == Levels_.end() || Now - Found->second.ReceivedAt_ > LevelLifetime)
    return 1;
  const OwnerShares &Shares = Found->second.Shares_;
  const AdmittedShares &Told = Near ? Shares.Local_ : Shares.Remote_;
  return static_cast<double>(
             Told[std::min<std::size_t>(Importance, ImportanceLevels - 1)]) /
         FullShare;
}

double OwnerView::failureShare(TimePoint Now) const {
  return Now - ReportedAt_ > WaitLifetime
             ? 0
             : static_cast<double>(Report_.FailureShare_) / FullShare;
}

Micros OwnerView::expectedQueueDelay(TimePoint Now, unsigned Importance,
                                     Micros Service) const {
  std::size_t Level = std::min<std::size_t>(Importance, ImportanceLevels - 1);
  Micros Age = Now - Waits_[Level].ReceivedAt_;
  Micros Told{0};
  if (Age <= WaitLifetime)
    Told = std::max(Micros(0), Waits_[Level].Wait_ - Age);
  unsigned There = Report_.InFlight_ + Report_.Queued_ + SentSinceReport_;
  bool Outdated = Now - ReportedAt_ > WaitLifetime;
  if (Outdated || There < Report_.Limit_)
    return Told;
  return Told + Service * SentSinceReport_ / std::max(1U, Report_.Limit_);
}

Rank OwnerView::level(TimePoint Now, const std::string &Route) const {
  auto Found = Levels_.find(Route);
  if (Found == Levels_.end() || Now - Found->second.ReceivedAt_ > LevelLifetime)
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

Micros expectedCompletion(const Candidate &Option) {
  return Option.QueueDelay_ + Option.ServiceTime_;
}

namespace {

// The faster of two options, the first one when they are equal.
std::size_t faster(const std::vector<Candidate> &Options, std::size_t Left,
                   std::size_t Right) {
  bool RightIsFaster =
      expectedCompletion(Options[Right]) < expectedCompletion(Options[Left]);
  return RightIsFaster ? Right : Left;
}

std::optional<std::size_t> fasterOfTwo(const std::vector<Candidate> &Options,
                                       const std::vector<std::size_t> &Among,
                                       std::mt19937_64 &Random) {
  if (Among.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Pick(0, Among.size() - 1);
  std::size_t First = Among[Pick(Random)];
  std::size_t Second = Among[Pick(Random)];
  return faster(Options, First, Second);
}

} // namespace

std::optional<Placement>
chooseByCompletion(const std::vector<Candidate> &Options,
                   const CrossDomainRule &Rule, std::mt19937_64 &Random) {
  std::vector<std::size_t> Far;
  std::optional<std::size_t> Near;
  for (std::size_t Index = 0; Index < Options.size(); ++Index) {
    if (!Options[Index].SameDomain_)
      Far.push_back(Index);
    else
      Near = Near ? faster(Options, *Near, Index) : Index;
  }
  std::optional<std::size_t> Other = fasterOfTwo(Options, Far, Random);
  if (!Near && !Other)
    return std::nullopt;
  if (!Near || !Other)
    return Placement{Near ? *Near : *Other, 1};
  std::uniform_int_distribution<unsigned> Probe(0, CallsPerProbe - 1);
  Micros There = expectedCompletion(Options[*Other]);
  Micros Here = expectedCompletion(Options[*Near]);
  bool Faster = Here > Rule.AcceptableTime_ && There + Rule.Margin_ < Here;
  if (Faster || Probe(Random) == 0)
    return Placement{*Other, 1};
  std::uniform_real_distribution<double> Draw(0, 1);
  double Kept = Options[*Near].Share_;
  double Taken = Options[*Other].Share_;
  bool Crosses = Draw(Random) >= Kept && Draw(Random) < Taken;
  if (Crosses)
    return Placement{*Other, Taken};
  return Placement{*Near, Kept + (1 - Kept) * (1 - Taken)};
}

} // namespace fulmarshelf
