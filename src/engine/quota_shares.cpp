#include "quota_shares.hpp"

#include "fulmarshelf/detail/base/hash.hpp"      // stableHash
#include "fulmarshelf/detail/engine/systems.hpp" // quota_system

#include <algorithm> // clamp, max, min
#include <random>    // uniform_int_distribution

namespace fulmarshelf {

namespace {

// Each pool node receives about a hundred moves a second, whatever the number
// of nodes.
constexpr Micros MoveIntervalPerNode = millis(10);
constexpr Micros MinMoveInterval = millis(500);
// One move is worth no more than 0.05 s of a rate, half the least capacity of a
// bucket.
constexpr Micros MaxMoveIntervalPerNode = millis(50);
constexpr Micros MaxMoveInterval = millis(10'000);
// Share time from before a change of the pool node is mostly lost, since the
// former pool may have spent as much in the same window.
constexpr Micros MaxMoveToNewPool = millis(500);
constexpr Micros SilentTime = millis(3000);
// A node that was silent is tried again this much later at most.
constexpr Micros ChoiceInterval = millis(1000);
// After a start, the list of the store is more complete than the members that
// have become known.
constexpr Micros ListValidity = millis(10'000);

// Number of nodes that may move share time. A node that counts as dead is
// included: behind a cut it lives and moves its part to another pool.
std::size_t nodeCount(const NodeState &Node) {
  std::size_t Known = Node.Membership_.staying() + 1;
  const QuotaState &Quotas = Node.Quotas_;
  bool Listed =
      Quotas.ListedNodes_ > 0 && Node.Now_ - Quotas.ListedAt_ < ListValidity;
  return Listed ? std::max(Known, Quotas.ListedNodes_) : Known;
}

// A node that has just started does not know the number of nodes.
bool knowsNodes(const NodeState &Node) {
  return Node.Quotas_.ListedNodes_ > 0 || Node.Membership_.staying() > 0;
}

Micros moveInterval(const NodeState &Node) {
  auto Nodes = static_cast<Micros::rep>(nodeCount(Node));
  return std::clamp(MoveIntervalPerNode * Nodes,
                    std::min(MinMoveInterval, MaxMoveIntervalPerNode * Nodes),
                    MaxMoveInterval);
}

// Every node moves share time twice within this time.
Micros contributionWindow(const NodeState &Node) {
  return 2 * moveInterval(Node);
}

bool isSilent(const NodeState &Node, const std::string &Name) {
  auto Entry = Node.Quotas_.Silent_.find(Name);
  return Entry != Node.Quotas_.Silent_.end() && Node.Now_ < Entry->second;
}

std::string choosePoolNode(const NodeState &Node, std::uint32_t Partition) {
  std::string Key = "quota-" + std::to_string(Partition);
  std::string Best = localNodeName(Node);
  std::uint64_t BestWeight =
      Node.Phase_ == NodePhase::Leaving ? 0 : rendezvousWeight(Key, Best);
  for (const Member *Other : Node.Membership_.availableMembers()) {
    if (Other->Status_ != MemberStatus::Alive || isSilent(Node, Other->Node_))
      continue;
    std::uint64_t Weight = rendezvousWeight(Key, Other->Node_);
    if (Weight <= BestWeight)
      continue;
    BestWeight = Weight;
    Best = Other->Node_;
  }
  return Best;
}

void moveTo(NodeState &Node, std::uint32_t Partition, Micros ShareTime) {
  const std::string &PoolNode = Node.Quotas_.Partitions_[Partition].PoolNode_;
  if (PoolNode == localNodeName(Node)) {
    Node.Quotas_.Pools_[Partition].onShareTime(Node.Now_, ShareTime,
                                               contributionWindow(Node));
    return;
  }
  const Member *Pool = Node.Membership_.find(PoolNode);
  if (Pool != nullptr)
    emit(Node,
         SendDatagram{
             Pool->Peer_,
             encode(ShareTimeMoved{
                 localNodeName(Node), Node.Membership_.self().Incarnation_,
                 ++Node.Quotas_.LastMove_, Partition, ShareTime})});
}

// Moves the time since the last move, divided by the number of nodes. What a
// node does not move in time is lost.
void moveShare(NodeState &Node, std::uint32_t Partition) {
  quotaPoolNode(Node, Partition);
  QuotaPartition &Entry = Node.Quotas_.Partitions_[Partition];
  Micros Elapsed =
      std::min<Micros>(Node.Now_ - Entry.MovedAt_, contributionWindow(Node));
  Entry.MovedAt_ = Node.Now_;
  Micros ShareTime = Elapsed / static_cast<Micros::rep>(nodeCount(Node));
  if (ShareTime.count() > 0 && knowsNodes(Node))
    moveTo(Node, Partition, ShareTime);
}

void forgetFormerMembers(NodeState &Node) {
  auto IsFormer = [&Node](const std::string &Name) {
    return Node.Membership_.find(Name) == nullptr;
  };
  std::erase_if(Node.Quotas_.Moves_,
                [&](const auto &Entry) { return IsFormer(Entry.first.first); });
  std::erase_if(Node.Quotas_.Silent_,
                [&](const auto &Entry) { return IsFormer(Entry.first); });
}

} // namespace

std::uint32_t quotaPartitionOf(const std::string &Tenant) {
  return static_cast<std::uint32_t>(stableHash(Tenant) % QuotaPartitions);
}

const std::string &quotaPoolNode(NodeState &Node, std::uint32_t Partition) {
  QuotaPartition &Entry = Node.Quotas_.Partitions_[Partition];
  if (!Entry.PoolNode_.empty() && Node.Now_ < Entry.ChosenUntil_ &&
      Entry.ChosenAmong_ == Node.Membership_.changes())
    return Entry.PoolNode_;
  Entry.ChosenAmong_ = Node.Membership_.changes();
  Entry.ChosenUntil_ = Node.Now_ + ChoiceInterval;
  std::string Chosen = choosePoolNode(Node, Partition);
  if (Chosen == Entry.PoolNode_)
    return Entry.PoolNode_;
  log(Node, EventNumber::QuotaPoolChanged,
      {{"partition", std::to_string(Partition)},
       {"node", Chosen},
       {"before", Entry.PoolNode_}});
  Entry.PoolNode_ = Chosen;
  Entry.Unanswered_ = 0;
  Entry.MovedAt_ =
      std::max<TimePoint>(Entry.MovedAt_, Node.Now_ - MaxMoveToNewPool);
  return Entry.PoolNode_;
}

void avoidQuotaPool(NodeState &Node, const std::string &PoolNode) {
  log(Node, EventNumber::QuotaPoolSilent, {{"node", PoolNode}});
  Node.Quotas_.Silent_[PoolNode] = Node.Now_ + SilentTime;
  for (QuotaPartition &Entry : Node.Quotas_.Partitions_)
    if (Entry.PoolNode_ == PoolNode)
      Entry.ChosenUntil_ = Node.Now_;
}

namespace quota_system {

void startMoving(NodeState &Node) {
  QuotaState &Quotas = Node.Quotas_;
  if (Quotas.MoveTimerSet_)
    return;
  Quotas.MoveTimerSet_ = true;
  for (QuotaPartition &Entry : Quotas.Partitions_)
    Entry.MovedAt_ = Node.Now_;
  // Nodes that start together move at different times.
  std::uniform_int_distribution<Micros::rep> Delay(0,
                                                   moveInterval(Node).count());
  std::uniform_int_distribution<std::uint32_t> First(0, QuotaPartitions - 1);
  Quotas.NextPartition_ = First(Node.Random_);
  setTimer(Node, Micros(Delay(Node.Random_)), TimerKind::ShareTimeMove);
}

void moveShareTime(NodeState &Node) {
  QuotaState &Quotas = Node.Quotas_;
  if (!Node.Settings_.tenants().hasQuotas() ||
      Node.Phase_ == NodePhase::Stopped) {
    Quotas.MoveTimerSet_ = false;
    return;
  }
  if (Quotas.NextPartition_ == 0)
    forgetFormerMembers(Node);
  // A node that leaves does not count among the nodes of the others.
  if (Node.Phase_ != NodePhase::Leaving)
    moveShare(Node, Quotas.NextPartition_);
  Quotas.NextPartition_ = (Quotas.NextPartition_ + 1) % QuotaPartitions;
  setTimer(Node, moveInterval(Node) / static_cast<Micros::rep>(QuotaPartitions),
           TimerKind::ShareTimeMove);
}

void onNodesListed(NodeState &Node, std::size_t Count) {
  Node.Quotas_.ListedNodes_ = Count;
  Node.Quotas_.ListedAt_ = Node.Now_;
}

// A move that arrives twice, or after a later one, is dropped.
void receive(NodeState &Node, const ShareTimeMoved &Message) {
  if (Message.Partition_ >= QuotaPartitions)
    return;
  std::pair<Incarnation, std::uint64_t> Move{Message.Incarnation_,
                                             Message.Sequence_};
  std::pair<Incarnation, std::uint64_t> &Last =
      Node.Quotas_.Moves_[{Message.From_, Message.Partition_}];
  if (Move <= Last)
    return;
  Last = Move;
  Node.Quotas_.Pools_[Message.Partition_].onShareTime(
      Node.Now_, Message.ShareTime_, contributionWindow(Node));
}

} // namespace quota_system

} // namespace fulmarshelf
