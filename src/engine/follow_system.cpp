#include "fulmarshelf/detail/engine/systems.hpp" // follow_system

#include <algorithm> // clamp, find, max, sort
#include <bit>       // bit_width
#include <map>       // map

namespace fulmarshelf::follow_system {

namespace {

constexpr std::size_t WatchersPerDomain = 2;
// The store counts as unread when no follower has got an answer for this time:
// three turns.
constexpr Micros EvidenceBound = 3 * StoreFollowers::EvidenceInterval;
// Each step doubles the number of nodes that ask the store themselves. It is
// longer than a call and the spread of its evidence.
constexpr Micros TakeOverStep = millis(100);
constexpr Micros MinSubstitution = millis(3000);
// Bounds the calls of all nodes together while the store answers none of them.
constexpr Micros RetryPerMember = millis(20);
constexpr Micros MinRetry = millis(2000);
constexpr Micros MaxRetry = millis(12'000);
// Watches take at most this part of the time for which a proof of the settings
// is valid.
constexpr int ProofDivisor = 4;
constexpr std::size_t TreeFanout = 3;
// A started node knows no members at first, and watches until it has learned
// whether it is elected. It takes nothing over before.
constexpr Micros LoneWatchTime = millis(2000);
constexpr Micros StartTime = millis(3000);
constexpr Micros MinCheckDelay = millis(10);

const std::string &localDomain(const NodeState &Node) {
  return Node.Config_.Settings_.FailureDomain_;
}

// Number of members that ask the store before this node does.
std::size_t rankOf(const NodeState &Node) {
  std::uint64_t LocalWeight = StoreFollowers::weight(localNodeName(Node));
  std::size_t Rank = 0;
  for (const Member *Other : Node.Membership_.availableMembers())
    if (StoreFollowers::weight(Other->Node_) > LocalWeight)
      ++Rank;
  return Rank;
}

TimePoint takeOverAt(const NodeState &Node) {
  TimePoint Unread = Node.Sync_.Followers_.newest() + EvidenceBound;
  if (Node.Now_ < Unread)
    return Unread;
  auto Steps = static_cast<Micros::rep>(std::bit_width(rankOf(Node)));
  return std::max<TimePoint>(Unread + TakeOverStep * Steps,
                             Node.Sync_.NextTakeOverAt_);
}

void takeOver(NodeState &Node) {
  SettingsSync &Sync = Node.Sync_;
  log(Node, EventNumber::StoreFollowingStarted,
      {{"unread",
        std::to_string((Node.Now_ - Sync.Followers_.newest()).count())}});
  Sync.Substitute_ = true;
  Sync.SubstituteSince_ = Node.Now_;
  Sync.Collections_[settingsCollection(Node)].NextCallAt_ = Node.Now_;
  store_system::call(Node);
}

void resign(NodeState &Node, const std::string &Reason) {
  Node.Sync_.Substitute_ = false;
  log(Node, EventNumber::StoreFollowingStopped, {{"why", Reason}});
}

// Sends evidence to the next members of this failure domain, in a tree whose
// shape depends on its root, so that a member that does not pass it on cuts off
// others only for the evidence of some roots.
void passOn(NodeState &Node, const StoreEvidence &Evidence) {
  std::vector<const Member *> Members;
  for (const Member *Other : Node.Membership_.availableMembers())
    if (Other->FailureDomain_ == localDomain(Node))
      Members.push_back(Other);
  Members.push_back(&Node.Membership_.self());
  const std::string &Root = Evidence.Root_;
  auto Precedes = [&Root](const Member *Left, const Member *Right) {
    if ((Left->Node_ == Root) != (Right->Node_ == Root))
      return Left->Node_ == Root;
    return rendezvousWeight(Root, Left->Node_) >
           rendezvousWeight(Root, Right->Node_);
  };
  std::sort(Members.begin(), Members.end(), Precedes);
  auto Self =
      std::find(Members.begin(), Members.end(), &Node.Membership_.self());
  auto Position = static_cast<std::size_t>(Self - Members.begin());
  std::size_t FirstChild = TreeFanout * Position + 1;
  std::vector<Endpoint> Children;
  for (std::size_t Child = FirstChild;
       Child < std::min(FirstChild + TreeFanout, Members.size()); ++Child)
    Children.push_back(Members[Child]->Peer_);
  for (const Endpoint &Child : Children)
    Node.Membership_.sendEvidence(Child, Evidence);
}

// Sends evidence to one member of each other failure domain, which passes it on
// there.
void sendToOtherDomains(NodeState &Node, StoreEvidence Evidence) {
  std::map<std::string, std::vector<const Member *>> Domains;
  for (const Member *Other : Node.Membership_.availableMembers())
    if (Other->FailureDomain_ != localDomain(Node) &&
        Other->Status_ == MemberStatus::Alive)
      Domains[Other->FailureDomain_].push_back(Other);
  for (const std::pair<const std::string, std::vector<const Member *>> &Domain :
       Domains) {
    std::uniform_int_distribution<std::size_t> Index(0,
                                                     Domain.second.size() - 1);
    const Member *Relay = Domain.second[Index(Node.Random_)];
    Evidence.Root_ = Relay->Node_;
    Node.Membership_.sendEvidence(Relay->Peer_, Evidence);
  }
}

} // namespace

Collection settingsCollection(const NodeState &Node) {
  return hasRouteTable(Node) ? Collection::Routes : Collection::Teams;
}

// Two nodes of each failure domain are elected by rendezvous hashing over the
// members that are alive, so that the standing load on the store does not grow
// with the mesh.
bool isElected(const NodeState &Node) {
  std::uint64_t LocalWeight =
      rendezvousWeight(localDomain(Node), localNodeName(Node));
  std::size_t Heavier = 0;
  for (const Member *Other : Node.Membership_.availableMembers())
    if (Other->FailureDomain_ == localDomain(Node) &&
        Other->Status_ == MemberStatus::Alive &&
        rendezvousWeight(localDomain(Node), Other->Node_) > LocalWeight)
      ++Heavier;
  return Heavier < WatchersPerDomain;
}

bool follows(const NodeState &Node) {
  return Node.Phase_ != NodePhase::Leaving &&
         (Node.Sync_.Substitute_ || isElected(Node));
}

bool isFollowedInLocalDomain(const NodeState &Node) {
  for (const Member *Other : Node.Membership_.availableMembers())
    if (Other->FailureDomain_ == localDomain(Node) &&
        Node.Sync_.Followers_.isFollowing(Node.Now_, Other->Node_))
      return true;
  return false;
}

Micros watchTime(const NodeState &Node) {
  const MeshBounds &Bounds = Node.Config_.Settings_.Bounds_;
  Micros MaxPeriod = StoreFollowers::MaxWatchTime;
  // An answer proves the settings for the time at which the watch began.
  if (Bounds.FailClosed_)
    MaxPeriod = std::min(MaxPeriod, Bounds.RevokeTime_ / ProofDivisor);
  if (Node.Membership_.availableMembers().empty())
    return std::min(LoneWatchTime, MaxPeriod);
  return Node.Sync_.Followers_.watchTime(Node.Now_, localNodeName(Node),
                                         MaxPeriod);
}

void onServing(NodeState &Node) {
  Node.Sync_.Followers_.onOtherAnswer(Node.Now_);
  Node.Sync_.NextTakeOverAt_ = Node.Now_ + StartTime;
}

void onAnswered(NodeState &Node, Collection Answered) {
  if (Answered != settingsCollection(Node))
    return;
  SettingsSync &Sync = Node.Sync_;
  if (!follows(Node)) {
    Sync.Followers_.onOtherAnswer(Node.Now_);
    return;
  }
  StoreEvidence Evidence{localNodeName(Node), isElected(Node), Micros(0),
                         localNodeName(Node)};
  Sync.Followers_.onAnswer(Node.Now_, Evidence.Node_, Evidence.Elected_);
  sendToOtherDomains(Node, Evidence);
  passOn(Node, Evidence);
}

void onEvidence(NodeState &Node, const GossipMessage &Message) {
  StoreEvidence Evidence = Message.Evidence_;
  // An answer of an earlier era says nothing about the present store.
  bool Outdated = Message.StoreEra_ < Node.Sync_.Era_.value_or(0);
  if (Evidence.Node_.empty() || Evidence.Node_ == localNodeName(Node) ||
      Outdated)
    return;
  proof_system::onEvidence(Node, Message.From_);
  if (Node.Sync_.Followers_.onAnswer(Node.Now_ - Evidence.Age_, Evidence.Node_,
                                     Evidence.Elected_))
    passOn(Node, Evidence);
}

// The duty passes on to others: a refused node asks again only after a time
// that grows with the mesh.
void onFailed(NodeState &Node, Collection Failed) {
  SettingsSync &Sync = Node.Sync_;
  if (!Sync.Substitute_ || Failed != settingsCollection(Node))
    return;
  auto Members =
      static_cast<Micros::rep>(Node.Membership_.availableMembers().size() + 1);
  Micros Retry = std::clamp(RetryPerMember * Members, MinRetry, MaxRetry);
  std::uniform_int_distribution<Micros::rep> Jitter(0, Retry.count() / 2);
  Sync.NextTakeOverAt_ = Node.Now_ + Retry + Micros(Jitter(Node.Random_));
  resign(Node, "the store does not answer");
}

void check(NodeState &Node) {
  if (Node.Phase_ == NodePhase::Leaving || Node.Phase_ == NodePhase::Stopped)
    return;
  SettingsSync &Sync = Node.Sync_;
  bool Resigns = Sync.Substitute_ &&
                 Node.Now_ >= Sync.SubstituteSince_ + MinSubstitution &&
                 Sync.Followers_.preceding(Node.Now_, localNodeName(Node)) >=
                     WatchersPerDomain;
  if (Resigns)
    resign(Node, "others follow the store");
  Micros Delay = EvidenceBound;
  // A process that was paused has evidence still to read.
  bool IsLate =
      Node.Now_ > Sync.NextFollowerCheck_ + StoreFollowers::EvidenceInterval;
  if (IsLate)
    Delay = StoreFollowers::EvidenceInterval;
  else if (Node.Phase_ == NodePhase::Serving && !follows(Node)) {
    TimePoint TakeOverAt = takeOverAt(Node);
    if (Node.Now_ >= TakeOverAt)
      takeOver(Node);
    else
      Delay = std::max(MinCheckDelay, Micros(TakeOverAt - Node.Now_));
  }
  Sync.NextFollowerCheck_ = Node.Now_ + Delay;
  setTimer(Node, Delay, TimerKind::StoreFollowing);
}

} // namespace fulmarshelf::follow_system
