#include "fulmarshelf/detail/engine/owner_search.hpp"

#include "fulmarshelf/detail/engine/systems.hpp" // owner_system

#include <algorithm> // max, min

namespace fulmarshelf {

namespace {

constexpr Micros DomainDistance = millis(2);
constexpr Micros RegionDistance = millis(20);

bool servesHere(const NodeState &Node, const std::string &Service) {
  return backend_system::isServing(Node) &&
         Node.Backend_.Announcement_.Service_ == Service;
}

// Network time to a member in units of the usual time of the route.
double distanceTo(const NodeState &Node, const Member &Owner, Micros Expected) {
  const NodeSettings &Own = Node.Config_.Settings_;
  Micros Distance{0};
  if (Owner.Region_ != Own.Region_)
    Distance = RegionDistance;
  else if (Owner.FailureDomain_ != Own.FailureDomain_)
    Distance = DomainDistance;
  double Unit = std::max<double>(1000, static_cast<double>(Expected.count()));
  return static_cast<double>(Distance.count()) / Unit;
}

void consider(NodeState &Node, const Request &Target, const Member &Owner,
              OwnerOptions &Options) {
  PeerView &View = Node.Peers_[Owner.Node_];
  bool Tried = Target.Tried_.contains(Owner.Node_);
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
                                distanceTo(Node, Owner, Expected)});
}

void considerSelf(NodeState &Node, const Request &Target,
                  OwnerOptions &Options) {
  if (!servesHere(Node, Target.Service_) ||
      Target.Tried_.contains(ownName(Node)))
    return;
  bool Long = Node.WorkTimes_.isLong(Target.Route_);
  Rank Level = owner_system::admissionLevel(Node, Long);
  if (hasFullPolicy(Node) && Level > Target.Context_.Rank_) {
    ++Options.Refusing_;
    Options.LowestLevel_ = std::min(Options.LowestLevel_, Level);
    return;
  }
  OwnerView &View = Node.Peers_[ownName(Node)].Owner_;
  Options.Accepting_.push_back({ownName(Node), View.slowness(Node.Now_),
                                View.inFlight(),
                                owner_system::loadReport(Node, Long, 0), 0});
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

std::optional<std::size_t> pickOwner(NodeState &Node, const Request &Target,
                                     const std::vector<Candidate> &Options) {
  if (hasFullPolicy(Node) || Options.empty())
    return chooseOwner(Options, Node.Random_);
  return Node.RoundRobin_[Target.Service_]++ % Options.size();
}

} // namespace fulmarshelf
