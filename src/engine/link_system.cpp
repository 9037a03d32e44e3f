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
constexpr Micros MinBackoff = millis(100);
constexpr Micros MaxBackoff = millis(2000);

// Sets the next check of a link, unless an earlier check is already pending.
// Only the earliest check timer of a link takes effect.
void scheduleCheck(NodeState &Node, Link &Connection, Micros Delay) {
  TimePoint CheckAt = Node.Now_ + Delay;
  if (Connection.NextCheck_ > Node.Now_ && Connection.NextCheck_ <= CheckAt)
    return;
  Connection.NextCheck_ = CheckAt;
  setTimer(Node, Delay, TimerKind::LinkCheck, Connection.Id_.Value_);
}

LinkId open(NodeState &Node, const Member &Peer) {
  Link NewLink;
  NewLink.Id_ = LinkId{++Node.LastLink_};
  NewLink.Node_ = Peer.Node_;
  NewLink.Peer_ = Peer.Peer_;
  NewLink.OpenedAt_ = Node.Now_;
  NewLink.LastReceivedAt_ = Node.Now_;
  NewLink.LastUsedAt_ = Node.Now_;
  Link &Stored = Node.Links_[NewLink.Id_];
  Stored = NewLink;
  scheduleCheck(Node, Stored, CheckInterval);
  Node.Peers_[Peer.Node_].Link_ = NewLink.Id_;
  log(Node, EventNumber::LinkOpened,
      {{"link", toString(NewLink.Id_)},
       {"node", Peer.Node_},
       {"peer", toString(Peer.Peer_)}});
  emit(Node, OpenLink{NewLink.Id_, Peer.Peer_});
  return NewLink.Id_;
}

CallMessage callMessage(const NodeState &Node, const Attempt &Sent,
                        const Request &Source, const Link &Connection) {
  CallMessage Message;
  Message.Attempt_ = {localNodeName(Node), Node.Config_.Incarnation_,
                      Sent.Sequence_};
  Message.Link_ = Connection.Id_.Value_;
  Message.ToIncarnation_ = Connection.Incarnation_;
  Message.Context_ = Source.Context_;
  Message.Context_.Tokens_ = Sent.Tokens_;
  Message.Context_.TimeLeft_ =
      std::max(Micros(0), Source.Deadline_ - Node.Now_);
  Message.Ticket_ = Source.ForwardedTicket_;
  Message.Request_ = Source.Http_;
  return Message;
}

void sendCall(NodeState &Node, Link &Connection, Attempt &Pending) {
  auto RequestEntry = Node.Requests_.find(Pending.Request_);
  if (RequestEntry == Node.Requests_.end())
    return;
  Pending.State_ = AttemptState::Sent;
  Pending.Link_ = Connection.Id_;
  Pending.PeerIncarnation_ = Connection.Incarnation_;
  emit(Node,
       SendCall{Connection.Id_,
                callMessage(Node, Pending, RequestEntry->second, Connection)});
}

void sendRevoke(NodeState &Node, Link &Connection, const Attempt &InDoubt) {
  RevokeMessage Message;
  Message.Attempt_ = {localNodeName(Node), Node.Config_.Incarnation_,
                      InDoubt.Sequence_};
  Message.Link_ = InDoubt.Link_.Value_;
  Message.ToIncarnation_ = InDoubt.PeerIncarnation_;
  emit(Node, SendRevoke{Connection.Id_, Message});
}

void sendOnLink(NodeState &Node, Link &Connection, std::uint64_t Sequence) {
  auto Entry = Node.Attempts_.find(Sequence);
  if (Entry == Node.Attempts_.end())
    return;
  if (Entry->second.State_ == AttemptState::WaitingForLink)
    sendCall(Node, Connection, Entry->second);
  else
    sendRevoke(Node, Connection, Entry->second);
}

void resolveAfterClose(NodeState &Node, LinkId ClosedLink,
                       std::uint64_t Sequence) {
  auto Entry = Node.Attempts_.find(Sequence);
  if (Entry == Node.Attempts_.end())
    return;
  switch (Entry->second.State_) {
  case AttemptState::WaitingForLink:
    attempt_system::onNeverSent(Node, Sequence);
    return;
  case AttemptState::Sent:
    attempt_system::onInDoubt(Node, Sequence);
    return;
  case AttemptState::InDoubt:
    if (Entry->second.RevokeLink_ == ClosedLink)
      attempt_system::onReply(Node, Sequence,
                              unknownOutcome(ErrorCode::OutcomeUnknown));
    return;
  }
}

void closeWithReason(NodeState &Node, LinkId Id, std::string_view Reason) {
  log(Node, EventNumber::LinkSilent,
      {{"link", toString(Id)}, {"why", std::string(Reason)}});
  emit(Node, CloseLink{Id});
  onClosed(Node, Id);
}

} // namespace

LinkId connect(NodeState &Node, const Member &Peer) {
  PeerView &View = Node.Peers_[Peer.Node_];
  auto Entry = Node.Links_.find(View.Link_);
  if (Entry != Node.Links_.end()) {
    Entry->second.LastUsedAt_ = Node.Now_;
    return View.Link_;
  }
  if (Node.Now_ < View.RetryLinkAt_)
    return {};
  return open(Node, Peer);
}

void enqueue(NodeState &Node, LinkId Id, std::uint64_t Sequence) {
  Link &Connection = Node.Links_.at(Id);
  // Silence is measured only while attempts are outstanding on the link.
  if (Connection.Attempts_.empty()) {
    Connection.LastReceivedAt_ = Node.Now_;
    scheduleCheck(Node, Connection, CheckInterval);
  }
  Connection.Attempts_.insert(Sequence);
  Attempt &Queued = Node.Attempts_.at(Sequence);
  if (Queued.State_ == AttemptState::WaitingForLink)
    Queued.Link_ = Id;
  if (Connection.Established_)
    sendOnLink(Node, Connection, Sequence);
}

void release(NodeState &Node, LinkId Id, std::uint64_t Sequence) {
  auto Entry = Node.Links_.find(Id);
  if (Entry == Node.Links_.end())
    return;
  Entry->second.Attempts_.erase(Sequence);
  Entry->second.LastUsedAt_ = Node.Now_;
}

void onEstablished(NodeState &Node, const LinkEstablished &Input) {
  auto Entry = Node.Links_.find(Input.Link_);
  if (Entry == Node.Links_.end())
    return;
  Link &Connection = Entry->second;
  bool NameUnknown = Connection.Node_.empty(); // link to a seed address
  if (!NameUnknown && Connection.Node_ != Input.Node_) {
    closeWithReason(Node, Input.Link_, "another node answers there");
    return;
  }
  Connection.Established_ = true;
  Connection.Incarnation_ = Input.Incarnation_;
  Connection.LastReceivedAt_ = Node.Now_;
  if (!NameUnknown)
    Node.Peers_[Connection.Node_].Backoff_ = Micros(0);
  log(Node, EventNumber::LinkUp,
      {{"link", toString(Input.Link_)},
       {"node", Input.Node_},
       {"incarnation", std::to_string(Input.Incarnation_)}});
  if (Connection.SyncRequested_) {
    Connection.SyncRequested_ = false;
    emit(Node, SendSync{Input.Link_, settings_system::syncMessage(Node)});
  }
  const std::set<std::uint64_t> Pending = Connection.Attempts_;
  for (std::uint64_t Sequence : Pending)
    sendOnLink(Node, Node.Links_.at(Input.Link_), Sequence);
}

void onClosed(NodeState &Node, LinkId Id) {
  auto Entry = Node.Links_.find(Id);
  if (Entry == Node.Links_.end())
    return;
  Link Closed = Entry->second;
  Node.Links_.erase(Entry);
  log(Node, EventNumber::LinkDown,
      {{"link", toString(Id)},
       {"node", Closed.Node_},
       {"attempts", std::to_string(Closed.Attempts_.size())}});
  if (!Closed.Node_.empty()) {
    PeerView &View = Node.Peers_[Closed.Node_];
    if (View.Link_ == Id)
      View.Link_ = LinkId{};
    // A connection that was established may be replaced without a backoff.
    if (!Closed.Established_) {
      View.Backoff_ = std::clamp(View.Backoff_ * 2, MinBackoff, MaxBackoff);
      View.RetryLinkAt_ = Node.Now_ + View.Backoff_;
    }
  }
  for (std::uint64_t Sequence : Closed.Attempts_)
    resolveAfterClose(Node, Id, Sequence);
}

void onActivity(NodeState &Node, LinkId Id) {
  auto Entry = Node.Links_.find(Id);
  if (Entry != Node.Links_.end())
    Entry->second.LastReceivedAt_ = Node.Now_;
}

void check(NodeState &Node, LinkId Id) {
  auto Entry = Node.Links_.find(Id);
  if (Entry == Node.Links_.end())
    return;
  Link &Connection = Entry->second;
  if (Node.Now_ < Connection.NextCheck_)
    return;
  if (!Connection.Established_ &&
      Node.Now_ - Connection.OpenedAt_ >= HelloTimeout) {
    closeWithReason(Node, Id, "no greeting");
    return;
  }
  Micros Silence = Node.Now_ - Connection.LastReceivedAt_;
  bool HasAttempts = !Connection.Attempts_.empty();
  if (Connection.Established_ && HasAttempts && Silence >= SilentAfter) {
    closeWithReason(Node, Id, "no answer to pings");
    return;
  }
  if (!HasAttempts && Node.Now_ - Connection.LastUsedAt_ >= IdleAfter) {
    closeWithReason(Node, Id, "idle");
    return;
  }
  if (Connection.Established_ && HasAttempts && Silence >= PingAfter)
    emit(Node, PingLink{Id});
  scheduleCheck(Node, Connection,
                HasAttempts || !Connection.Established_ ? CheckInterval
                                                        : IdleAfter);
}

void removeFormerMembers(NodeState &Node) {
  std::erase_if(Node.Peers_,
                [&Node](const std::pair<const std::string, PeerView> &Entry) {
                  return Entry.first != localNodeName(Node) &&
                         Entry.second.Link_.Value_ == 0 &&
                         Entry.second.Owner_.inFlight() == 0 &&
                         Node.Membership_.find(Entry.first) == nullptr;
                });
}

void sync(NodeState &Node, const Member &Peer) {
  LinkId Id = connect(Node, Peer);
  if (Id.Value_ == 0)
    return;
  Link &Connection = Node.Links_.at(Id);
  if (Connection.Established_)
    emit(Node, SendSync{Id, settings_system::syncMessage(Node)});
  else
    Connection.SyncRequested_ = true;
}

} // namespace fulmarshelf::link_system
