#include "fulmarshelf/detail/engine/systems.hpp"            // store_system
#include "fulmarshelf/detail/settings/settings_version.hpp" // versionOf

#include <algorithm> // clamp, max, shuffle

namespace fulmarshelf::store_system {

namespace {

constexpr Micros MinBackoff = millis(500);
constexpr Micros MaxBackoff = millis(8000);
// After a stop of the whole mesh every node must serve again within two seconds
// after the store becomes reachable.
constexpr Micros MaxRoutesBackoff = millis(1000);
// Without a readable table a node that does not watch lists again after this
// time; an update by gossip reaches it sooner.
constexpr Micros TableRecheckInterval = millis(1000);
// A change of team settings is also followed on its own where routes are
// followed, without a bound on its delay.
constexpr Micros OtherWatchTime = millis(25'000);
constexpr unsigned EarlyNodeListCount = 3;
constexpr Micros EarlyNodeListInterval = millis(2000);
constexpr Micros NodeListInterval = millis(60'000);

// Notes the subtrees that the store holds, or held in this era.
void noteStoredPaths(NodeState &Node, Collection Kind,
                     const std::vector<SubtreeVersion> &Subtrees) {
  for (const SubtreeVersion &Subtree : Subtrees)
    Node.Sync_.Collections_[Kind].StoredPaths_.insert(Subtree.Path_);
}

// True when the store held this version, or another one of its subtree, in the
// present era.
bool wasStoredInEra(NodeState &Node, const SubtreeVersion &Current) {
  const std::optional<std::uint64_t> &Era = Node.Sync_.Era_;
  return !Era || positionOf(Current.Version_).Era_ == *Era ||
         Node.Sync_.Collections_[Collection::Teams].StoredPaths_.contains(
             Current.Path_);
}

bool isListed(const StoreListed &Input, const std::string &Path) {
  for (const SubtreeVersion &Subtree : Input.Subtrees_)
    if (Subtree.Path_ == Path)
      return true;
  return false;
}

// Adds deletions of the subtrees that are in force but not listed: they were
// deleted at the listed revision or before. A subtree that the store never held
// in this era is no deletion: the store has lost it, and it stays in force.
void addDeletions(NodeState &Node, const StoreListed &Input,
                  std::vector<SubtreeVersion> &Offered) {
  std::uint64_t ListedAt =
      versionOf({Node.Sync_.Era_.value_or(0), Input.Revision_});
  for (const SubtreeVersion &Current : Node.Settings_.all()) {
    if (Current.Path_ == RouteTablePath || Current.Deleted_ ||
        Current.Version_ > ListedAt || isListed(Input, Current.Path_))
      continue;
    if (wasStoredInEra(Node, Current))
      Offered.push_back({Current.Path_, ListedAt, true, {}});
    else
      settings_system::logSubtree(Node, EventNumber::SettingsKept, Current,
                                  "store");
  }
}

// A node writes its own address to the platform before it lists the other
// nodes, so of two nodes that start together at least one sees the other.
void announceAndListNodes(NodeState &Node) {
  SettingsSync &Sync = Node.Sync_;
  departure_system::record(Node);
  bool NeedsList =
      Sync.NodeListCount_ < EarlyNodeListCount || follow_system::follows(Node);
  if (!Sync.Announced_ || Sync.NodesListPending_ || !NeedsList ||
      Node.Now_ < std::max(Sync.NextNodeListAt_, Sync.NextStoreCallAt_))
    return;
  Sync.NodesListPending_ = true;
  emit(Node, StoreListNodes{Sync.Era_});
}

void followCollection(NodeState &Node, Collection Kind) {
  CollectionSync &Sync = Node.Sync_.Collections_[Kind];
  // A substitute makes only the call that shows whether the store answers it.
  bool Proved =
      Node.Sync_.Collections_[follow_system::settingsCollection(Node)].Listed_;
  bool MustProve = Node.Sync_.Substitute_ && !Proved &&
                   Kind != follow_system::settingsCollection(Node);
  if (Node.Now_ < Sync.NextCallAt_ || MustProve)
    return;
  bool Watcher = follow_system::follows(Node);
  bool TableMissing =
      Kind == Collection::Routes && Node.Settings_.routes() == nullptr;
  bool NeedsList =
      Node.Phase_ == NodePhase::Starting || Watcher || TableMissing;
  if (!Sync.Listed_ && !Sync.ListPending_ && NeedsList) {
    Sync.ListPending_ = true;
    Sync.AskedAt_ = bootTime(Node);
    emit(Node, StoreList{Kind, Node.Sync_.Era_});
  }
  if (Sync.Listed_ && !Sync.WatchPending_ && Watcher) {
    Sync.WatchPending_ = true;
    Sync.AskedAt_ = bootTime(Node);
    log(Node, EventNumber::WatchStarted,
        {{"of", std::string(collectionName(Kind))},
         {"revision", std::to_string(Sync.Revision_)}});
    Micros Wait = Kind == follow_system::settingsCollection(Node)
                      ? follow_system::watchTime(Node)
                      : OtherWatchTime;
    emit(Node, StoreWatch{Kind, Sync.Revision_, Node.Sync_.Era_, Wait});
  }
  if (!Watcher && Sync.Listed_ && !Sync.WatchPending_)
    Sync.Listed_ = false; // the listed state becomes stale without a watch
}

// Records a successful store call and logs the recovery after failures.
void onStoreReachable(NodeState &Node, Micros &Backoff) {
  if (Backoff.count() > 0)
    log(Node, EventNumber::StoreBack,
        {{"backoff", std::to_string(Backoff.count())}});
  Backoff = Micros(0);
}

// Returns whether an answer describes the present era. The calls of an earlier
// era were already given up when the present one began; an answer from before
// that era counts as a failure.
bool acceptAnswer(NodeState &Node, StoreCall Call, Collection Kind,
                  const CallEras &Eras) {
  store_era::observe(Node, Eras.Answered_);
  if (store_era::isCurrent(Node, Eras))
    return true;
  onFailed(Node, {Call, Kind, "answer of another era", Eras});
  return false;
}

// Doubles the backoff up to its maximum and returns the time of the next retry.
TimePoint backOff(NodeState &Node, Micros &Backoff) {
  Micros MaxDelay = hasRouteTable(Node) ? MaxRoutesBackoff : MaxBackoff;
  Backoff = std::clamp(Backoff * 2, MinBackoff, MaxDelay);
  std::uniform_int_distribution<Micros::rep> Jitter(0, Backoff.count() / 2);
  return Node.Now_ + Backoff + Micros(Jitter(Node.Random_));
}

} // namespace

void call(NodeState &Node) {
  followCollection(Node, Collection::Teams);
  if (hasRouteTable(Node))
    followCollection(Node, Collection::Routes);
  announceAndListNodes(Node);
}

void onListed(NodeState &Node, const StoreListed &Input) {
  if (!acceptAnswer(Node, StoreCall::List, Input.Collection_, Input.Eras_))
    return;
  CollectionSync &Sync = Node.Sync_.Collections_[Input.Collection_];
  Sync.ListPending_ = false;
  Sync.Listed_ = true;
  onStoreReachable(Node, Sync.Backoff_);
  Sync.Revision_ = Input.Revision_;
  noteStoredPaths(Node, Input.Collection_, Input.Subtrees_);
  follow_system::onAnswered(Node, Input.Collection_);
  std::vector<SubtreeVersion> Offered = Input.Subtrees_;
  if (Input.Collection_ == Collection::Teams)
    addDeletions(Node, Input, Offered);
  settings_system::applyAll(Node, Offered, "store");
  proof_system::onStoreAnswered(Node, Input.Collection_);
  if (Input.Collection_ == Collection::Teams || !Offered.empty())
    settings_system::beginServing(Node, "store");
  bool TableMissing = Input.Collection_ == Collection::Routes &&
                      Node.Settings_.routes() == nullptr;
  if (TableMissing && !follow_system::follows(Node))
    Sync.NextCallAt_ = Node.Now_ + TableRecheckInterval;
  call(Node);
}

void onAnnounced(NodeState &Node, const StoreAnnounced &Input) {
  // A write that the present era answered counts, also when it was sent before.
  CallEras Answered{std::nullopt, Input.Eras_.Answered_};
  if (!acceptAnswer(Node, StoreCall::Announce, Collection::Teams, Answered))
    return;
  Node.Sync_.AnnouncePending_ = false;
  onStoreReachable(Node, Node.Sync_.StoreBackoff_);
  departure_system::onRecorded(Node, Input.Record_);
  call(Node);
}

void onNodesListed(NodeState &Node, const StoreNodesListed &Input) {
  if (!acceptAnswer(Node, StoreCall::Nodes, Collection::Teams, Input.Eras_))
    return;
  SettingsSync &Sync = Node.Sync_;
  Sync.NodesListPending_ = false;
  onStoreReachable(Node, Sync.StoreBackoff_);
  Sync.UnknownNodes_ = Input.Nodes_;
  std::shuffle(Sync.UnknownNodes_.begin(), Sync.UnknownNodes_.end(),
               Node.Random_);
  ++Sync.NodeListCount_;
  quota_system::onNodesListed(Node, Input.Nodes_.size());
  departure_system::onListed(Node, Input.Records_);
  Sync.NextNodeListAt_ = Node.Now_ + (Sync.NodeListCount_ < EarlyNodeListCount
                                          ? EarlyNodeListInterval
                                          : NodeListInterval);
  settings_system::syncWithNextPeer(Node);
}

void onWatched(NodeState &Node, const StoreWatched &Input) {
  if (!acceptAnswer(Node, StoreCall::Watch, Input.Collection_, Input.Eras_))
    return;
  CollectionSync &Sync = Node.Sync_.Collections_[Input.Collection_];
  Sync.WatchPending_ = false;
  onStoreReachable(Node, Sync.Backoff_);
  Sync.Revision_ = Input.Revision_;
  noteStoredPaths(Node, Input.Collection_, Input.Changes_);
  follow_system::onAnswered(Node, Input.Collection_);
  settings_system::applyAll(Node, Input.Changes_, "watch");
  proof_system::onStoreAnswered(Node, Input.Collection_);
  if (!follow_system::follows(Node))
    log(Node, EventNumber::WatchStopped,
        {{"of", std::string(collectionName(Input.Collection_))},
         {"revision", std::to_string(Sync.Revision_)}});
  call(Node);
}

void onUnreadable(NodeState &Node, const StoreUnreadable &Input) {
  if (!Input.Partly_)
    Node.Sync_.Unreadable_ = Input.Detail_;
  log(Node, EventNumber::StoreUnreadable,
      {{"entries", Input.Partly_ ? "some" : ""},
       {"of", std::string(collectionName(Input.Collection_))},
       {"revision", std::to_string(Input.Revision_)},
       {"detail", Input.Detail_}});
}

void onFailed(NodeState &Node, const StoreFailed &Input) {
  store_era::observe(Node, Input.Eras_.Answered_);
  if (store_era::isSentEarlier(Node, Input.Eras_)) {
    call(Node);
    return;
  }
  SettingsSync &Sync = Node.Sync_;
  TimePoint RetryAt;
  if (Input.Call_ == StoreCall::List || Input.Call_ == StoreCall::Watch) {
    CollectionSync &Progress = Sync.Collections_[Input.Collection_];
    if (Input.Call_ == StoreCall::List)
      Progress.ListPending_ = false;
    else
      // The collection is listed again, since changes may have been missed.
      Progress.WatchPending_ = Progress.Listed_ = false;
    RetryAt = Progress.NextCallAt_ = backOff(Node, Progress.Backoff_);
    follow_system::onFailed(Node, Input.Collection_);
  } else {
    if (Input.Call_ == StoreCall::Announce)
      Sync.AnnouncePending_ = false;
    if (Input.Call_ == StoreCall::Nodes)
      Sync.NodesListPending_ = false;
    RetryAt = Sync.NextStoreCallAt_ = backOff(Node, Sync.StoreBackoff_);
  }
  log(Node, EventNumber::StoreFailed,
      {{"call", std::string(storeCallName(Input.Call_))},
       {"of", std::string(collectionName(Input.Collection_))},
       {"why", Input.Detail_},
       {"again-in", std::to_string((RetryAt - Node.Now_).count())}});
}

} // namespace fulmarshelf::store_system
