#include "fulmarshelf/detail/engine/systems.hpp" // membership_system

namespace fulmarshelf::membership_system {

namespace {

EventNumber eventOf(MemberStatus Status) {
  switch (Status) {
  case MemberStatus::Alive:
    return EventNumber::MemberAlive;
  case MemberStatus::Suspect:
    return EventNumber::MemberSuspect;
  case MemberStatus::Leaving:
    return EventNumber::MemberLeaving;
  case MemberStatus::Dead:
    return EventNumber::MemberDead;
  }
  return EventNumber::MemberDead;
}

void logChange(NodeState &Node, const Member &Changed) {
  log(Node, eventOf(Changed.Status_),
      {{"node", Changed.Node_},
       {"incarnation", std::to_string(Changed.Incarnation_)},
       {"version", std::to_string(Changed.Version_)},
       {"service", Changed.Service_.empty() ? "none" : Changed.Service_},
       {"domain", Changed.FailureDomain_}});
}

} // namespace

void flush(NodeState &Node) {
  for (const Member &Changed : Node.Membership_.takeChanges())
    logChange(Node, Changed);
  for (const GossipSend &Send : Node.Membership_.takeSends())
    emit(Node, SendDatagram{Send.To_, encode(Send.Message_)});
}

namespace {

// Passes each message about tenants to the system that handles it.
struct TenancyVisitor {
  NodeState &Node_;
  const Endpoint &From_;

  void operator()(const ShareTimeMoved &Message) const {
    quota_system::receive(Node_, Message);
  }
  void operator()(const TokensRequested &Message) const {
    quota_system::receive(Node_, From_, Message);
  }
  void operator()(const TokensGranted &Message) const {
    quota_system::receive(Node_, Message);
  }
  void operator()(const ProofRequested &Message) const {
    proof_system::receive(Node_, From_, Message);
  }
  void operator()(const ProofGiven &Message) const {
    proof_system::receive(Node_, Message);
  }
};

} // namespace

void receive(NodeState &Node, const DatagramArrived &Input) {
  if (isTenancyMessage(Input.Bytes_)) {
    if (std::optional<TenancyMessage> Message =
            decodeTenancyMessage(Input.Bytes_))
      std::visit(TenancyVisitor{Node, Input.From_}, *Message);
    return;
  }
  GossipMessage Message;
  if (!decode(Input.Bytes_, Message))
    return;
  Node.Membership_.receive(Node.Now_, Input.From_, Message);
  backend_system::onDeparturesLearned(Node);
  settings_system::onSettingsUpdate(Node, Message);
  follow_system::onEvidence(Node, Message);
  if (!Message.Quarantine_.empty())
    quarantine_system::onNews(Node, Message.Quarantine_);
}

void tick(NodeState &Node) {
  Node.Membership_.tick(Node.Now_);
  Micros Delay = Node.Membership_.nextTimer() - Node.Now_;
  setTimer(Node, std::max(Delay, millis(1)), TimerKind::Membership);
}

} // namespace fulmarshelf::membership_system
