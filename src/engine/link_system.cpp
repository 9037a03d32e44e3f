#include "fulmarshelf/detail/engine/answers.hpp" // unknownOutcome
#include "fulmarshelf/detail/engine/systems.hpp" // link_system

#include <algorithm> // clamp, max

namespace fulmarshelf::link_system {

namespace {

constexpr Micros CheckInterval = millis(100);
constexpr Micros HelloTimeout = millis(1000);
constexpr Micros PingAfter = millis(100);
constexpr Micros SilentAfter = millis(500);
constexpr Micros IdleAfter = millis(60'000);
constexpr Micros LeastBackoff = millis(100);
constexpr Micros MostBackoff = millis(2000);

// A link has one check timer that counts: the earliest one that was set.
void armCheck(NodeState &Node, Link &Checked, Micros Delay) {
  TimePoint When = Node.Now_ + Delay;
  if (Checked.NextCheck_ > Node.Now_ && Checked.NextCheck_ <= When)
    return;
  Checked.NextCheck_ = When;
  setTimer(Node, Delay, TimerKind::LinkCheck, Checked.Id_.Value_);
}

LinkId open(NodeState &Node, const Member &Peer) {
  Link Fresh;
  Fresh.Id_ = LinkId{++Node.LastLink_};
  Fresh.Node_ = Peer.Node_;
  Fresh.Peer_ = Peer.Peer_;
  Fresh.OpenedAt_ = Node.Now_;
  Fresh.LastReceivedAt_ = Node.Now_;
  Fresh.LastUsedAt_ = Node.Now_;
  Link &Stored = Node.Links_[Fresh.Id_];
  Stored = Fresh;
  armCheck(Node, Stored, CheckInterval);
  Node.Peers_[Peer.Node_].Link_ = Fresh.Id_;
  log(Node, EventNumber::LinkOpened,
      {{"link", toString(Fresh.Id_)},
       {"node", Peer.Node_},
       {"peer", toString(Peer.Peer_)}});
  emit(Node, OpenLink{Fresh.Id_, Peer.Peer_});
  return Fresh.Id_;
}

CallMessage callMessage(const NodeState &Node, const Attempt &Sent,
                        const Request &Target, const Link &Over) {
  CallMessage Message;
  Message.Attempt_ = {ownName(Node), Node.Config_.Incarnation_, Sent.Sequence_};
  Message.Link_ = Over.Id_.Value_;
  Message.ToIncarnation_ = Over.Incarnation_;
  Message.Context_ = Target.Context_;
  Message.Context_.Tokens_ = Sent.Tokens_;
  Message.Context_.TimeLeft_ =
      std::max(Micros(0), Target.Deadline_ - Node.Now_);
  Message.Ticket_ = Target.ForwardedTicket_;
  Message.Request_ = Target.Http_;
  return Message;
}

void sendCall(NodeState &Node, Link &Over, Attempt &Waiting) {
  auto Owner = Node.Requests_.find(Waiting.Request_);
  if (Owner == Node.Requests_.end())
    return;
  Waiting.State_ = AttemptState::Sent;
  Waiting.Link_ = Over.Id_;
  Waiting.PeerIncarnation_ = Over.Incarnation_;
  emit(Node,
       SendCall{Over.Id_, callMessage(Node, Waiting, Owner->second, Over)});
}

void sendRevoke(NodeState &Node, Link &Over, const Attempt &Doubtful) {
  RevokeMessage Message;
  Message.Attempt_ = {ownName(Node), Node.Config_.Incarnation_,
                      Doubtful.Sequence_};
  Message.Link_ = Doubtful.Link_.Value_;
  Message.ToIncarnation_ = Doubtful.PeerIncarnation_;
  emit(Node, SendRevoke{Over.Id_, Message});
}

void sendOver(NodeState &Node, Link &Over, std::uint64_t Sequence) {
  auto Found = Node.Attempts_.find(Sequence);
  if (Found == Node.Attempts_.end())
    return;
  if (Found->second.State_ == AttemptState::WaitingForLink)
    sendCall(Node, Over, Found->second);
  else
    sendRevoke(Node, Over, Found->second);
}

void resolveLost(NodeState &Node, LinkId Lost, std::uint64_t Sequence) {
  auto Found = Node.Attempts_.find(Sequence);
  if (Found == Node.Attempts_.end())
    return;
  switch (Found->second.State_) {
  case AttemptState::WaitingForLink:
    attempt_system::onNeverSent(Node, Sequence);
    return;
  case AttemptState::Sent:
    attempt_system::onInDoubt(Node, Sequence);
    return;
  case AttemptState::InDoubt:
    if (Found->second.RevokeLink_ == Lost)
      attempt_system::onReply(Node, Sequence,
                              unknownOutcome(ErrorCode::OutcomeUnknown));
    return;
  }
}

void shut(NodeState &Node, LinkId Target, std::string_view Why) {
  log(Node, EventNumber::LinkSilent,
      {{"link", toString(Target)}, {"why", std::string(Why)}});
  emit(Node, CloseLink{Target});
  onClosed(Node, Target);
}

} // namespace

LinkId connect(NodeState &Node, const Member &Peer) {
  PeerView &View = Node.Peers_[Peer.Node_];
  auto Found = Node.Links_.find(View.Link_);
  if (Found != Node.Links_.end()) {
    Found->second.LastUsedAt_ = Node.Now_;
    return View.Link_;
  }
  if (Node.Now_ < View.RetryLink_)
    return {};
  return open(Node, Peer);
}

void enqueue(NodeState &Node, LinkId Target, std::uint64_t Sequence) {
  Link &Over = Node.Links_.at(Target);
  // Silence counts only while something is asked of the peer.
  if (Over.Attempts_.empty()) {
    Over.LastReceivedAt_ = Node.Now_;
    armCheck(Node, Over, CheckInterval);
  }
  Over.Attempts_.insert(Sequence);
  Attempt &Item = Node.Attempts_.at(Sequence);
  if (Item.State_ == AttemptState::WaitingForLink)
    Item.Link_ = Target;
  if (Over.Established_)
    sendOver(Node, Over, Sequence);
}

void release(NodeState &Node, LinkId Target, std::uint64_t Sequence) {
  auto Found = Node.Links_.find(Target);
  if (Found == Node.Links_.end())
    return;
  Found->second.Attempts_.erase(Sequence);
  Found->second.LastUsedAt_ = Node.Now_;
}

void onEstablished(NodeState &Node, const LinkEstablished &Input) {
  auto Found = Node.Links_.find(Input.Link_);
  if (Found == Node.Links_.end())
    return;
  Link &Opened = Found->second;
  bool Anonymous = Opened.Node_.empty();
  if (!Anonymous && Opened.Node_ != Input.Node_) {
    shut(Node, Input.Link_, "another node answers there");
    return;
  }
  Opened.Established_ = true;
  Opened.Incarnation_ = Input.Incarnation_;
  Opened.LastReceivedAt_ = Node.Now_;
  if (!Anonymous)
    Node.Peers_[Opened.Node_].Backoff_ = Micros(0);
  log(Node, EventNumber::LinkUp,
      {{"link", toString(Input.Link_)},
       {"node", Input.Node_},
       {"incarnation", std::to_string(Input.Incarnation_)}});
  if (Opened.WantsSync_) {
    Opened.WantsSync_ = false;
    emit(Node, SendSync{Input.Link_, settings_system::syncMessage(Node)});
  }
  const std::set<std::uint64_t> Waiting = Opened.Attempts_;
  for (std::uint64_t Sequence : Waiting)
    sendOver(Node, Node.Links_.at(Input.Link_), Sequence);
}

void onClosed(NodeState &Node, LinkId Target) {
  auto Found = Node.Links_.find(Target);
  if (Found == Node.Links_.end())
    return;
  Link Lost = Found->second;
  Node.Links_.erase(Found);
  log(Node, EventNumber::LinkDown,
      {{"link", toString(Target)},
       {"node", Lost.Node_},
       {"attempts", std::to_string(Lost.Attempts_.size())}});
  if (!Lost.Node_.empty()) {
    PeerView &View = Node.Peers_[Lost.Node_];
    if (View.Link_ == Target)
      View.Link_ = LinkId{};
    // A connection that worked may be replaced at once.
    if (!Lost.Established_) {
      View.Backoff_ = std::clamp(View.Backoff_ * 2, LeastBackoff, MostBackoff);
      View.RetryLink_ = Node.Now_ + View.Backoff_;
    }
  }
  for (std::uint64_t Sequence : Lost.Attempts_)
    resolveLost(Node, Target, Sequence);
}

void onActivity(NodeState &Node, LinkId Target) {
  auto Found = Node.Links_.find(Target);
  if (Found != Node.Links_.end())
    Found->second.LastReceivedAt_ = Node.Now_;
}

void check(NodeState &Node, LinkId Target) {
  auto Found = Node.Links_.find(Target);
  if (Found == Node.Links_.end())
    return;
  Link &Checked = Found->second;
  if (Node.Now_ < Checked.NextCheck_)
    return;
  if (!Checked.Established_ && Node.Now_ - Checked.OpenedAt_ >= HelloTimeout) {
    shut(Node, Target, "no greeting");
    return;
  }
  Micros Silence = Node.Now_ - Checked.LastReceivedAt_;
  bool Waiting = !Checked.Attempts_.empty();
  if (Checked.Established_ && Waiting && Silence >= SilentAfter) {
    shut(Node, Target, "no answer to pings");
    return;
  }
  if (!Waiting && Node.Now_ - Checked.LastUsedAt_ >= IdleAfter) {
    shut(Node, Target, "idle");
    return;
  }
  if (Checked.Established_ && Waiting && Silence >= PingAfter)
    emit(Node, PingLink{Target});
  armCheck(Node, Checked,
           Waiting || !Checked.Established_ ? CheckInterval : IdleAfter);
}

void removeFormerMembers(NodeState &Node) {
  std::erase_if(
      Node.Peers_, [&Node](const std::pair<const std::string, PeerView> &Item) {
        return Item.first != ownName(Node) && Item.second.Link_.Value_ == 0 &&
               Item.second.Owner_.inFlight() == 0 &&
               Node.Membership_.find(Item.first) == nullptr;
      });
}

void sync(NodeState &Node, const Member &Peer) {
  LinkId Target = connect(Node, Peer);
  if (Target.Value_ == 0)
    return;
  Link &Over = Node.Links_.at(Target);
  if (Over.Established_)
    emit(Node, SendSync{Target, settings_system::syncMessage(Node)});
  else
    Over.WantsSync_ = true;
}

} // namespace fulmarshelf::link_system
