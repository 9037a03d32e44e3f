#include "fulmarshelf/detail/engine/systems.hpp" // leave_system

namespace fulmarshelf::leave_system {

namespace {

constexpr Micros CheckInterval = millis(20);
// Gives the last answers and the leave notice time to reach the network before
// the process ends.
constexpr Micros FirstCheckDelay = millis(300);

// Callers probe the readiness of this node every second and stop sending after
// two failed probes. Requests in flight at that time still arrive.
constexpr Micros MinDrainTime = millis(3000);
constexpr Micros MinTimeWithoutArrivals = millis(250);
// The node stops this long before the grace time ends. The process would be
// killed at that time, and unfinished work would be lost anyway.
constexpr Micros KillMargin = millis(100);

bool mayStop(const NodeState &Node) {
  Micros Elapsed = Node.Now_ - Node.LeaveStartedAt_;
  bool Idle = Node.Works_.empty() && Node.Requests_.empty() &&
              Node.Quotas_.Held_.empty();
  if (!hasRouteTable(Node))
    return Idle;
  if (Elapsed >= Node.Config_.Settings_.Bounds_.GraceTime_ - KillMargin)
    return true;
  return Idle && Elapsed >= MinDrainTime &&
         Node.Now_ - Node.LastArrival_ >= MinTimeWithoutArrivals;
}

} // namespace

void begin(NodeState &Node) {
  if (Node.Phase_ == NodePhase::Leaving)
    return;
  log(Node, EventNumber::NodeLeaving,
      {{"works", std::to_string(Node.Works_.size())},
       {"requests", std::to_string(Node.Requests_.size())}});
  Node.Phase_ = NodePhase::Leaving;
  Node.Membership_.setSelf(MemberStatus::Leaving, "");
  Node.Membership_.broadcast({});
  owner_system::refuseQueued(Node, ErrorCode::Leaving);
  departure_system::withdraw(Node);
  Node.LeaveStartedAt_ = Node.Now_;
  setTimer(Node, FirstCheckDelay, TimerKind::LeaveCheck);
}

void check(NodeState &Node) {
  if (!mayStop(Node)) {
    setTimer(Node, CheckInterval, TimerKind::LeaveCheck);
    return;
  }
  log(Node, EventNumber::NodeStopped, {{"node", localNodeName(Node)}});
  Node.Phase_ = NodePhase::Stopped;
  emit(Node, StopProcess{});
}

} // namespace fulmarshelf::leave_system
