#include "fulmarshelf/detail/engine/systems.hpp" // backend_system

namespace fulmarshelf::backend_system {

namespace {

constexpr Micros CheckInterval = millis(500);
// Three announcements in a row are missing; one may come seconds late.
constexpr Micros LostAfter = millis(3500);
constexpr Micros LateLostAfter = millis(8000);

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
  return Node.Backend_.Announced_ && !Node.Backend_.ReplacedUnannounced_ &&
         Node.Phase_ == NodePhase::Serving &&
         Node.Backend_.Announcement_.State_ == BackendState::Serving;
}

namespace {

// A late announcement of a life that is over, or one that another overtook,
// must not undo what a newer one said.
bool isOutdated(const Backend &Own, const BackendAnnounced &Input) {
  if (!Input.Order_ || !Own.Order_)
    return false;
  const std::string &Instance = Input.Announcement_.Instance_;
  bool Departed = Own.DepartedInstance_ == Instance &&
                  Input.Order_->StartedMs_ <= Own.Order_->StartedMs_;
  return Departed || *Input.Order_ < *Own.Order_;
}

bool namesKnownService(const NodeState &Node, const Announcement &Told) {
  const RouteTable *Table = Node.Settings_.routes();
  return Table == nullptr || findService(*Table, Told.Service_) != nullptr ||
         Told.Service_ == Node.Config_.Settings_.Service_;
}

void logAnnouncement(NodeState &Node, EventNumber Event,
                     const BackendAnnounced &Input) {
  const Announcement &Told = Input.Announcement_;
  AnnouncementOrder Order = Input.Order_.value_or(AnnouncementOrder());
  log(Node, Event,
      {{"service", Told.Service_},
       {"address", toString(Told.Address_)},
       {"slots", std::to_string(Told.Slots_)},
       {"state", std::string(stateName(Told.State_))},
       {"instance", Told.Instance_},
       {"born", std::to_string(Order.StartedMs_)},
       {"sequence", std::to_string(Order.Sequence_)}});
}

// What was learned about the slots of one incarnation says nothing of the next.
void startIncarnation(NodeState &Node) {
  Node.Limit_.restart();
  Node.Failures_.restart();
  Node.Backend_.DepartedInstance_.clear();
  Node.Backend_.ReplacedUnannounced_ = false;
}

} // namespace

void announce(NodeState &Node, const BackendAnnounced &Input) {
  const Announcement &Told = Input.Announcement_;
  Backend &Own = Node.Backend_;
  if (isOutdated(Own, Input) || !namesKnownService(Node, Told)) {
    logAnnouncement(Node, EventNumber::BackendNoticeIgnored, Input);
    return;
  }
  bool Changed = !Own.Announced_ || Own.Announcement_ != Told;
  bool First = !Own.Announced_;
  if (Own.Announcement_.Instance_ != Told.Instance_ ||
      (Input.Order_ && Own.Order_ &&
       Input.Order_->StartedMs_ != Own.Order_->StartedMs_))
    startIncarnation(Node);
  Own.Announced_ = true;
  Own.Announcement_ = Told;
  Own.Order_ = Input.Order_;
  Own.LastHeardAt_ = Node.Now_;
  Own.ColdUntil_ = Node.Now_ + Input.ColdFor_;
  Own.SuspectUntil_ = TimePoint{};
  Node.Limit_.setSlots(Told.Slots_);
  if (First)
    setTimer(Node, CheckInterval, TimerKind::BackendCheck);
  if (!Changed)
    return;
  logAnnouncement(Node, EventNumber::BackendAnnounced, Input);
  publish(Node);
  Node.Membership_.broadcast({});
  if (Told.State_ == BackendState::Draining)
    owner_system::refuseQueued(Node, ErrorCode::Leaving);
}

void depart(NodeState &Node, const BackendDeparted &Input) {
  Backend &Own = Node.Backend_;
  bool Present =
      Own.Announced_ && Own.Announcement_.Instance_ == Input.Instance_;
  log(Node, EventNumber::BackendDeparted,
      {{"instance", Input.Instance_}, {"present", Present ? "yes" : "no"}});
  if (!Present)
    return;
  Own.DepartedInstance_ = Input.Instance_;
  Own.Announcement_.State_ = BackendState::Draining;
  publish(Node);
  Node.Membership_.broadcast({});
  owner_system::refuseQueued(Node, ErrorCode::Leaving);
}

void onOtherInstance(NodeState &Node) {
  Backend &Own = Node.Backend_;
  if (Own.ReplacedUnannounced_)
    return;
  Own.ReplacedUnannounced_ = true;
  log(Node, EventNumber::BackendLost,
      {{"service", Own.Announcement_.Service_},
       {"instance", Own.Announcement_.Instance_},
       {"why", "another incarnation answers at its address"}});
  publish(Node);
}

void check(NodeState &Node) {
  Backend &Own = Node.Backend_;
  if (!Own.Announced_)
    return;
  Micros Patience = hasRouteTable(Node) ? LateLostAfter : LostAfter;
  if (Node.Now_ - Own.LastHeardAt_ < Patience) {
    setTimer(Node, CheckInterval, TimerKind::BackendCheck);
    return;
  }
  log(Node, EventNumber::BackendLost,
      {{"service", Own.Announcement_.Service_},
       {"instance", Own.Announcement_.Instance_},
       {"why", "it has not announced itself for too long"}});
  Own.Announced_ = false;
  publish(Node);
  owner_system::refuseQueued(Node, ErrorCode::NoLiveOwner);
}

} // namespace fulmarshelf::backend_system
