#include "fulmarshelf/detail/engine/systems.hpp" // proof_system

#include <algorithm> // max

namespace fulmarshelf::proof_system {

namespace {

// Covers the different speeds of the clocks of this node and the store.
constexpr Micros ClockMargin = millis(100);
// A proof is renewed when it has reached this part of the time for which it is
// valid, so that several questions may be lost.
constexpr int RenewalDivisor = 4;
constexpr Micros QuestionInterval = millis(400);
constexpr Micros QuestionLifetime = millis(2000);
// After a restore of the store, a version that it has lost reaches every node
// from the nodes that have it before the store's answers count again.
constexpr Micros RestoreSettleTime = millis(2500);

Micros validity(const NodeState &Node) {
  return Node.Config_.Settings_.Bounds_.RevokeTime_ - ClockMargin;
}

bool needsProof(const NodeState &Node) {
  return Node.Config_.Settings_.Bounds_.FailClosed_ &&
         Node.Phase_ != NodePhase::Stopped;
}

std::uint64_t inForce(const NodeState &Node) {
  return Node.Settings_.versionOf(std::string(RouteTablePath));
}

bool isRenewalDue(const NodeState &Node) {
  std::optional<Micros> Age = age(Node);
  return !Age || *Age >= validity(Node) / RenewalDivisor;
}

void ask(NodeState &Node, const Member &Peer) {
  ProofSync &Sync = Node.Proof_;
  TimePoint Now = bootTime(Node);
  std::erase_if(Sync.Questions_, [Now](const auto &Entry) {
    return Entry.second + QuestionLifetime < Now;
  });
  std::uint64_t Id = ++Sync.LastQuestion_;
  Sync.Questions_[Id] = Now;
  Sync.NextQuestionAt_ = Now + QuestionInterval;
  emit(Node, SendDatagram{Peer.Peer_, encode(ProofRequested{Id})});
}

void logChange(NodeState &Node) {
  bool Proved = isProved(Node);
  if (Proved == Node.Proof_.WasProved_)
    return;
  Node.Proof_.WasProved_ = Proved;
  std::optional<Micros> Age = age(Node);
  log(Node,
      Proved ? EventNumber::SettingsProved : EventNumber::SettingsUnproved,
      {{"version", std::to_string(inForce(Node))},
       {"age", Age ? std::to_string(Age->count()) : "none"}});
}

} // namespace

std::optional<Micros> age(const NodeState &Node) {
  const std::optional<TimePoint> &ProvedAt = Node.Proof_.Proof_.provedAt();
  if (!ProvedAt)
    return std::nullopt;
  return bootTime(Node) - *ProvedAt;
}

// A request that is accepted now was sent before now. So a credential that was
// revoked before the proof is unknown here, and one that was revoked after it
// may be used for longer than the proof is valid.
bool isProved(const NodeState &Node) {
  if (!Node.Config_.Settings_.Bounds_.FailClosed_)
    return true;
  std::optional<Micros> Age = age(Node);
  return Age && *Age >= Micros(0) && *Age < validity(Node);
}

void onStoreAnswered(NodeState &Node, Collection Answered) {
  if (!needsProof(Node) || Answered != Collection::Routes)
    return;
  // A version that cannot be put in force may revoke a credential.
  if (!Node.Sync_.Unreadable_.empty())
    return;
  auto Rejected = Node.Sync_.Rejected_.find(std::string(RouteTablePath));
  std::uint64_t Newest = inForce(Node);
  if (Rejected != Node.Sync_.Rejected_.end())
    Newest = std::max(Newest, Rejected->second);
  Node.Proof_.Proof_.onAnswer(Node.Sync_.Collections_[Answered].AskedAt_,
                              Newest, inForce(Node));
  logChange(Node);
}

void onEvidence(NodeState &Node, const std::string &Sender) {
  if (!needsProof(Node) || !isRenewalDue(Node) ||
      bootTime(Node) < Node.Proof_.NextQuestionAt_)
    return;
  const Member *Peer = Node.Membership_.find(Sender);
  if (Peer != nullptr)
    ask(Node, *Peer);
}

void onStoreRestored(NodeState &Node) {
  Node.Proof_.Proof_.ignoreBefore(bootTime(Node) + RestoreSettleTime);
}

void onApplied(NodeState &Node) { Node.Proof_.Proof_.onApplied(inForce(Node)); }

void receive(NodeState &Node, const Endpoint &From,
             const ProofRequested &Message) {
  std::optional<Micros> Age = age(Node);
  if (!Age || *Age >= validity(Node))
    return;
  emit(Node,
       SendDatagram{From, encode(ProofGiven{
                              Message.Id_, std::max(Micros(0), *Age),
                              inForce(Node), Node.Sync_.Era_.value_or(0)})});
}

// The answer was given after the question was asked, so the proof is at least
// as new as its age before the question.
void receive(NodeState &Node, const ProofGiven &Message) {
  auto Question = Node.Proof_.Questions_.find(Message.Id_);
  if (Question == Node.Proof_.Questions_.end())
    return;
  TimePoint AskedAt = Question->second;
  Node.Proof_.Questions_.erase(Question);
  // A later era is fine: its sender has waited until the restore had settled.
  if (Message.StoreEra_ < Node.Sync_.Era_.value_or(0))
    return;
  Node.Proof_.Proof_.onAnswer(AskedAt - Message.Age_, Message.Version_,
                              inForce(Node));
  logChange(Node);
}

void tick(NodeState &Node) {
  if (!needsProof(Node))
    return;
  logChange(Node);
  // Evidence has not led to a proof for a while: any node may have one.
  std::optional<Micros> Age = age(Node);
  bool Late = !Age || *Age >= validity(Node) / 2;
  if (!Late || bootTime(Node) < Node.Proof_.NextQuestionAt_)
    return;
  for (const Member &Peer : Node.Membership_.sample(2))
    ask(Node, Peer);
}

} // namespace fulmarshelf::proof_system
