#include "fulmarshelf/detail/engine/owner_search.hpp"

#include "fulmarshelf/detail/engine/downstream_shares.hpp" // downstreamShares
#include "fulmarshelf/detail/engine/systems.hpp"           // owner_system

#include <algorithm> // max, min

namespace fulmarshelf {

namespace {

constexpr Micros DomainDistance = millis(2);
constexpr Micros RegionDistance = millis(20);
// An owner in another failure domain has to be faster by the time of one call,
// and at least by this part of the route's target, to be worth the crossing.
constexpr double MarginOfTarget = 0.1;
// An answer within half of the target leaves room for the usual spread of run
// times, so a faster one gains its caller nothing.
constexpr double ComfortOfTarget = 0.5;
// A failed call loses its whole request, which is worse than any wait that is
// still borne: so many targets of the route.
constexpr double TargetsOfFailure = 4;
// A rare choice must not count for too many calls that were placed otherwise.
constexpr double LeastCountedShare = 0.05;

bool servesHere(const NodeState &Node, const std::string &Service) {
  return backend_system::isServing(Node) &&
         Node.Backend_.Announcement_.Service_ == Service;
}

// Network time to a member and back.
Micros wayTo(const NodeState &Node, const Member &Owner) {
  const NodeSettings &Own = Node.Config_.Settings_;
  if (Owner.Region_ != Own.Region_)
    return RegionDistance;
  return Owner.FailureDomain_ == Own.FailureDomain_ ? Micros(0)
                                                    : DomainDistance;
}

// The same in units of the usual time of the route.
double distanceTo(const NodeState &Node, const Member &Owner, Micros Expected) {
  Micros Distance = wayTo(Node, Owner);
  double Unit = std::max<double>(1000, static_cast<double>(Expected.count()));
  return static_cast<double>(Distance.count()) / Unit;
}

Micros partOf(Micros Whole, double Part) {
  return Micros(
      static_cast<Micros::rep>(Part * static_cast<double>(Whole.count())));
}

// Fills in what the owner is expected to take; one that has not run the route
// yet counts as usual.
void estimate(NodeState &Node, const Request &Target, const OwnerView &View,
              Candidate &Result) {
  if (!hasRouteTable(Node))
    return;
  std::optional<Micros> Known = View.serviceTime(Node.Now_, Target.Route_);
  Result.ServiceTime_ = Known.value_or(Node.CallTimes_.expected(Target.Route_));
  Result.QueueDelay_ = View.expectedQueueDelay(
      Node.Now_, importanceOf(Target.Context_.Rank_), Result.ServiceTime_);
  double Failing = Result.Node_ == ownName(Node)
                       ? Node.Failures_.share(Node.Now_)
                       : View.failureShare(Node.Now_);
  Result.ServiceTime_ +=
      partOf(Target.LatencyTarget_, TargetsOfFailure * Failing);
}

// A call whose root was moved or kept by the share of its chain is one of those
// that have room; only what the share has fallen since counts.
double shareStillKept(const Request &Target, double Share) {
  return std::min(1.0, Share * Target.RootPlacementWeight_);
}

void consider(NodeState &Node, const Request &Target, const Member &Owner,
              OwnerOptions &Options) {
  PeerView &View = Node.Peers_[Owner.Node_];
  bool Tried = Target.TriedOwners_.contains(Owner.Node_);
  bool Unreachable = View.Link_.Value_ == 0 && Node.Now_ < View.RetryLink_;
  if (Tried || Unreachable || View.Owner_.isLeaving(Node.Now_))
    return;
  Rank Level = View.Owner_.level(Node.Now_, Target.Route_);
  if (hasFullPolicy(Node) && Level > Target.Context_.Rank_) {
    ++Options.Refusing_;
    Options.LowestLevel_ = std::min(Options.LowestLevel_, Level);
    if (View.Owner_.takeProbe(Node.Now_, Target.Route_))
      Options.Probes_.push_back(Owner.Node_);
    return;
  }
  Micros Expected = Node.CallTimes_.expected(Target.Route_);
  Options.Accepting_.push_back({Owner.Node_, View.Owner_.slowness(Node.Now_),
                                View.Owner_.inFlight(), View.Owner_.report(),
                                distanceTo(Node, Owner, Expected), Micros(0),
                                Micros(0), true});
  estimate(Node, Target, View.Owner_, Options.Accepting_.back());
  Candidate &Added = Options.Accepting_.back();
  Added.ServiceTime_ += wayTo(Node, Owner);
  Added.SameDomain_ = wayTo(Node, Owner) == Micros(0);
  double Share = View.Owner_.share(
      Node.Now_, Target.Route_, importanceOf(Target.Context_.Rank_),
      Added.SameDomain_ && Target.ParentInRootDomain_);
  Added.Share_ = Added.SameDomain_ ? shareStillKept(Target, Share) : Share;
}

void considerSelf(NodeState &Node, const Request &Target,
                  OwnerOptions &Options) {
  if (!servesHere(Node, Target.Service_) ||
      Target.TriedOwners_.contains(ownName(Node)))
    return;
  bool Long = Node.WorkTimes_.isLong(Target.Route_);
  Rank Level = owner_system::admissionLevel(Node, Long);
  if (hasFullPolicy(Node) && Level > Target.Context_.Rank_) {
    ++Options.Refusing_;
    Options.LowestLevel_ = std::min(Options.LowestLevel_, Level);
    return;
  }
  OwnerView &View = Node.Peers_[ownName(Node)].Owner_;
  Options.Accepting_.push_back(
      {ownName(Node), View.slowness(Node.Now_), View.inFlight(),
       owner_system::loadReport(Node, Long, 0), 0, Micros(0), Micros(0), true});
  Candidate &Added = Options.Accepting_.back();
  estimate(Node, Target, View, Added);
  std::size_t Importance = std::min<std::size_t>(
      importanceOf(Target.Context_.Rank_), ImportanceLevels - 1);
  if (hasRouteTable(Node)) {
    OwnerShares Shares = downstreamShares(Node, Target.Route_);
    std::uint8_t Share = Target.ParentInRootDomain_
                             ? Shares.Local_[Importance]
                             : Shares.Remote_[Importance];
    Added.Share_ =
        shareStillKept(Target, static_cast<double>(Share) / FullShare);
  }
  if (Node.Running_ >= Node.Limit_.limit())
    Added.QueueDelay_ = Node.Queue_.predictedWait(
        Target.Context_.Rank_, std::max(1U, Node.Limit_.limit()));
}

} // namespace

namespace {

Micros fastestService(const std::vector<Candidate> &Options) {
  Micros Fastest{0};
  for (const Candidate &Option : Options)
    if (Option.ServiceTime_.count() > 0 &&
        (Fastest.count() == 0 || Option.ServiceTime_ < Fastest))
      Fastest = Option.ServiceTime_;
  return Fastest;
}

} // namespace

OwnerOptions findOwners(NodeState &Node, const Request &Target) {
  OwnerOptions Options;
  considerSelf(Node, Target, Options);
  const ServiceOwners Owners =
      Node.Owners_.owners(Node.Membership_, Target.Service_);
  for (const Member &Owner : Owners.Preferred_)
    consider(Node, Target, Owner, Options);
  if (!Options.Accepting_.empty())
    return Options;
  for (const Member &Owner : Owners.Others_)
    consider(Node, Target, Owner, Options);
  return Options;
}

bool hasCapacityInOtherDomain(NodeState &Node, const Request &Target) {
  unsigned Importance = importanceOf(Target.Context_.Rank_);
  const ServiceOwners Owners =
      Node.Owners_.owners(Node.Membership_, Target.Service_);
  for (const Member &Owner : Owners.Preferred_) {
    const OwnerView &View = Node.Peers_[Owner.Node_].Owner_;
    if (wayTo(Node, Owner) > Micros(0) &&
        View.hasSpareCapacity(Node.Now_, Target.Route_, Importance))
      return true;
  }
  return false;
}

void recordPlacement(NodeState &Node, Request &Target,
                     const std::vector<Candidate> &Options,
                     const Placement &Picked) {
  const Candidate &Chosen = Options[Picked.Index_];
  double Weight = 1 / std::max(Picked.Probability_, LeastCountedShare);
  Target.Context_.InRootDomain_ =
      Chosen.SameDomain_ && Target.ParentInRootDomain_;
  Target.Context_.PlacementWeight_ = std::min(
      1 / LeastCountedShare,
      Chosen.SameDomain_ ? Weight * Target.RootPlacementWeight_ : Weight);
  bool HasNear = false;
  for (const Candidate &Option : Options)
    HasNear = HasNear || Option.SameDomain_;
  if (!HasNear && Target.AttemptCount_ == 0)
    Node.DomainShares_.learnNoOwner(Node.Now_, Target.Route_);
}

std::optional<Placement> pickOwner(NodeState &Node, const Request &Target,
                                   const std::vector<Candidate> &Options) {
  if (Options.empty())
    return std::nullopt;
  if (hasRouteTable(Node) && hasFullPolicy(Node)) {
    CrossDomainRule Rule{std::max(partOf(Target.LatencyTarget_, MarginOfTarget),
                                  fastestService(Options)),
                         partOf(Target.LatencyTarget_, ComfortOfTarget)};
    return chooseByCompletion(Options, Rule, Node.Random_);
  }
  if (hasFullPolicy(Node))
    return Placement{*chooseOwner(Options, Node.Random_), 1};
  return Placement{Node.RoundRobin_[Target.Service_]++ % Options.size(), 1};
}

} // namespace fulmarshelf
