#include "fulmarshelf/detail/routing/owner_choice.hpp"

#include <algorithm> // clamp, max, min
#include <cmath>     // exp2

namespace fulmarshelf {

namespace {

constexpr double SlowdownSmoothing = 0.3;
constexpr double SpeedupSmoothing = 0.1;
constexpr double MaxSlowness = 100;
constexpr double AbandonedFactor = 2;
constexpr double SlownessHalfLifeMicros = 2e6;
constexpr Micros LevelLifetime = millis(1000);
// Longer than the membership takes to report that an owner leaves. The lifetime
// is limited so that an owner that resumes serving receives calls again.
constexpr Micros LeavingLifetime = millis(3000);
constexpr Micros ProbeInterval = millis(50);
constexpr std::size_t MaxRoutes = 256;
// An owner with a load below this share of its limit runs a request of another
// domain without queueing it, even while several entries send concurrently.
constexpr double SpareCapacityLoad = 0.7;
// Averages over about 20 calls, which gives the mean to within a tenth for the
// usual variance of service times.
constexpr double ServiceTimeSmoothing = 0.1;
// A load report is outdated once the queue that it describes has drained.
constexpr Micros ReportLifetime = millis(1000);
// One call in this many goes to a random owner in another failure domain, so
// that the state of those owners stays up to date.
constexpr unsigned CallsPerProbe = 100;

} // namespace

void OwnerView::onSent() {
  ++InFlight_;
  ++SentSinceReport_;
}

void OwnerView::onEnded() { InFlight_ -= std::min(InFlight_, 1U); }

void OwnerView::onEnded(TimePoint Now, double Slowness) {
  onEnded();
  double Bounded = std::clamp(Slowness, 0.1, MaxSlowness);
  double Current = slowness(Now);
  double Weight = Bounded > Current ? SlowdownSmoothing : SpeedupSmoothing;
  Slowness_ = Current + Weight * (Bounded - Current);
  SlownessAt_ = Now;
}

void OwnerView::onAbandoned(TimePoint Now, double MinSlowness) {
  onEnded();
  Slowness_ = std::clamp(std::max(MinSlowness, slowness(Now) * AbandonedFactor),
                         1.0, MaxSlowness);
  SlownessAt_ = Now;
}

void OwnerView::onReport(TimePoint Now, const std::string &Route,
                         unsigned Importance, const LoadReport &Report) {
  std::size_t Index = std::min<std::size_t>(Importance, ImportanceCount - 1);
  ReportedDelays_[Index] = {Report.QueueDelay_, Now};
  Report_ = Report;
  ReportedAt_ = Now;
  SentSinceReport_ = 0;
  if (Levels_.size() >= MaxRoutes && !Levels_.contains(Route))
    return;
  RouteLevel &Reported = Levels_[Route];
  Reported.Level_ = Report.Level_;
  Reported.Shares_ = Report.Shares_;
  Reported.ReceivedAt_ = Now;
}

double OwnerView::slowness(TimePoint Now) const {
  double Age = static_cast<double>((Now - SlownessAt_).count());
  return 1 + (Slowness_ - 1) * std::exp2(-Age / SlownessHalfLifeMicros);
}

bool OwnerView::isLeaving(TimePoint Now) const {
  return Report_.Leaving_ && Now - ReportedAt_ < LeavingLifetime;
}

void OwnerView::onServiceTime(const std::string &Route, Micros ServiceTime) {
  if (ServiceTimes_.size() >= MaxRoutes && !ServiceTimes_.contains(Route))
    return;
  Micros &Mean = ServiceTimes_[Route];
  if (Mean.count() == 0)
    Mean = ServiceTime;
  else
    Mean += Micros(static_cast<Micros::rep>(
        ServiceTimeSmoothing *
        static_cast<double>((ServiceTime - Mean).count())));
}

std::optional<Micros> OwnerView::serviceTime(TimePoint Now,
                                             const std::string &Route) const {
  auto Existing = ServiceTimes_.find(Route);
  if (Existing == ServiceTimes_.end())
    return std::nullopt;
  return Micros(static_cast<Micros::rep>(
      static_cast<double>(Existing->second.count()) * slowness(Now)));
}

double OwnerView::admittedShare(TimePoint Now, const std::string &Route,
                                unsigned Importance) const {
  auto Existing = Levels_.find(Route);
  if (Existing == Levels_.end() ||
      Now - Existing->second.ReceivedAt_ > LevelLifetime)
    return 0;
  std::size_t Index = std::min<std::size_t>(Importance, ImportanceCount - 1);
  unsigned Load = Report_.InFlight_ + Report_.Queued_ + SentSinceReport_;
  if (Load >= SpareCapacityLoad * Report_.Limit_ || isLeaving(Now))
    return 0;
  return static_cast<double>(Existing->second.Shares_.Admitted_[Index]) /
         FullShare;
}

double OwnerView::share(TimePoint Now, const std::string &Route,
                        unsigned Importance, bool SameDomain) const {
  auto Existing = Levels_.find(Route);
  if (Existing == Levels_.end() ||
      Now - Existing->second.ReceivedAt_ > LevelLifetime)
    return 1;
  const OwnerShares &Shares = Existing->second.Shares_;
  const AdmittedShares &Reported = SameDomain ? Shares.Local_ : Shares.Remote_;
  return static_cast<double>(
             Reported[std::min<std::size_t>(Importance, ImportanceCount - 1)]) /
         FullShare;
}

double OwnerView::failureShare(TimePoint Now) const {
  return Now - ReportedAt_ > ReportLifetime
             ? 0
             : static_cast<double>(Report_.FailureShare_) / FullShare;
}

Micros OwnerView::expectedQueueDelay(TimePoint Now, unsigned Importance,
                                     Micros ServiceTime) const {
  std::size_t Index = std::min<std::size_t>(Importance, ImportanceCount - 1);
  Micros Age = Now - ReportedDelays_[Index].ReceivedAt_;
  Micros ReportedDelay{0};
  if (Age <= ReportLifetime)
    ReportedDelay =
        std::max(Micros(0), ReportedDelays_[Index].QueueDelay_ - Age);
  unsigned Load = Report_.InFlight_ + Report_.Queued_ + SentSinceReport_;
  bool Outdated = Now - ReportedAt_ > ReportLifetime;
  if (Outdated || Load < Report_.Limit_)
    return ReportedDelay;
  return ReportedDelay +
         ServiceTime * SentSinceReport_ / std::max(1U, Report_.Limit_);
}

Rank OwnerView::level(TimePoint Now, const std::string &Route) const {
  auto Existing = Levels_.find(Route);
  if (Existing == Levels_.end() ||
      Now - Existing->second.ReceivedAt_ > LevelLifetime)
    return 0;
  return Existing->second.Level_;
}

bool OwnerView::tryAcquireProbe(TimePoint Now, const std::string &Route) {
  auto Existing = Levels_.find(Route);
  if (Existing == Levels_.end() || Now < Existing->second.NextProbe_)
    return false;
  Existing->second.NextProbe_ = Now + ProbeInterval;
  return true;
}

double candidateCost(const Candidate &Option) {
  double Limit = std::max(1U, Option.Report_.Limit_);
  double QueuedPerSlot = Option.Report_.Queued_ / Limit;
  return Option.Slowness_ * (Option.InFlight_ + 1) * (1 + QueuedPerSlot) +
         Option.Distance_;
}

std::optional<std::size_t> chooseOwner(const std::vector<Candidate> &Options,
                                       std::mt19937_64 &Random) {
  if (Options.empty())
    return std::nullopt;
  if (Options.size() == 1)
    return 0;
  std::uniform_int_distribution<std::size_t> FirstIndex(0, Options.size() - 1);
  std::uniform_int_distribution<std::size_t> SecondIndex(0, Options.size() - 2);
  std::size_t Left = FirstIndex(Random);
  std::size_t Right = SecondIndex(Random);
  // Skips Left, so that two different candidates are compared.
  Right += Right >= Left ? 1 : 0;
  bool LeftIsCheaper =
      candidateCost(Options[Left]) <= candidateCost(Options[Right]);
  return LeftIsCheaper ? Left : Right;
}

Micros expectedCompletion(const Candidate &Option) {
  return Option.QueueDelay_ + Option.ServiceTime_;
}

namespace {

// Index of the faster of two candidates, Left when they are equal.
std::size_t fasterCandidate(const std::vector<Candidate> &Options,
                            std::size_t Left, std::size_t Right) {
  bool RightIsFaster =
      expectedCompletion(Options[Right]) < expectedCompletion(Options[Left]);
  return RightIsFaster ? Right : Left;
}

// Index of the faster of two random candidates, which may be the same one.
std::optional<std::size_t> fasterOfTwo(const std::vector<Candidate> &Options,
                                       const std::vector<std::size_t> &Indices,
                                       std::mt19937_64 &Random) {
  if (Indices.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Position(0, Indices.size() - 1);
  std::size_t First = Indices[Position(Random)];
  std::size_t Second = Indices[Position(Random)];
  return fasterCandidate(Options, First, Second);
}

} // namespace

std::optional<Placement>
chooseByCompletion(const std::vector<Candidate> &Options,
                   const CrossDomainRule &Rule, std::mt19937_64 &Random) {
  std::vector<std::size_t> RemoteIndices;
  std::optional<std::size_t> Local;
  for (std::size_t Index = 0; Index < Options.size(); ++Index) {
    if (!Options[Index].SameDomain_)
      RemoteIndices.push_back(Index);
    else
      Local = Local ? fasterCandidate(Options, *Local, Index) : Index;
  }
  std::optional<std::size_t> Remote =
      fasterOfTwo(Options, RemoteIndices, Random);
  if (!Local && !Remote)
    return std::nullopt;
  if (!Local || !Remote)
    return Placement{Local ? *Local : *Remote, 1};
  std::uniform_int_distribution<unsigned> ProbeDraw(0, CallsPerProbe - 1);
  Micros RemoteTime = expectedCompletion(Options[*Remote]);
  Micros LocalTime = expectedCompletion(Options[*Local]);
  bool RemoteIsFaster =
      LocalTime > Rule.AcceptableTime_ && RemoteTime + Rule.Margin_ < LocalTime;
  if (RemoteIsFaster || ProbeDraw(Random) == 0)
    return Placement{*Remote, 1};
  std::uniform_real_distribution<double> ShareDraw(0, 1);
  double LocalShare = Options[*Local].Share_;
  double RemoteShare = Options[*Remote].Share_;
  bool PlaceRemotely =
      ShareDraw(Random) >= LocalShare && ShareDraw(Random) < RemoteShare;
  if (PlaceRemotely)
    return Placement{*Remote, RemoteShare};
  return Placement{*Local, LocalShare + (1 - LocalShare) * (1 - RemoteShare)};
}

} // namespace fulmarshelf
