#include "owner_learning.hpp"

namespace fulmarshelf::attempt_system {

namespace {

constexpr std::uint16_t FirstFailureStatus = 500;
constexpr double FailureSlowness = 3;

bool isInSameDomain(const NodeState &Node, const std::string &Owner) {
  if (Owner == localNodeName(Node))
    return true;
  const Member *Peer = Node.Membership_.find(Owner);
  return Peer != nullptr &&
         Peer->FailureDomain_ == Node.Config_.Settings_.FailureDomain_;
}

} // namespace

void learnFromReply(NodeState &Node, const Attempt &Ended,
                    const Request &Pending, const CallReply &Reply) {
  OwnerView &View = Node.Peers_[Ended.Node_].Owner_;
  Node.Admission_.learn(Node.Now_, Pending.Route_,
                        Reply.Load_.Shares_.Admitted_);
  Node.Graph_.onOriginReported(Pending.Route_, Reply.Load_.RouteOrigin_);
  if (isInSameDomain(Node, Ended.Node_))
    Node.DomainShares_.learn(Node.Now_, Pending.Route_, Reply.Load_.Shares_);
  if (Reply.ServiceTime_.count() > 0)
    View.onServiceTime(Pending.Route_, Reply.ServiceTime_);
  if (Reply.Outcome_ != Outcome::Complete) {
    View.onEnded();
  } else if (Reply.Response_.Status_ >= FirstFailureStatus) {
    // Failures are often quick and must not make an owner look fast. For routes
    // whose work makes calls, the failure may be that of a call and says
    // nothing about the owner.
    if (Node.Graph_.makesCalls(Pending.Route_))
      View.onEnded();
    else
      View.onEnded(Node.Now_, FailureSlowness);
  } else if (hasRouteTable(Node)) {
    View.onEnded(Node.Now_, 1);
    Node.CallTimes_.observe(Pending.Route_, Node.Now_ - Ended.Started_);
  } else {
    Micros Elapsed = Node.Now_ - Ended.Started_;
    Micros Expected = Node.CallTimes_.expected(Pending.Route_);
    double Slowness = Expected.count() == 0
                          ? 1.0
                          : static_cast<double>(Elapsed.count()) /
                                static_cast<double>(Expected.count());
    View.onEnded(Node.Now_, Slowness);
    Node.CallTimes_.observe(Pending.Route_, Elapsed);
  }
  if (Ended.Node_ != localNodeName(Node))
    View.onReport(Node.Now_, Pending.Route_,
                  importanceOf(Pending.Context_.Rank_), Reply.Load_);
}

void learnFromTimeout(NodeState &Node, const Attempt &Ended,
                      const std::string &Route) {
  OwnerView &View = Node.Peers_[Ended.Node_].Owner_;
  Micros Expected = Node.CallTimes_.expected(Route);
  if (Expected.count() == 0) {
    View.onEnded();
    return;
  }
  double Slowness = static_cast<double>((Node.Now_ - Ended.Started_).count()) /
                    static_cast<double>(Expected.count());
  if (Slowness > 1)
    View.onAbandoned(Node.Now_, Slowness);
  else
    View.onEnded();
}

} // namespace fulmarshelf::attempt_system
