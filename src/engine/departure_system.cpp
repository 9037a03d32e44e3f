#include "fulmarshelf/detail/engine/systems.hpp" // departure_system

#include <utility> // move

namespace fulmarshelf::departure_system {

namespace {

// A backend server that has no answer within a second sends its notice again.
constexpr Micros NoticeTime = millis(700);
// No announcement arrives later than this after its server has left.
constexpr Micros RecordRetention = millis(60'000);

bool isKept(const NodeState &Node, const Departure &Wanted) {
  const Departure *Kept =
      findDeparture(Node.Sync_.Recorded_.Departures_, Wanted.Instance_);
  return Node.Sync_.Announced_ && Kept != nullptr && *Kept >= Wanted;
}

NodeRecord recordOf(const NodeState &Node) {
  return {Node.Phase_ != NodePhase::Leaving,
          Node.Membership_.self().Departures_};
}

} // namespace

void answer(NodeState &Node, CallerKey Notice, const std::string &Instance) {
  const Departure *Noted =
      findDeparture(Node.Membership_.self().Departures_, Instance);
  if (Noted == nullptr || isKept(Node, *Noted)) {
    emit(Node, AnswerNotice{Notice, Noted != nullptr});
    return;
  }
  record(Node);
  if (Notice.Value_ == 0)
    return;
  Node.Notices_.push_back({Notice, *Noted});
  setTimer(Node, NoticeTime, TimerKind::NoticeAnswer, Notice.Value_);
}

void onRecorded(NodeState &Node, const NodeRecord &Recorded) {
  Node.Sync_.Announced_ = true;
  Node.Sync_.Recorded_ = Recorded;
  Node.Membership_.learnOwnDepartures(Recorded.Departures_);
  backend_system::onDeparturesLearned(Node);
  std::erase_if(Node.Notices_, [&Node](const AwaitedNotice &Awaited) {
    bool Kept = isKept(Node, Awaited.Departure_);
    if (Kept)
      emit(Node, AnswerNotice{Awaited.Notice_, true});
    return Kept;
  });
}

void onTimeout(NodeState &Node, CallerKey Notice) {
  std::erase_if(Node.Notices_, [&Node, Notice](const AwaitedNotice &Awaited) {
    if (Awaited.Notice_ != Notice)
      return false;
    log(Node, EventNumber::BackendDepartureUnrecorded,
        {{"instance", Awaited.Departure_.Instance_}});
    emit(Node, AnswerNotice{Notice, false});
    return true;
  });
}

void onListed(NodeState &Node, const std::vector<StoredRecord> &Records) {
  std::map<std::string, std::vector<Departure>> Stored;
  std::map<std::string, WithdrawnRecord> Withdrawn;
  for (const StoredRecord &Listed : Records) {
    Stored[Listed.Node_] = Listed.Record_.Departures_;
    if (Listed.Record_.Reachable_ || !follow_system::isElected(Node))
      continue;
    auto Seen = Node.Sync_.Withdrawn_.find(Listed.Node_);
    bool Unchanged = Seen != Node.Sync_.Withdrawn_.end() &&
                     Seen->second.Revision_ == Listed.Revision_;
    TimePoint SeenAt = Unchanged ? Seen->second.SeenAt_ : Node.Now_;
    Withdrawn[Listed.Node_] = {Listed.Revision_, SeenAt};
    if (Node.Now_ - SeenAt >= RecordRetention)
      emit(Node, StoreRemove{Listed.Node_, Listed.Revision_});
  }
  Node.Sync_.Withdrawn_ = std::move(Withdrawn);
  Node.Membership_.learnDepartures(Stored);
  backend_system::onDeparturesLearned(Node);
}

void record(NodeState &Node) {
  SettingsSync &Sync = Node.Sync_;
  NodeRecord Wanted = recordOf(Node);
  bool Kept = Sync.Announced_ && Sync.Recorded_ == Wanted;
  if (Kept || isEmpty(Wanted) || Sync.AnnouncePending_ ||
      Node.Now_ < Sync.NextStoreCallAt_)
    return;
  Sync.AnnouncePending_ = true;
  emit(Node, StoreAnnounce{Sync.Era_, Wanted});
}

void withdraw(NodeState &Node) {
  if (isEmpty(recordOf(Node))) {
    emit(Node, StoreWithdraw{});
    return;
  }
  Node.Sync_.Announced_ = false;
  record(Node);
}

} // namespace fulmarshelf::departure_system
