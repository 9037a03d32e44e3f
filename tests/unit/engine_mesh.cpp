#include "unit/engine_mesh.hpp"

#include "fulmarshelf/detail/base/hash.hpp" // contentDigest

#include <algorithm> // max, min

namespace fulmarshelf::test {

namespace {

constexpr Micros NetworkDelay = millis(1);
constexpr Micros StoreDelay = millis(3);
constexpr Micros CallTimeout = millis(1500);
constexpr Micros WatchSlack = millis(750);
constexpr Micros ListStaleness = millis(2500); // of lists of nodes
constexpr Micros ConnectTimeout = millis(500);
constexpr Micros AnnouncementInterval = millis(4000);
constexpr Micros TestDuration = millis(120'000);

std::string nameOf(std::size_t Node) { return "node-" + std::to_string(Node); }

Endpoint addressOf(std::size_t Node) {
  return {"10.0." + std::to_string(Node / 250) + "." +
              std::to_string(1 + Node % 250),
          7000};
}

} // namespace

struct EngineMesh::ActionVisitor {
  EngineMesh &Mesh_;
  std::size_t Node_;

  void failLater(StoreCall Call, Collection Kind, Micros Timeout) const {
    Micros Delay = Mesh_.Refusal_ == Refusal::Reset ? NetworkDelay : Timeout;
    Mesh_.schedule(Node_, Delay, StoreFailed{Call, Kind, "no answer", {}});
  }

  void operator()(const SendDatagram &Command) const {
    Mesh_.DatagramBytes_ += Command.Bytes_.size();
    std::optional<std::size_t> To = Mesh_.nodeAt(Command.To_);
    std::bernoulli_distribution Lost(Mesh_.LossShare_);
    if (To && Mesh_.canReach(Node_, *To) && !Lost(Mesh_.Random_))
      Mesh_.schedule(*To, NetworkDelay + Mesh_.Delays_[*To],
                     DatagramArrived{addressOf(Node_), Command.Bytes_});
  }
  void operator()(const AnswerCaller &Command) const {
    Mesh_.Answers_[Mesh_.IdOfCaller_.at(Command.Caller_.Value_)] = {
        Mesh_.Now_, Node_, Command.Reply_};
  }
  void operator()(const DispatchWork &Command) const {
    const Work &Started = Mesh_.state(Node_).Works_.at(Command.Work_);
    Mesh_.Served_.push_back({Mesh_.Now_, Command.Metadata_.CallerRequestId_,
                             Command.Metadata_.Tenant_,
                             Started.Context_.Rank_});
    Mesh_.schedule(Node_, NetworkDelay,
                   BackendAnswered{Command.Work_, {200, {}, {}}, {}});
  }
  void operator()(const SendCall &Command) const {
    auto Peer = Mesh_.PeerOfLink_.find({Node_, Command.Link_.Value_});
    if (Peer == Mesh_.PeerOfLink_.end() || !Mesh_.canReach(Node_, Peer->second))
      return;
    StreamKey Stream{++Mesh_.LastStream_};
    Mesh_.Calls_[Stream.Value_] = {Node_, Command.Link_,
                                   Command.Message_.Attempt_.Sequence_};
    Mesh_.schedule(Peer->second, NetworkDelay,
                   CallArrived{Stream, Command.Message_});
  }
  void operator()(const AnswerCall &Command) const {
    const Call &Asking = Mesh_.Calls_.at(Command.Stream_.Value_);
    if (Mesh_.canReach(Node_, Asking.Node_))
      Mesh_.schedule(
          Asking.Node_, NetworkDelay,
          ReplyArrived{Asking.Link_, Asking.Sequence_, Command.Reply_});
  }
  void operator()(const OpenLink &Command) const {
    std::optional<std::size_t> To = Mesh_.nodeAt(Command.Peer_);
    if (!To || !Mesh_.canReach(Node_, *To)) {
      Mesh_.schedule(Node_, ConnectTimeout, LinkClosed{Command.Link_});
      return;
    }
    Mesh_.PeerOfLink_[{Node_, Command.Link_.Value_}] = *To;
    Mesh_.schedule(Node_, 2 * NetworkDelay,
                   LinkEstablished{Command.Link_, nameOf(*To),
                                   Mesh_.state(*To).Config_.Incarnation_});
  }
  void operator()(const PingLink &Command) const {
    auto Peer = Mesh_.PeerOfLink_.find({Node_, Command.Link_.Value_});
    if (Peer != Mesh_.PeerOfLink_.end() && Mesh_.canReach(Node_, Peer->second))
      Mesh_.schedule(Node_, 2 * NetworkDelay, LinkActivity{Command.Link_});
  }
  void operator()(const SendSync &Command) const {
    auto Peer = Mesh_.PeerOfLink_.find({Node_, Command.Link_.Value_});
    if (Peer == Mesh_.PeerOfLink_.end() || !Mesh_.canReach(Node_, Peer->second))
      return;
    StreamKey Stream{++Mesh_.LastStream_};
    Mesh_.Syncs_[Stream.Value_] = {Node_, Command.Link_};
    Mesh_.schedule(Peer->second, NetworkDelay,
                   SyncArrived{Stream, Command.Message_});
  }
  void operator()(const AnswerSync &Command) const {
    const std::pair<std::size_t, LinkId> &Asking =
        Mesh_.Syncs_.at(Command.Stream_.Value_);
    if (Mesh_.canReach(Node_, Asking.first))
      Mesh_.schedule(Asking.first, NetworkDelay,
                     SyncAnswered{Asking.second, Command.Reply_});
  }
  void operator()(const StoreList &Command) const {
    ++Mesh_.StoreCalls_;
    if (Mesh_.isTurnedAway(Node_))
      failLater(StoreCall::List, Command.Collection_, CallTimeout);
    else
      Mesh_.schedule(Node_, StoreDelay, Mesh_.listOf(Command.Collection_));
  }
  void operator()(const StoreWatch &Command) const {
    ++Mesh_.StoreCalls_;
    if (Mesh_.isTurnedAway(Node_))
      failLater(StoreCall::Watch, Command.Collection_,
                Command.Wait_ + WatchSlack);
    else
      Mesh_.Watches_.push_back({Node_, Command.Collection_, Command.Since_,
                                Mesh_.Now_ + StoreDelay + Command.Wait_});
  }
  void operator()(const StoreAnnounce &Command) const {
    if (Mesh_.isTurnedAway(Node_)) {
      failLater(StoreCall::Announce, Collection::Teams, CallTimeout);
      return;
    }
    StoredRecord &Stored = Mesh_.Records_[nameOf(Node_)];
    NodeRecord Written = Command.Record_;
    mergeDepartures(Written.Departures_, Stored.Record_.Departures_);
    if (Stored.Record_ != Written)
      Mesh_.RecordedAt_[nameOf(Node_)] = Mesh_.Now_;
    Stored = {nameOf(Node_), ++Mesh_.RecordRevision_, Written};
    Mesh_.schedule(Node_, StoreDelay, StoreAnnounced{{}, Written});
  }
  void operator()(const StoreWithdraw &) const {
    auto Stored = Mesh_.Records_.find(nameOf(Node_));
    if (Mesh_.isTurnedAway(Node_) || Stored == Mesh_.Records_.end())
      return;
    Stored->second.Record_.Reachable_ = false;
    if (isEmpty(Stored->second.Record_))
      Mesh_.Records_.erase(Stored);
  }
  void operator()(const StoreRemove &Command) const {
    auto Stored = Mesh_.Records_.find(Command.Node_);
    if (Stored != Mesh_.Records_.end() &&
        Stored->second.Revision_ == Command.Revision_)
      Mesh_.Records_.erase(Stored);
  }
  void operator()(const AnswerNotice &Command) const {
    Mesh_.Notices_[Command.Notice_.Value_] = Command.Taken_;
  }
  void operator()(const StoreListNodes &) const {
    if (Mesh_.isTurnedAway(Node_)) {
      failLater(StoreCall::Nodes, Collection::Teams, CallTimeout);
      return;
    }
    StoreNodesListed Listed;
    for (std::size_t Node = 0; Node < Mesh_.size(); ++Node)
      Listed.Nodes_.push_back({nameOf(Node), addressOf(Node)});
    for (const std::pair<const std::string, StoredRecord> &Entry :
         Mesh_.Records_)
      if (!Entry.second.Record_.Departures_.empty() &&
          Mesh_.RecordedAt_[Entry.first] + ListStaleness <= Mesh_.Now_)
        Listed.Records_.push_back(Entry.second);
    Mesh_.schedule(Node_, StoreDelay, Listed);
  }
  void operator()(const WriteLog &Command) const {
    ++Mesh_.Logged_[Command.Record_.Event_];
  }
  template <typename Other> void operator()(const Other & /*Command*/) const {}
};

EngineMesh::EngineMesh(std::size_t Nodes, std::size_t Domains,
                       const MeshBounds &Bounds, std::string Tenancy)
    : Domains_(Domains), Bounds_(Bounds), Tenancy_(std::move(Tenancy)),
      Starts_(Nodes, 1) {
  writeTable();
  for (std::size_t Node = 0; Node < Nodes; ++Node)
    Engines_.push_back(std::make_unique<Engine>(configOf(Node)));
  for (std::size_t Node = 0; Node < Nodes; ++Node)
    start(Node);
}

void EngineMesh::start(std::size_t Node) {
  Engines_[Node]->start(localTime(Node));
  carryOut(Node);
  if (Tenancy_.empty())
    return;
  BackendAnnounced Announced;
  Announced.Announcement_ = {"shop", {"10.9.0.1", 80},      1000,
                             1000,   BackendState::Serving, "i"};
  for (Micros At = millis(100); At < TestDuration; At += AnnouncementInterval)
    schedule(Node, At, Announced);
}

EngineConfig EngineMesh::configOf(std::size_t Node) const {
  EngineConfig Config;
  Config.Settings_.Interface_ = InterfaceKind::Platform;
  Config.Settings_.Service_ = "shop";
  Config.Settings_.Name_ = nameOf(Node);
  Config.Settings_.FailureDomain_ = "d" + std::to_string(Node % Domains_);
  Config.Settings_.Region_ = "r";
  Config.Settings_.AdvertisedPeer_ = addressOf(Node);
  Config.Settings_.Bounds_ = Bounds_;
  Config.Incarnation_ = Starts_[Node];
  Config.Seed_ = 100 * Node + Starts_[Node];
  return Config;
}

void EngineMesh::restart(std::size_t Node) {
  stop(Node);
  Stopped_.erase(Node);
  Engines_[Node] = std::make_unique<Engine>(configOf(Node));
  start(Node);
}

void EngineMesh::stop(std::size_t Node) {
  ++Starts_[Node];
  Stopped_.insert(Node);
  std::erase_if(Watches_,
                [Node](const Watch &Entry) { return Entry.Node_ == Node; });
}

void EngineMesh::restartAll() {
  for (std::size_t Node = 0; Node < Engines_.size(); ++Node)
    stop(Node);
  for (std::size_t Node = 0; Node < Engines_.size(); ++Node)
    restart(Node);
}

std::optional<bool> EngineMesh::notify(std::size_t Node, Input Notice,
                                       Micros Patience) {
  CallerKey Exchange{++LastCaller_};
  if (BackendAnnounced *Announced = std::get_if<BackendAnnounced>(&Notice))
    Announced->Notice_ = Exchange;
  if (BackendDeparted *Departed = std::get_if<BackendDeparted>(&Notice))
    Departed->Notice_ = Exchange;
  handle(Node, Notice);
  run(Patience);
  auto Answer = Notices_.find(Exchange.Value_);
  return Answer == Notices_.end() ? std::nullopt
                                  : std::optional<bool>(Answer->second);
}

std::optional<std::size_t> EngineMesh::nodeAt(const Endpoint &Peer) const {
  for (std::size_t Node = 0; Node < Engines_.size(); ++Node)
    if (addressOf(Node) == Peer)
      return Node;
  return std::nullopt;
}

bool EngineMesh::canReach(std::size_t From, std::size_t To) const {
  return Isolated_.contains(From) == Isolated_.contains(To) &&
         !Stopped_.contains(To);
}

void EngineMesh::schedule(std::size_t Node, Micros Delay, Input NewInput) {
  TimePoint At = Now_ + Delay;
  auto Until = SuspendedUntil_.find(Node);
  if (Until != SuspendedUntil_.end())
    At = std::max(At, Until->second);
  Events_.emplace(At, Event{Node, Starts_[Node], std::move(NewInput)});
}

void EngineMesh::carryOut(std::size_t Node) {
  for (const Action &Command : Engines_[Node]->takeActions())
    std::visit(ActionVisitor{*this, Node}, Command);
}

void EngineMesh::handle(std::size_t Node, const Input &NewInput) {
  Engines_[Node]->handle(localTime(Node), NewInput);
  carryOut(Node);
}

TimePoint EngineMesh::localTime(std::size_t Node) const {
  auto Total = Suspended_.find(Node);
  return Total == Suspended_.end() ? Now_ : Now_ - Total->second;
}

void EngineMesh::suspend(std::size_t Node, Micros Duration) {
  Suspended_[Node] += Duration;
  SuspendedUntil_[Node] = Now_ + Duration;
  std::multimap<TimePoint, Event> Kept;
  for (std::pair<const TimePoint, Event> &Entry : Events_)
    Kept.emplace(Entry.second.Node_ == Node
                     ? std::max(Entry.first, SuspendedUntil_[Node])
                     : Entry.first,
                 std::move(Entry.second));
  Events_ = std::move(Kept);
  Events_.emplace_hint(
      Events_.lower_bound(SuspendedUntil_[Node]), SuspendedUntil_[Node],
      Event{Node, Starts_[Node], SuspensionObserved{Suspended_[Node]}});
}

std::string EngineMesh::ask(std::size_t Node, const std::string &Credential,
                            const std::string &Path) {
  CallerKey Caller{++LastCaller_};
  std::string Id = "q" + std::to_string(Caller.Value_);
  IdOfCaller_[Caller.Value_] = Id;
  IncomingRequest Request;
  Request.Http_ = {"GET", Path, {}, {}};
  Request.Metadata_.Host_ = "h";
  Request.Metadata_.CallerKind_ = "shop";
  Request.Metadata_.CallerRequestId_ = Id;
  Request.Metadata_.TimeLeft_ = millis(3000);
  if (!Credential.empty())
    Request.Metadata_.CredentialDigest_ = contentDigest(Credential);
  schedule(Node, Micros(0), CallerArrived{Caller, false, Request});
  return Id;
}

StoreListed EngineMesh::listOf(Collection Kind) const {
  StoreListed Listed{Kind, Revision_, {}, {}};
  if (Kind == Collection::Routes)
    Listed.Subtrees_.push_back({std::string(RouteTablePath), Version_, false,
                                "[service shop]\n[route 1]\nhost = h\n"
                                "prefix = /a/\nservices = shop:1\n"
                                "timeout-ms = 800\n[route 2]\nhost = h\n"
                                "prefix = /open/\nservices = shop:1\n"
                                "timeout-ms = 800\npublic = yes\n" +
                                    Tenancy_});
  return Listed;
}

std::uint64_t EngineMesh::writeTable() {
  ++Version_;
  ++Revision_;
  return Version_;
}

std::uint64_t EngineMesh::writeTenancy(std::string Text) {
  Tenancy_ = std::move(Text);
  return writeTable();
}

void EngineMesh::turnAway(const std::set<std::size_t> &Nodes, Refusal How) {
  TurnedAway_ = Nodes;
  Refusal_ = How;
}

// Ends the watches that have a change, have lasted long enough, or are cut.
void EngineMesh::endWatches() {
  std::vector<Watch> Waiting;
  for (const Watch &Entry : Watches_) {
    bool Cut = isTurnedAway(Entry.Node_);
    bool Changed = Entry.Collection_ == Collection::Routes &&
                   Entry.Since_ < Revision_ && !Cut;
    bool Expired = Now_ >= Entry.EndsAt_;
    if (Cut && Refusal_ == Refusal::Reset) {
      schedule(Entry.Node_, NetworkDelay,
               StoreFailed{StoreCall::Watch, Entry.Collection_, "reset", {}});
    } else if (Cut && Expired) {
      schedule(Entry.Node_, WatchSlack,
               StoreFailed{StoreCall::Watch, Entry.Collection_, "silent", {}});
    } else if (Changed || Expired) {
      StoreListed Listed = listOf(Entry.Collection_);
      StoreWatched Watched{Entry.Collection_, Revision_, {}, {}};
      if (Changed)
        Watched.Changes_ = Listed.Subtrees_;
      schedule(Entry.Node_, StoreDelay, Watched);
    } else {
      Waiting.push_back(Entry);
    }
  }
  Watches_ = std::move(Waiting);
}

void EngineMesh::run(Micros Duration) {
  TimePoint End = Now_ + Duration;
  while (true) {
    endWatches();
    TimePoint Next = End;
    if (!Events_.empty())
      Next = std::min(Next, Events_.begin()->first);
    for (std::size_t Node = 0; Node < Engines_.size(); ++Node)
      Next = std::min(Next, nextTimer(Node));
    for (const Watch &Entry : Watches_)
      Next = std::min(Next, std::max(Now_ + Micros(1), Entry.EndsAt_));
    if (Next >= End) {
      Now_ = End;
      return;
    }
    Now_ = std::max(Now_, Next);
    while (!Events_.empty() && Events_.begin()->first <= Now_) {
      Event Due = std::move(Events_.begin()->second);
      Events_.erase(Events_.begin());
      if (Due.Start_ == Starts_[Due.Node_])
        handle(Due.Node_, Due.Input_);
    }
    for (std::size_t Node = 0; Node < Engines_.size(); ++Node)
      if (nextTimer(Node) <= Now_) {
        Engines_[Node]->tick(localTime(Node));
        carryOut(Node);
      }
  }
}

// Timers run on the clock of the node, which stops while it is suspended.
TimePoint EngineMesh::nextTimer(std::size_t Node) const {
  if (Stopped_.contains(Node))
    return TimePoint::max();
  TimePoint Next = Engines_[Node]->nextTimer();
  auto Total = Suspended_.find(Node);
  if (Total == Suspended_.end() || Next == TimePoint::max())
    return Next;
  return std::max(Next + Total->second, SuspendedUntil_.at(Node));
}

std::set<std::size_t> EngineMesh::watchers() const {
  std::set<std::size_t> Result;
  for (const Watch &Entry : Watches_)
    if (Entry.Collection_ == Collection::Routes)
      Result.insert(Entry.Node_);
  return Result;
}

std::uint64_t EngineMesh::version(std::size_t Node) const {
  return state(Node).Settings_.versionOf(std::string(RouteTablePath));
}

const NodeState &EngineMesh::state(std::size_t Node) const {
  return Engines_[Node]->state();
}

std::size_t EngineMesh::logged(EventNumber Event) const {
  auto Entry = Logged_.find(Event);
  return Entry == Logged_.end() ? 0 : Entry->second;
}

} // namespace fulmarshelf::test
