#include "fulmarshelf/detail/engine/systems.hpp" // leave_system

namespace fulmarshelf::leave_system {

namespace {

constexpr Micros CheckInterval = millis(20);
// The last answers and the word of leaving need a moment on the wire.
constexpr Micros FarewellTime = millis(300);

} // namespace

void begin(NodeState &Node) {
  if (Node.Phase_ == NodePhase::Leaving)
    return;
  log(Node, EventNumber::NodeLeaving,
      {{"works", std::to_string(Node.Works_.size())},
       {"requests", std::to_string(Node.Requests_.size())}});
  Node.Phase_ = NodePhase::Leaving;
  Node.Membership_.setSelf(MemberStatus::Leaving, "");
  Node.Membership_.spread({});
  owner_system::refuseQueued(Node, ErrorCode::Leaving);
  act(Node, StoreWithdraw{});
  setTimer(Node, FarewellTime, TimerKind::LeaveCheck);
}

void check(NodeState &Node) {
  if (!Node.Works_.empty() || !Node.Requests_.empty()) {
    setTimer(Node, CheckInterval, TimerKind::LeaveCheck);
    return;
  }
  log(Node, EventNumber::NodeStopped, {{"node", ownName(Node)}});
  Node.Phase_ = NodePhase::Stopped;
  act(Node, Finished{});
}

} // namespace fulmarshelf::leave_system
