#include "fulmarshelf/detail/engine/owner_search.hpp"

#include "fulmarshelf/detail/engine/downstream_shares.hpp" // downstreamShares
#include "fulmarshelf/detail/engine/systems.hpp"           // owner_system
#include "owner_capacity.hpp"                              // queueDelay

#include <algorithm> // max, min

namespace fulmarshelf {

namespace {

// Network round trips to another failure domain of the region and to another
// region.
constexpr Micros DomainRoundTrip = millis(2);
constexpr Micros RegionRoundTrip = millis(20);
// An owner in another failure domain is preferred only if it is faster by the
// shortest service time among the owners, and at least by this share of the
// route's latency target.
constexpr double CrossingMarginShare = 0.1;
// An answer within half of the latency target leaves a margin for the usual
// spread of run times, so a faster answer gains the caller nothing.
constexpr double AcceptableTimeShare = 0.5;
// Cost of a failed call in latency targets of the route: a failure loses the
// whole request, which is worse than any queue delay that is still acceptable.
constexpr double FailurePenaltyTargets = 4;
// Bounds the placement weight, so that a call with an improbable placement does
// not represent too many calls that were placed at other owners.
constexpr double MinCountedProbability = 0.05;

bool isServedLocally(const NodeState &Node, const std::string &Service) {
  return backend_system::isServing(Node) &&
         Node.Backend_.Announcement_.Service_ == Service;
}

// Network round trip to a member.
Micros roundTripTo(const NodeState &Node, const Member &Owner) {
  const NodeSettings &Local = Node.Config_.Settings_;
  if (Owner.Region_ != Local.Region_)
    return RegionRoundTrip;
  return Owner.FailureDomain_ == Local.FailureDomain_ ? Micros(0)
                                                      : DomainRoundTrip;
}

// Network round trip in units of the route's expected call time, which counts
// as at least 1 ms.
double relativeDistance(const NodeState &Node, const Member &Owner,
                        Micros Expected) {
  Micros Distance = roundTripTo(Node, Owner);
  double Unit = std::max<double>(1000, static_cast<double>(Expected.count()));
  return static_cast<double>(Distance.count()) / Unit;
}

Micros scaled(Micros Time, double Factor) {
  return Micros(
      static_cast<Micros::rep>(Factor * static_cast<double>(Time.count())));
}

// Sets the expected service time and queue delay of an owner. The route's
// expected call time replaces the service time of an owner that has not run the
// route yet. An owner whose calls fail is given a longer service time.
void estimateTimes(NodeState &Node, const Request &Pending,
                   const OwnerView &View, Candidate &Option) {
  if (!hasRouteTable(Node))
    return;
  std::optional<Micros> ReportedTime =
      View.serviceTime(Node.Now_, Pending.Route_);
  Option.ServiceTime_ =
      ReportedTime.value_or(Node.CallTimes_.expected(Pending.Route_));
  Option.QueueDelay_ = View.expectedQueueDelay(
      Node.Now_, importanceOf(Pending.Context_.Rank_), Option.ServiceTime_);
  double FailureShare = Option.Node_ == localNodeName(Node)
                            ? Node.Failures_.share(Node.Now_)
                            : View.failureShare(Node.Now_);
  Option.ServiceTime_ +=
      scaled(Pending.LatencyTarget_, FailurePenaltyTargets * FailureShare);
}

// Share of a route's calls that are placed in the local domain. The placement
// of the root request took the capacity for its whole chain of calls into
// account, so only a decrease of the share since then counts.
double localShare(const Request &Pending, double Share) {
  return std::min(1.0, Share * Pending.RootPlacementWeight_);
}

void considerOwner(NodeState &Node, const Request &Pending, const Member &Owner,
                   OwnerOptions &Options) {
  PeerView &View = Node.Peers_[Owner.Node_];
  bool Tried = Pending.TriedOwners_.contains(Owner.Node_);
  bool Unreachable = View.Link_.Value_ == 0 && Node.Now_ < View.RetryLinkAt_;
  if (Tried || Unreachable || View.Owner_.isLeaving(Node.Now_))
    return;
  Rank Level = View.Owner_.level(Node.Now_, Pending.Route_);
  if (hasFullPolicy(Node) && Level > Pending.Context_.Rank_) {
    ++Options.Refusing_;
    Options.LowestLevel_ = std::min(Options.LowestLevel_, Level);
    if (View.Owner_.tryAcquireProbe(Node.Now_, Pending.Route_))
      Options.Probes_.push_back(Owner.Node_);
    return;
  }
  Micros Expected = Node.CallTimes_.expected(Pending.Route_);
  Options.Accepting_.push_back({Owner.Node_, View.Owner_.slowness(Node.Now_),
                                View.Owner_.inFlight(), View.Owner_.report(),
                                relativeDistance(Node, Owner, Expected),
                                Micros(0), Micros(0), true});
  estimateTimes(Node, Pending, View.Owner_, Options.Accepting_.back());
  Candidate &Option = Options.Accepting_.back();
  Option.ServiceTime_ += roundTripTo(Node, Owner);
  Option.SameDomain_ = roundTripTo(Node, Owner) == Micros(0);
  double Share = View.Owner_.share(
      Node.Now_, Pending.Route_, importanceOf(Pending.Context_.Rank_),
      Option.SameDomain_ && Pending.ParentInRootDomain_);
  Option.Share_ = Option.SameDomain_ ? localShare(Pending, Share) : Share;
}

void considerSelf(NodeState &Node, const Request &Pending,
                  OwnerOptions &Options) {
  if (!isServedLocally(Node, Pending.Service_) ||
      Pending.TriedOwners_.contains(localNodeName(Node)))
    return;
  bool Long = Node.WorkTimes_.isLong(Pending.Route_);
  Rank Level = owner_system::admissionLevel(Node, Long);
  if (hasFullPolicy(Node) && Level > Pending.Context_.Rank_) {
    ++Options.Refusing_;
    Options.LowestLevel_ = std::min(Options.LowestLevel_, Level);
    return;
  }
  OwnerView &View = Node.Peers_[localNodeName(Node)].Owner_;
  Options.Accepting_.push_back(
      {localNodeName(Node), View.slowness(Node.Now_), View.inFlight(),
       owner_system::loadReport(Node, Long, 0), 0, Micros(0), Micros(0), true});
  Candidate &Option = Options.Accepting_.back();
  estimateTimes(Node, Pending, View, Option);
  std::size_t Importance = std::min<std::size_t>(
      importanceOf(Pending.Context_.Rank_), ImportanceCount - 1);
  if (hasRouteTable(Node)) {
    OwnerShares Shares = downstreamShares(Node, Pending.Route_);
    std::uint8_t Share = Pending.ParentInRootDomain_
                             ? Shares.Local_[Importance]
                             : Shares.Remote_[Importance];
    Option.Share_ = localShare(Pending, static_cast<double>(Share) / FullShare);
  }
  if (!owner_system::mayDispatch(Node))
    Option.QueueDelay_ = owner_system::queueDelay(Node, Pending.Context_.Rank_);
}

} // namespace

namespace {

Micros minServiceTime(const std::vector<Candidate> &Options) {
  Micros Minimum{0};
  for (const Candidate &Option : Options)
    if (Option.ServiceTime_.count() > 0 &&
        (Minimum.count() == 0 || Option.ServiceTime_ < Minimum))
      Minimum = Option.ServiceTime_;
  return Minimum;
}

} // namespace

OwnerOptions findOwners(NodeState &Node, const Request &Pending) {
  OwnerOptions Options;
  considerSelf(Node, Pending, Options);
  const ServiceOwners Owners =
      Node.Owners_.owners(Node.Membership_, Pending.Service_);
  for (const Member &Owner : Owners.Preferred_)
    considerOwner(Node, Pending, Owner, Options);
  if (!Options.Accepting_.empty())
    return Options;
  for (const Member &Owner : Owners.Others_)
    considerOwner(Node, Pending, Owner, Options);
  return Options;
}

double shareInOtherDomains(NodeState &Node, const Request &Pending) {
  unsigned Importance = importanceOf(Pending.Context_.Rank_);
  const ServiceOwners Owners =
      Node.Owners_.owners(Node.Membership_, Pending.Service_);
  double Largest = 0;
  for (const Member &Owner : Owners.Preferred_) {
    const OwnerView &View = Node.Peers_[Owner.Node_].Owner_;
    if (roundTripTo(Node, Owner) > Micros(0))
      Largest = std::max(
          Largest, View.admittedShare(Node.Now_, Pending.Route_, Importance));
  }
  return Largest;
}

void recordPlacement(NodeState &Node, Request &Pending,
                     const std::vector<Candidate> &Options,
                     const Placement &Picked) {
  const Candidate &Chosen = Options[Picked.Index_];
  double Weight = 1 / std::max(Picked.Probability_, MinCountedProbability);
  Pending.Context_.InRootDomain_ =
      Chosen.SameDomain_ && Pending.ParentInRootDomain_;
  Pending.Context_.PlacementWeight_ = std::min(
      1 / MinCountedProbability,
      Chosen.SameDomain_ ? Weight * Pending.RootPlacementWeight_ : Weight);
  bool HasLocalOwner = false;
  for (const Candidate &Option : Options)
    HasLocalOwner = HasLocalOwner || Option.SameDomain_;
  if (!HasLocalOwner && Pending.AttemptCount_ == 0)
    Node.DomainShares_.learnNoOwner(Node.Now_, Pending.Route_);
}

std::optional<Placement> pickOwner(NodeState &Node, const Request &Pending,
                                   const std::vector<Candidate> &Options) {
  if (Options.empty())
    return std::nullopt;
  if (hasRouteTable(Node) && hasFullPolicy(Node)) {
    CrossDomainRule Rule{
        std::max(scaled(Pending.LatencyTarget_, CrossingMarginShare),
                 minServiceTime(Options)),
        scaled(Pending.LatencyTarget_, AcceptableTimeShare)};
    return chooseByCompletion(Options, Rule, Node.Random_);
  }
  if (hasFullPolicy(Node))
    return Placement{*chooseOwner(Options, Node.Random_), 1};
  return Placement{Node.RoundRobin_[Pending.Service_]++ % Options.size(), 1};
}

} // namespace fulmarshelf
