#include "fulmarshelf/detail/engine/node_state.hpp"

#include <utility> // move

namespace fulmarshelf {

namespace {

// Share of the repeat ratio that the node uses. The bound holds for windows
// that begin at any time and counts requests when callers send them; this node
// counts them a little later and in other windows.
constexpr double RepeatRatioShare = 0.7;
// Share of the repeat slack that the nodes use; the rest is for members that
// this node does not know yet and that take their part as well.
constexpr double RepeatSlackShare = 0.6;

Member selfMember(const EngineConfig &Config) {
  Member Self;
  Self.Node_ = Config.Settings_.Name_;
  Self.Incarnation_ = Config.Incarnation_;
  Self.Peer_ = Config.Settings_.AdvertisedPeer_;
  Self.Region_ = Config.Settings_.Region_;
  Self.FailureDomain_ = Config.Settings_.FailureDomain_;
  return Self;
}

} // namespace

std::string_view phaseName(NodePhase Phase) {
  switch (Phase) {
  case NodePhase::Starting:
    return "starting";
  case NodePhase::Serving:
    return "serving";
  case NodePhase::Leaving:
    return "leaving";
  case NodePhase::Stopped:
    return "stopped";
  }
  return "stopped";
}

NodeState::NodeState(const EngineConfig &Config)
    : Config_(Config), Random_(Config.Seed_),
      Membership_(selfMember(Config), Random_), Owners_(Config.Settings_.Name_),
      Limit_(Config.Settings_.Interface_ == InterfaceKind::Platform),
      Tickets_(Config.Settings_.Name_, Config.Incarnation_, Config.Secret_) {
  Sync_.Seeds_ = Config.Settings_.Seeds_;
}

void emit(NodeState &Node, Action Requested) {
  Node.Actions_.push_back(std::move(Requested));
}

void log(NodeState &Node, EventNumber Event,
         std::initializer_list<LogField> Fields) {
  emit(Node, WriteLog{makeRecord(Event, Fields)});
}

void setTimer(NodeState &Node, Micros Delay, TimerKind Kind,
              std::uint64_t EntityId) {
  Node.Timers_.insert({Node.Now_ + Delay, Kind, EntityId});
}

void clearTimer(NodeState &Node, TimePoint DueAt, TimerKind Kind,
                std::uint64_t EntityId) {
  Node.Timers_.erase({DueAt, Kind, EntityId});
}

bool hasFullPolicy(const NodeState &Node) {
  return Node.Config_.Settings_.Policy_ == PolicyMode::Full;
}

TimePoint bootTime(const NodeState &Node) {
  return Node.Now_ + Node.Suspended_;
}

bool hasRouteTable(const NodeState &Node) {
  return Node.Config_.Settings_.Interface_ == InterfaceKind::Platform;
}

RepeatBound repeatBound(const NodeState &Node) {
  const MeshBounds &Bounds = Node.Config_.Settings_.Bounds_;
  auto Nodes = static_cast<double>(Node.Membership_.size() + 1);
  return {Bounds.RepeatRatio_ * RepeatRatioShare,
          Bounds.RepeatSlack_ * RepeatSlackShare / Nodes, Bounds.RepeatWindow_};
}

const std::string &localNodeName(const NodeState &Node) {
  return Node.Config_.Settings_.Name_;
}

} // namespace fulmarshelf
