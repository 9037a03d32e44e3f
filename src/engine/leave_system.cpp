#include "fulmarshelf/detail/engine/systems.hpp" // leave_system

namespace fulmarshelf::leave_system {

namespace {

constexpr Micros CheckInterval = millis(20);
// The last answers and the word of leaving need a moment on the wire.
constexpr Micros FarewellTime = millis(300);

// Callers ask every second whether this node is ready and stay away after two
// refusals; those under way then still arrive.
constexpr Micros LeastTimeForCallers = millis(3000);
constexpr Micros QuietTime = millis(250);
// What is not done by then would be cut by the kill anyway.
constexpr Micros KillMargin = millis(100);

bool mayStop(const NodeState &Node) {
  Micros Passed = Node.Now_ - Node.LeaveBegan_;
  bool Idle = Node.Works_.empty() && Node.Requests_.empty();
  if (!hasRouteTable(Node))
    return Idle;
  if (Passed >= Node.Config_.Settings_.Bounds_.GraceTime_ - KillMargin)
    return true;
  return Idle && Passed >= LeastTimeForCallers &&
         Node.Now_ - Node.LastArrival_ >= QuietTime;
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
  emit(Node, StoreWithdraw{});
  Node.LeaveBegan_ = Node.Now_;
  setTimer(Node, FarewellTime, TimerKind::LeaveCheck);
}

void check(NodeState &Node) {
  if (!mayStop(Node)) {
    setTimer(Node, CheckInterval, TimerKind::LeaveCheck);
    return;
  }
  log(Node, EventNumber::NodeStopped, {{"node", ownName(Node)}});
  Node.Phase_ = NodePhase::Stopped;
  emit(Node, StopProcess{});
}

} // namespace fulmarshelf::leave_system
