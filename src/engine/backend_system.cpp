#include "fulmarshelf/detail/engine/systems.hpp" // backend_system

namespace fulmarshelf::backend_system {

namespace {

constexpr Micros CheckInterval = millis(500);
constexpr Micros LostAfter = millis(3500);

// The mesh hears which service this node can take work for.
void publish(NodeState &Node) {
  MemberStatus Status = Node.Phase_ == NodePhase::Leaving
                            ? MemberStatus::Leaving
                            : MemberStatus::Alive;
  Node.Membership_.setSelf(
      Status, isServing(Node) ? Node.Backend_.Announcement_.Service_ : "");
}

std::string_view stateName(BackendState State) {
  return State == BackendState::Serving ? "serving" : "draining";
}

} // namespace

bool isServing(const NodeState &Node) {
  return Node.Backend_.Known_ && Node.Phase_ == NodePhase::Serving &&
         Node.Backend_.Announcement_.State_ == BackendState::Serving;
}

void announce(NodeState &Node, const Announcement &Input) {
  Backend &Own = Node.Backend_;
  bool Changed = !Own.Known_ || Own.Announcement_ != Input;
  bool First = !Own.Known_;
  Own.Known_ = true;
  Own.Announcement_ = Input;
  Own.Heard_ = Node.Now_;
  Own.SuspectUntil_ = TimePoint{};
  Node.Limit_.setSlots(Input.Slots_);
  if (First)
    setTimer(Node, CheckInterval, TimerKind::BackendCheck);
  if (!Changed)
    return;
  log(Node, EventNumber::BackendAnnounced,
      {{"service", Input.Service_},
       {"address", toString(Input.Address_)},
       {"slots", std::to_string(Input.Slots_)},
       {"state", std::string(stateName(Input.State_))}});
  publish(Node);
  Node.Membership_.spread({});
  if (Input.State_ == BackendState::Draining)
    owner_system::refuseQueued(Node, ErrorCode::Leaving);
}

void check(NodeState &Node) {
  Backend &Own = Node.Backend_;
  if (!Own.Known_)
    return;
  if (Node.Now_ - Own.Heard_ < LostAfter) {
    setTimer(Node, CheckInterval, TimerKind::BackendCheck);
    return;
  }
  log(Node, EventNumber::BackendLost,
      {{"service", Own.Announcement_.Service_}});
  Own.Known_ = false;
  publish(Node);
  owner_system::refuseQueued(Node, ErrorCode::NoLiveOwner);
}

} // namespace fulmarshelf::backend_system
