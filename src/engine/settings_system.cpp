#include "fulmarshelf/detail/engine/systems.hpp" // settings_system

#include <algorithm> // max, min

namespace fulmarshelf::settings_system {

namespace {

constexpr Micros TickInterval = millis(500);
// With a route table a change has two seconds to be in force everywhere; news
// that no near node has within a quarter of them is fetched from afar.
constexpr Micros ShortTickInterval = millis(250);
constexpr Micros NewsPatience = millis(500);
constexpr Micros LeastBackoff = millis(500);
constexpr Micros MostBackoff = millis(8000);
// After a stop of the whole mesh every node must be back within two seconds of
// the store's return.
constexpr Micros MostRoutesBackoff = millis(1000);
constexpr Micros DigestSyncInterval = millis(1000);
constexpr Micros MembersSyncInterval = millis(30'000);
constexpr std::size_t WatchersOfDomain = 2;
constexpr unsigned EarlyNodesLists = 3;
constexpr unsigned NewsRounds = 2;
constexpr Micros EarlyNodesInterval = millis(2000);
constexpr Micros NodesInterval = millis(60'000);

std::uint64_t knownVersion(const NodeState &Node, const std::string &Path) {
  std::uint64_t Version = Node.Settings_.versionOf(Path);
  auto Faulty = Node.Sync_.Rejected_.find(Path);
  if (Faulty != Node.Sync_.Rejected_.end())
    Version = std::max(Version, Faulty->second);
  return Version;
}

void logSubtree(NodeState &Node, EventNumber Event, const SubtreeVersion &Item,
                const std::string &Source) {
  log(Node, Event,
      {{"path", Item.Path_},
       {"version", std::to_string(Item.Version_)},
       {"deleted", Item.Deleted_ ? "yes" : "no"},
       {"source", Source}});
}

// Puts versions in force and tells some members of those that were new.
void applyAll(NodeState &Node, const std::vector<SubtreeVersion> &Offered,
              const std::string &Source) {
  std::vector<SettingsVersion> SettingsUpdate;
  for (const SubtreeVersion &Item : Offered) {
    if (Item.Version_ <= knownVersion(Node, Item.Path_)) {
      if (Item.Version_ < knownVersion(Node, Item.Path_))
        logSubtree(Node, EventNumber::SettingsIgnored, Item, Source);
      continue;
    }
    if (Node.Settings_.apply(Item) == ApplyResult::Faulty) {
      Node.Sync_.Rejected_[Item.Path_] = Item.Version_;
      logSubtree(Node, EventNumber::SettingsRejected, Item, Source);
      continue;
    }
    if (Item.Path_ == RouteTablePath)
      Node.Sync_.Unreadable_.clear();
    logSubtree(Node, EventNumber::SettingsApplied, Item, Source);
    SettingsUpdate.push_back({Item.Path_, Item.Version_});
  }
  Node.Membership_.setSettingsDigest(Node.Settings_.digest());
  if (SettingsUpdate.empty())
    return;
  Node.Membership_.broadcast(SettingsUpdate);
  Node.Sync_.Updates_ = SettingsUpdate;
  Node.Sync_.UpdateRounds_ = NewsRounds;
}

// News told once to four members misses about one member in fifty; told again
// in the next rounds it misses none to speak of.
void repeatNews(NodeState &Node) {
  if (Node.Sync_.UpdateRounds_ == 0)
    return;
  --Node.Sync_.UpdateRounds_;
  Node.Membership_.broadcast(Node.Sync_.Updates_);
}

// Asks the far node that told of news when no near one had it in time.
void askAwaited(NodeState &Node) {
  SettingsSync &Sync = Node.Sync_;
  if (Sync.AwaitedMember_.empty() || Node.Now_ < Sync.SyncAt_)
    return;
  const Member *From = Node.Membership_.find(Sync.AwaitedMember_);
  bool Behind = Sync.AwaitedDigest_ != Node.Settings_.digest();
  Sync.AwaitedMember_.clear();
  if (From != nullptr && Behind)
    link_system::sync(Node, *From);
}

void beginServing(NodeState &Node, const std::string &Source) {
  bool Ready = !hasRouteTable(Node) || Node.Settings_.routes() != nullptr;
  if (Node.Phase_ != NodePhase::Starting || !Ready)
    return;
  Node.Phase_ = NodePhase::Serving;
  log(Node, EventNumber::NodeServing, {{"settings", Source}});
  // The backend server may have announced itself before.
  if (Node.Backend_.Announced_)
    Node.Membership_.setSelf(MemberStatus::Alive,
                             backend_system::isServing(Node)
                                 ? Node.Backend_.Announcement_.Service_
                                 : "");
  Node.Membership_.broadcast({});
}

// What is in force but not listed was deleted at this revision or before.
void addDeletions(const NodeState &Node, const StoreListed &Input,
                  std::vector<SubtreeVersion> &Offered) {
  for (const SubtreeVersion &Known : Node.Settings_.all()) {
    bool Listed = Known.Path_ == RouteTablePath;
    for (const SubtreeVersion &Item : Input.Subtrees_)
      Listed = Listed || Item.Path_ == Known.Path_;
    if (!Listed && !Known.Deleted_ && Known.Version_ <= Input.Revision_)
      Offered.push_back({Known.Path_, Input.Revision_, true, {}});
  }
}

Member seedMember(const std::string &Name, const Endpoint &Seed) {
  Member Unknown;
  Unknown.Node_ = Name;
  Unknown.Peer_ = Seed;
  return Unknown;
}

// Nodes that started at one time can form islands that know nothing of each
// other. The platform's list shows them, and one contact joins two islands.
bool askUnmetNode(NodeState &Node) {
  std::vector<NodeSeed> &Unmet = Node.Sync_.UnknownNodes_;
  while (!Unmet.empty()) {
    NodeSeed Next = Unmet.back();
    Unmet.pop_back();
    if (Next.Node_ == ownName(Node) ||
        Node.Membership_.find(Next.Node_) != nullptr)
      continue;
    link_system::sync(Node, seedMember(Next.Node_, Next.Peer_));
    return true;
  }
  return false;
}

// Asks one more first contact each time it is called.
void askNextPeer(NodeState &Node) {
  if (askUnmetNode(Node))
    return;
  std::vector<Member> Known = Node.Membership_.sample(1);
  if (!Known.empty()) {
    if (Node.Phase_ == NodePhase::Starting)
      link_system::sync(Node, Known.front());
    return;
  }
  SettingsSync &Sync = Node.Sync_;
  if (Sync.Seeds_.empty())
    return;
  const Endpoint &Seed = Sync.Seeds_[Sync.NextSeed_++ % Sync.Seeds_.size()];
  if (Seed != Node.Config_.Settings_.AdvertisedPeer_)
    link_system::sync(Node, seedMember("", Seed));
}

// A node writes its own address before it lists the others, so of two nodes
// that start together at least one sees the other.
void callForNodes(NodeState &Node) {
  SettingsSync &Sync = Node.Sync_;
  if (Node.Now_ < Sync.NextStoreTry_)
    return;
  if (!Sync.Announced_ && !Sync.AnnouncePending_) {
    Sync.AnnouncePending_ = true;
    emit(Node, StoreAnnounce{});
  }
  bool Due = Sync.NodesLists_ < EarlyNodesLists || isWatcher(Node);
  if (!Sync.Announced_ || Sync.NodesListPending_ || !Due ||
      Node.Now_ < Sync.NextNodesList_)
    return;
  Sync.NodesListPending_ = true;
  emit(Node, StoreListNodes{});
}

void follow(NodeState &Node, Collection Kind) {
  CollectionSync &Sync = Node.Sync_.Collections_[Kind];
  if (Node.Now_ < Sync.NextTry_)
    return;
  bool Watcher = isWatcher(Node);
  bool Missing =
      Kind == Collection::Routes && Node.Settings_.routes() == nullptr;
  bool NeedsList = Node.Phase_ == NodePhase::Starting || Watcher || Missing;
  if (!Sync.Listed_ && !Sync.ListPending_ && NeedsList) {
    Sync.ListPending_ = true;
    emit(Node, StoreList{Kind});
  }
  if (Sync.Listed_ && !Sync.WatchPending_ && Watcher) {
    Sync.WatchPending_ = true;
    log(Node, EventNumber::WatchStarted,
        {{"of", std::string(collectionName(Kind))},
         {"revision", std::to_string(Sync.Revision_)}});
    emit(Node, StoreWatch{Kind, Sync.Revision_});
  }
  if (!Watcher && Sync.Listed_ && !Sync.WatchPending_)
    Sync.Listed_ = false; // what was listed grows old without a watch
}

void callStore(NodeState &Node) {
  follow(Node, Collection::Teams);
  if (hasRouteTable(Node))
    follow(Node, Collection::Routes);
  callForNodes(Node);
}

// What a store call that worked says about the store.
void noteStoreBack(NodeState &Node, Micros &Backoff) {
  if (Backoff.count() > 0)
    log(Node, EventNumber::StoreBack,
        {{"backoff", std::to_string(Backoff.count())}});
  Backoff = Micros(0);
}

// Waits longer after each failure; returns when to try again.
TimePoint backOff(NodeState &Node, Micros &Backoff) {
  Micros Most = hasRouteTable(Node) ? MostRoutesBackoff : MostBackoff;
  Backoff = std::clamp(Backoff * 2, LeastBackoff, Most);
  std::uniform_int_distribution<Micros::rep> Jitter(0, Backoff.count() / 2);
  return Node.Now_ + Backoff + Micros(Jitter(Node.Random_));
}

} // namespace

// Two nodes of each failure domain watch, chosen by rendezvous hashing over
// the members that are alive, so that the standing load on the platform does
// not grow with the mesh.
bool isWatcher(const NodeState &Node) {
  const std::string &Domain = Node.Config_.Settings_.FailureDomain_;
  std::uint64_t Own = rendezvousWeight(Domain, ownName(Node));
  std::size_t Heavier = 0;
  for (const Member &Known : Node.Membership_.available())
    if (Known.FailureDomain_ == Domain &&
        Known.Status_ == MemberStatus::Alive &&
        rendezvousWeight(Domain, Known.Node_) > Own)
      ++Heavier;
  return Heavier < WatchersOfDomain && Node.Phase_ != NodePhase::Leaving;
}

SyncMessage syncMessage(const NodeState &Node) {
  SyncMessage Message;
  Message.From_ = Node.Membership_.self();
  Message.MembersDigest_ = Node.Membership_.digest();
  for (const SubtreeVersion &Item : Node.Settings_.all())
    Message.Settings_.push_back({Item.Path_, Item.Version_});
  return Message;
}

void start(NodeState &Node) {
  log(Node, EventNumber::NodeStarted,
      {{"node", ownName(Node)},
       {"incarnation", std::to_string(Node.Config_.Incarnation_)}});
  tick(Node);
}

void tick(NodeState &Node) {
  if (Node.Phase_ == NodePhase::Stopped)
    return;
  callStore(Node);
  askNextPeer(Node);
  repeatNews(Node);
  askAwaited(Node);
  setTimer(Node, hasRouteTable(Node) ? ShortTickInterval : TickInterval,
           TimerKind::SettingsSync);
}

void onListed(NodeState &Node, const StoreListed &Input) {
  CollectionSync &Sync = Node.Sync_.Collections_[Input.Collection_];
  Sync.ListPending_ = false;
  Sync.Listed_ = true;
  noteStoreBack(Node, Sync.Backoff_);
  Sync.Revision_ = std::max(Sync.Revision_, Input.Revision_);
  std::vector<SubtreeVersion> Offered = Input.Subtrees_;
  if (Input.Collection_ == Collection::Teams)
    addDeletions(Node, Input, Offered);
  applyAll(Node, Offered, "store");
  if (Input.Collection_ == Collection::Teams || !Offered.empty())
    beginServing(Node, "store");
  callStore(Node);
}

void onAnnounced(NodeState &Node) {
  Node.Sync_.AnnouncePending_ = false;
  Node.Sync_.Announced_ = true;
  noteStoreBack(Node, Node.Sync_.StoreBackoff_);
  callStore(Node);
}

void onNodesListed(NodeState &Node, const StoreNodesListed &Input) {
  SettingsSync &Sync = Node.Sync_;
  Sync.NodesListPending_ = false;
  noteStoreBack(Node, Sync.StoreBackoff_);
  Sync.UnknownNodes_ = Input.Nodes_;
  std::shuffle(Sync.UnknownNodes_.begin(), Sync.UnknownNodes_.end(),
               Node.Random_);
  ++Sync.NodesLists_;
  Sync.NextNodesList_ =
      Node.Now_ +
      (Sync.NodesLists_ < EarlyNodesLists ? EarlyNodesInterval : NodesInterval);
  askNextPeer(Node);
}

void onWatched(NodeState &Node, const StoreWatched &Input) {
  CollectionSync &Sync = Node.Sync_.Collections_[Input.Collection_];
  Sync.WatchPending_ = false;
  noteStoreBack(Node, Sync.Backoff_);
  Sync.Revision_ = std::max(Sync.Revision_, Input.Revision_);
  applyAll(Node, Input.Changes_, "watch");
  if (!isWatcher(Node))
    log(Node, EventNumber::WatchStopped,
        {{"of", std::string(collectionName(Input.Collection_))},
         {"revision", std::to_string(Sync.Revision_)}});
  callStore(Node);
}

void onUnreadable(NodeState &Node, const StoreUnreadable &Input) {
  Node.Sync_.Unreadable_ = Input.Detail_;
  log(Node, EventNumber::StoreUnreadable,
      {{"of", std::string(collectionName(Input.Collection_))},
       {"revision", std::to_string(Input.Revision_)},
       {"detail", Input.Detail_}});
}

void onFailed(NodeState &Node, const StoreFailed &Input) {
  SettingsSync &Sync = Node.Sync_;
  TimePoint Again;
  if (Input.Call_ == StoreCall::List || Input.Call_ == StoreCall::Watch) {
    CollectionSync &Kind = Sync.Collections_[Input.Collection_];
    if (Input.Call_ == StoreCall::List)
      Kind.ListPending_ = false;
    else
      Kind.WatchPending_ = Kind.Listed_ = false; // changes may have been missed
    Again = Kind.NextTry_ = backOff(Node, Kind.Backoff_);
  } else {
    if (Input.Call_ == StoreCall::Announce)
      Sync.AnnouncePending_ = false;
    if (Input.Call_ == StoreCall::Nodes)
      Sync.NodesListPending_ = false;
    Again = Sync.NextStoreTry_ = backOff(Node, Sync.StoreBackoff_);
  }
  log(Node, EventNumber::StoreFailed,
      {{"call", std::string(storeCallName(Input.Call_))},
       {"of", std::string(collectionName(Input.Collection_))},
       {"again-in", std::to_string((Again - Node.Now_).count())}});
}

void onSyncArrived(NodeState &Node, const SyncArrived &Input) {
  const SyncMessage &Message = Input.Message_;
  Node.Membership_.learn(Node.Now_, {Message.From_});
  SyncReply Reply;
  Reply.Serving_ = Node.Phase_ == NodePhase::Serving;
  if (Message.MembersDigest_ != Node.Membership_.digest()) {
    Reply.Members_ = Node.Membership_.all();
    Reply.Members_.push_back(Node.Membership_.self());
  }
  for (const SubtreeVersion &Item : Node.Settings_.all()) {
    std::uint64_t Known = 0;
    for (const SettingsVersion &Theirs : Message.Settings_)
      if (Theirs.Path_ == Item.Path_)
        Known = Theirs.Version_;
    if (Item.Version_ > Known)
      Reply.Subtrees_.push_back(Item);
  }
  emit(Node, AnswerSync{Input.Stream_, Reply});
}

void onSyncAnswered(NodeState &Node, const SyncAnswered &Input) {
  Node.Membership_.learn(Node.Now_, Input.Reply_.Members_);
  applyAll(Node, Input.Reply_.Subtrees_, "peer");
  if (Input.Reply_.Serving_)
    beginServing(Node, "peer");
}

namespace {

bool isNear(const NodeState &Node, const Member &Other) {
  return Other.FailureDomain_ == Node.Config_.Settings_.FailureDomain_;
}

// A watcher has the news from the store at the same time, and the others can
// have it from a node of their own domain, so that a large table crosses
// domains only when neither works.
bool canWaitForNews(NodeState &Node) {
  if (!hasRouteTable(Node) || Node.Phase_ != NodePhase::Serving)
    return false;
  CollectionSync &Routes = Node.Sync_.Collections_[Collection::Routes];
  if (isWatcher(Node))
    return Routes.WatchPending_;
  for (const Member &Other : Node.Membership_.available())
    if (isNear(Node, Other))
      return true;
  return false;
}

} // namespace

void onSettingsUpdate(NodeState &Node, const GossipMessage &Message) {
  bool Newer = false;
  for (const SettingsVersion &Item : Message.SettingsUpdates_)
    Newer = Newer || Item.Version_ > knownVersion(Node, Item.Path_);
  bool SettingsDiffer = Message.SettingsDigest_ != Node.Settings_.digest() &&
                        Node.Now_ >= Node.Sync_.NextDigestSync_;
  bool MembersDiffer = Message.MembersDigest_ != Node.Membership_.digest() &&
                       Node.Now_ >= Node.Sync_.NextMemberSync_;
  if (!Newer && !SettingsDiffer && !MembersDiffer)
    return;
  const Member *From = Node.Membership_.find(Message.From_);
  if (From == nullptr)
    return;
  bool OnlySettings = (Newer || SettingsDiffer) && !MembersDiffer;
  if (OnlySettings && !isNear(Node, *From) && canWaitForNews(Node)) {
    if (Node.Sync_.AwaitedMember_.empty())
      Node.Sync_.SyncAt_ = Node.Now_ + NewsPatience;
    Node.Sync_.AwaitedMember_ = Message.From_;
    Node.Sync_.AwaitedDigest_ = Message.SettingsDigest_;
    return;
  }
  if (SettingsDiffer)
    Node.Sync_.NextDigestSync_ = Node.Now_ + DigestSyncInterval;
  if (MembersDiffer)
    Node.Sync_.NextMemberSync_ = Node.Now_ + MembersSyncInterval;
  link_system::sync(Node, *From);
}

} // namespace fulmarshelf::settings_system
