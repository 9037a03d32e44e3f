#include "fulmarshelf/detail/engine/systems.hpp" // settings_system

#include <algorithm> // max

namespace fulmarshelf::settings_system {

namespace {

constexpr Micros TickInterval = millis(500);
// With a route table a change must be in force on every node within two
// seconds. An update that no node of the local failure domain provides within
// the delay is fetched from a node of another domain.
constexpr Micros RouteTableTickInterval = millis(250);
constexpr Micros RemoteFetchDelay = millis(250);
constexpr Micros DigestSyncInterval = millis(1000);
constexpr Micros MembersSyncInterval = millis(30'000);
constexpr std::size_t MaxSyncedEvidence = 64;
constexpr unsigned UpdateRepeatRounds = 2;

// Highest version of a subtree that this node has applied or rejected. It does
// not fetch or apply that version again.
std::uint64_t knownVersion(const NodeState &Node, const std::string &Path) {
  std::uint64_t Version = Node.Settings_.versionOf(Path);
  auto RejectedEntry = Node.Sync_.Rejected_.find(Path);
  if (RejectedEntry != Node.Sync_.Rejected_.end())
    Version = std::max(Version, RejectedEntry->second);
  return Version;
}

// An update that is broadcast once, to four members, misses about one member in
// fifty. Repeating it in the next rounds reaches practically all members.
void rebroadcastUpdates(NodeState &Node) {
  if (Node.Sync_.UpdateRounds_ == 0)
    return;
  --Node.Sync_.UpdateRounds_;
  Node.Membership_.broadcast(Node.Sync_.Updates_);
}

// Fetches an update from the member of another failure domain that reported it,
// when no node of the local domain provided it in time.
void syncWithAwaitedMember(NodeState &Node) {
  SettingsSync &Sync = Node.Sync_;
  if (Sync.AwaitedMember_.empty() || Node.Now_ < Sync.SyncAt_)
    return;
  const Member *From = Node.Membership_.find(Sync.AwaitedMember_);
  bool DigestDiffers = Sync.AwaitedDigest_ != Node.Settings_.digest();
  Sync.AwaitedMember_.clear();
  if (From != nullptr && DigestDiffers)
    link_system::sync(Node, *From);
}

Member seedMember(const std::string &Name, const Endpoint &Seed) {
  Member Seeded;
  Seeded.Node_ = Name;
  Seeded.Peer_ = Seed;
  return Seeded;
}

// Nodes that start at the same time can form separate groups whose members do
// not know each other. The platform's list names all nodes, and one sync
// between two groups joins them.
bool syncWithUnknownNode(NodeState &Node) {
  std::vector<NodeSeed> &Unknown = Node.Sync_.UnknownNodes_;
  while (!Unknown.empty()) {
    NodeSeed Next = Unknown.back();
    Unknown.pop_back();
    if (Next.Node_ == localNodeName(Node) ||
        Node.Membership_.find(Next.Node_) != nullptr)
      continue;
    link_system::sync(Node, seedMember(Next.Node_, Next.Peer_));
    return true;
  }
  return false;
}

} // namespace

void logSubtree(NodeState &Node, EventNumber Event,
                const SubtreeVersion &Subtree, const std::string &Source) {
  log(Node, Event,
      {{"path", Subtree.Path_},
       {"version", versionText(Subtree)},
       {"deleted", Subtree.Deleted_ ? "yes" : "no"},
       {"source", Source}});
}

void applyAll(NodeState &Node, const std::vector<SubtreeVersion> &Offered,
              const std::string &Source) {
  std::vector<SettingsVersion> Applied;
  for (const SubtreeVersion &Subtree : Offered) {
    if (Subtree.Version_ <= knownVersion(Node, Subtree.Path_)) {
      if (Subtree.Version_ < knownVersion(Node, Subtree.Path_))
        logSubtree(Node, EventNumber::SettingsIgnored, Subtree, Source);
      continue;
    }
    if (Node.Settings_.apply(Subtree) == ApplyResult::Faulty) {
      Node.Sync_.Rejected_[Subtree.Path_] = Subtree.Version_;
      logSubtree(Node, EventNumber::SettingsRejected, Subtree, Source);
      continue;
    }
    if (Subtree.Path_ == RouteTablePath)
      Node.Sync_.Unreadable_.clear();
    logSubtree(Node, EventNumber::SettingsApplied, Subtree, Source);
    Applied.push_back({Subtree.Path_, Subtree.Version_});
  }
  Node.Membership_.setSettingsDigest(Node.Settings_.digest());
  if (Applied.empty())
    return;
  proof_system::onApplied(Node);
  quota_system::onApplied(Node);
  Node.Membership_.broadcast(Applied);
  Node.Sync_.Updates_ = Applied;
  Node.Sync_.UpdateRounds_ = UpdateRepeatRounds;
}

void beginServing(NodeState &Node, const std::string &Source) {
  bool Ready = !hasRouteTable(Node) || Node.Settings_.routes() != nullptr;
  if (Node.Phase_ != NodePhase::Starting || !Ready)
    return;
  Node.Phase_ = NodePhase::Serving;
  follow_system::onServing(Node);
  log(Node, EventNumber::NodeServing, {{"settings", Source}});
  // The backend server may have announced itself before the settings arrived.
  if (Node.Backend_.Announced_)
    Node.Membership_.setSelf(MemberStatus::Alive,
                             backend_system::isServing(Node)
                                 ? Node.Backend_.Announcement_.Service_
                                 : "");
  Node.Membership_.broadcast({});
}

void syncWithNextPeer(NodeState &Node) {
  if (syncWithUnknownNode(Node))
    return;
  std::vector<Member> Sampled = Node.Membership_.sample(1);
  if (!Sampled.empty()) {
    if (Node.Phase_ == NodePhase::Starting)
      link_system::sync(Node, Sampled.front());
    return;
  }
  SettingsSync &Sync = Node.Sync_;
  if (Sync.Seeds_.empty())
    return;
  const Endpoint &Seed = Sync.Seeds_[Sync.NextSeed_++ % Sync.Seeds_.size()];
  if (Seed != Node.Config_.Settings_.AdvertisedPeer_)
    link_system::sync(Node, seedMember("", Seed));
}

SyncMessage syncMessage(const NodeState &Node) {
  SyncMessage Message;
  Message.From_ = Node.Membership_.self();
  Message.MembersDigest_ = Node.Membership_.digest();
  for (const SubtreeVersion &Subtree : Node.Settings_.all())
    Message.Settings_.push_back({Subtree.Path_, Subtree.Version_});
  return Message;
}

void start(NodeState &Node) {
  log(Node, EventNumber::NodeStarted,
      {{"node", localNodeName(Node)},
       {"incarnation", std::to_string(Node.Config_.Incarnation_)}});
  tick(Node);
}

void tick(NodeState &Node) {
  if (Node.Phase_ == NodePhase::Stopped)
    return;
  store_system::call(Node);
  proof_system::tick(Node);
  syncWithNextPeer(Node);
  rebroadcastUpdates(Node);
  syncWithAwaitedMember(Node);
  setTimer(Node, hasRouteTable(Node) ? RouteTableTickInterval : TickInterval,
           TimerKind::SettingsSync);
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
  for (const SubtreeVersion &Subtree : Node.Settings_.all()) {
    std::uint64_t PeerVersion = 0;
    for (const SettingsVersion &PeerSetting : Message.Settings_)
      if (PeerSetting.Path_ == Subtree.Path_)
        PeerVersion = PeerSetting.Version_;
    if (Subtree.Version_ > PeerVersion)
      Reply.Subtrees_.push_back(Subtree);
  }
  Reply.Evidence_ = Node.Quarantine_.evidence(Node.Now_, MaxSyncedEvidence);
  emit(Node, AnswerSync{Input.Stream_, Reply});
}

void onSyncAnswered(NodeState &Node, const SyncAnswered &Input) {
  Node.Membership_.learn(Node.Now_, Input.Reply_.Members_);
  backend_system::onDeparturesLearned(Node);
  Node.Quarantine_.learnEvidence(Node.Now_, Input.Reply_.Evidence_);
  applyAll(Node, Input.Reply_.Subtrees_, "peer");
  if (Input.Reply_.Serving_)
    beginServing(Node, "peer");
}

namespace {

bool isInLocalDomain(const NodeState &Node, const Member &Other) {
  return Other.FailureDomain_ == Node.Config_.Settings_.FailureDomain_;
}

// A watcher receives an update from the store at the same time as the sender of
// the report, and other nodes can fetch it from a node of the local failure
// domain. A large table is fetched from another domain only when neither works.
bool canWaitForLocalUpdate(NodeState &Node) {
  if (!hasRouteTable(Node) || Node.Phase_ != NodePhase::Serving)
    return false;
  CollectionSync &Routes = Node.Sync_.Collections_[Collection::Routes];
  if (follow_system::follows(Node))
    return Routes.WatchPending_;
  return follow_system::isFollowedInLocalDomain(Node);
}

} // namespace

void onSettingsUpdate(NodeState &Node, const GossipMessage &Message) {
  store_era::onReported(Node, Message.StoreEra_);
  bool Newer = false;
  for (const SettingsVersion &Update : Message.SettingsUpdates_)
    Newer = Newer || Update.Version_ > knownVersion(Node, Update.Path_);
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
  if (OnlySettings && !isInLocalDomain(Node, *From) &&
      canWaitForLocalUpdate(Node)) {
    if (Node.Sync_.AwaitedMember_.empty())
      Node.Sync_.SyncAt_ = Node.Now_ + RemoteFetchDelay;
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
