#include "fulmarshelf/detail/engine/systems.hpp" // backend_system

#include <algorithm> // min

namespace fulmarshelf::backend_system {

namespace {

constexpr Micros CheckInterval = millis(500);
constexpr Micros FailedConnectionBackoff = millis(200);
// A server that has not crashed usually answers another request in this time.
constexpr Micros CrashProbeDelay = millis(25);
// A backend server is lost after three missing announcements in a row. With a
// route table the timeout is longer, since an announcement may arrive seconds
// late.
constexpr Micros AnnouncementTimeout = millis(3500);
constexpr Micros RouteTableAnnouncementTimeout = millis(8000);

// An announcement is delayed by less than this time. A clock that was set back
// after a departure does not keep the next incarnation out for longer.
constexpr Micros LateAnnouncementTime = millis(30'000);

// Publishes to the mesh the service for which this node accepts work.
void publishService(NodeState &Node) {
  MemberStatus Status = Node.Phase_ == NodePhase::Leaving
                            ? MemberStatus::Leaving
                            : MemberStatus::Alive;
  Node.Membership_.setSelf(
      Status, isServing(Node) ? Node.Backend_.Announcement_.Service_ : "");
}

std::string_view stateName(BackendState State) {
  return State == BackendState::Serving ? "serving" : "draining";
}

} // namespace

bool isServing(const NodeState &Node) {
  return Node.Backend_.Announced_ && !Node.Backend_.ReplacedUnannounced_ &&
         Node.Phase_ == NodePhase::Serving &&
         Node.Backend_.Announcement_.State_ == BackendState::Serving;
}

namespace {

bool isDeparted(const NodeState &Node, const std::string &Instance,
                const AnnouncementOrder &Order) {
  return fulmarshelf::isDeparted(
      Node.Membership_.self().Departures_, Instance, Order.StartedMs_,
      Order.Sequence_, Node.Now_ < Node.Backend_.EstimatesCountUntil_);
}

// True for an announcement that is older than the last one, or whose
// incarnation has departed. Such an announcement must not replace newer state.
bool isOutdated(const NodeState &Node, const BackendAnnounced &Input) {
  if (!Input.Order_)
    return false;
  const std::optional<AnnouncementOrder> &Last = Node.Backend_.Order_;
  return isDeparted(Node, Input.Announcement_.Instance_, *Input.Order_) ||
         (Last && *Input.Order_ < *Last);
}

// An incarnation that drains may still announce itself.
void noteDraining(NodeState &Node, const BackendAnnounced &Input) {
  if (Input.Announcement_.State_ == BackendState::Draining && Input.Order_)
    Node.Membership_.addDeparture({Input.Order_->StartedMs_,
                                   Input.Announcement_.Instance_,
                                   Input.Order_->Sequence_, true});
}

bool isKnownService(const NodeState &Node, const Announcement &Received) {
  const RouteTable *Table = Node.Settings_.routes();
  return Table == nullptr ||
         findService(*Table, Received.Service_) != nullptr ||
         Received.Service_ == Node.Config_.Settings_.Service_;
}

void logAnnouncement(NodeState &Node, EventNumber Event,
                     const BackendAnnounced &Input) {
  const Announcement &Received = Input.Announcement_;
  AnnouncementOrder Order = Input.Order_.value_or(AnnouncementOrder());
  log(Node, Event,
      {{"service", Received.Service_},
       {"address", toString(Received.Address_)},
       {"slots", std::to_string(Received.Slots_)},
       {"state", std::string(stateName(Received.State_))},
       {"instance", Received.Instance_},
       {"born", std::to_string(Order.StartedMs_)},
       {"sequence", std::to_string(Order.Sequence_)}});
}

std::string rateText(const std::optional<double> &Rate) {
  return Rate ? std::to_string(*Rate) : "none";
}

// Discards the limit and the failure share learned from the previous
// incarnation, since they do not apply to the next one.
void startIncarnation(NodeState &Node) {
  Node.Limit_.restart();
  Node.Failures_.restart();
  Node.Backend_.ReplacedUnannounced_ = false;
  Node.Backend_.HasAnswered_ = false;
  Node.Backend_.FirstDispatchAt_ = TimePoint{};
  Node.Backend_.IncarnationSince_ = Node.Now_;
  Node.Rate_ = RateLimiter();
}

} // namespace

void onCrashConfirmed(NodeState &Node) {
  constexpr std::size_t MaxLogged = 10;
  std::vector<RequestDigest> InProgress = Node.Crashes_.confirm(Node.Now_);
  if (InProgress.empty())
    return;
  std::string Requests;
  for (std::size_t Index = 0; Index < std::min(MaxLogged, InProgress.size());
       ++Index)
    Requests += (Index == 0 ? "" : ",") + toString(InProgress[Index]);
  log(Node, EventNumber::BackendCrashed,
      {{"instance", Node.Backend_.Announcement_.Instance_},
       {"in_progress", std::to_string(InProgress.size())},
       {"requests", Requests}});
  quarantine_system::onCrash(Node, InProgress);
}

void onRequestLost(NodeState &Node, const RequestDigest &Digest) {
  Node.Crashes_.onLost(Node.Now_, Digest);
  if (Node.Backend_.ProbePending_)
    return;
  Node.Backend_.ProbePending_ = true;
  setTimer(Node, CrashProbeDelay, TimerKind::CrashProbe);
}

void onConnectFailed(NodeState &Node, bool Refused) {
  Node.Backend_.SuspectUntil_ = Node.Now_ + FailedConnectionBackoff;
  if (Refused)
    onCrashConfirmed(Node);
}

void probe(NodeState &Node) {
  if (Node.Crashes_.isSuspected())
    emit(Node, ProbeBackend{Node.Backend_.Announcement_.Address_});
  else
    Node.Backend_.ProbePending_ = false;
}

void onProbed(NodeState &Node, const BackendProbed &Input) {
  Node.Backend_.ProbePending_ = false;
  if (Input.Refused_ && Node.Crashes_.isSuspected())
    onConnectFailed(Node, true);
}

namespace {

void applyAnnouncement(NodeState &Node, const BackendAnnounced &Input) {
  const Announcement &Received = Input.Announcement_;
  Backend &Local = Node.Backend_;
  if (isOutdated(Node, Input) || !isKnownService(Node, Received)) {
    logAnnouncement(Node, EventNumber::BackendNoticeIgnored, Input);
    return;
  }
  bool Changed = !Local.Announced_ || Local.Announcement_ != Received;
  bool WasUnannounced = !Local.Announced_;
  if (Local.Announcement_.Instance_ != Received.Instance_ ||
      (Input.Order_ && Local.Order_ &&
       Input.Order_->StartedMs_ != Local.Order_->StartedMs_)) {
    onCrashConfirmed(Node);
    startIncarnation(Node);
  }
  Local.Announced_ = true;
  Local.Announcement_ = Received;
  Local.Order_ = Input.Order_;
  Local.LastHeardAt_ = Node.Now_;
  Local.ColdUntil_ = Node.Now_ + Input.ColdFor_;
  Local.SuspectUntil_ = TimePoint{};
  Node.Limit_.setSlots(Received.Slots_);
  if (WasUnannounced)
    setTimer(Node, CheckInterval, TimerKind::BackendCheck);
  if (!Changed)
    return;
  logAnnouncement(Node, EventNumber::BackendAnnounced, Input);
  noteDraining(Node, Input);
  publishService(Node);
  Node.Membership_.broadcast({});
  if (Received.State_ == BackendState::Draining) {
    Node.Crashes_.reset();
    owner_system::refuseQueued(Node, ErrorCode::Leaving);
  }
}

} // namespace

void announce(NodeState &Node, const BackendAnnounced &Input) {
  applyAnnouncement(Node, Input);
  const Announcement &Received = Input.Announcement_;
  bool Leaves = Received.State_ == BackendState::Draining &&
                findDeparture(Node.Membership_.self().Departures_,
                              Received.Instance_) != nullptr;
  if (Leaves)
    departure_system::answer(Node, Input.Notice_, Received.Instance_);
  else
    emit(Node, AnswerNotice{Input.Notice_, true});
}

namespace {

// Sends no new work to the current incarnation. Later announcements of it are
// outdated.
void stopServing(NodeState &Node) {
  Backend &Local = Node.Backend_;
  Node.Crashes_.reset();
  if (Local.Order_)
    Node.Membership_.addDeparture({Local.Order_->StartedMs_,
                                   Local.Announcement_.Instance_,
                                   Departure::Final, true});
  Local.Announcement_.State_ = BackendState::Draining;
  publishService(Node);
  Node.Membership_.broadcast({});
  owner_system::refuseQueued(Node, ErrorCode::Leaving);
}

void applyLeaving(NodeState &Node) {
  Backend &Local = Node.Backend_;
  if (Local.Announcement_.State_ == BackendState::Draining)
    return;
  log(Node, EventNumber::BackendDeparted,
      {{"instance", Local.Announcement_.Instance_},
       {"present", "yes"},
       {"source", "response"}});
  stopServing(Node);
}

} // namespace

namespace {

void applyDeparture(NodeState &Node, const BackendDeparted &Input) {
  const Backend &Local = Node.Backend_;
  bool Present = Local.Announcement_.Instance_ == Input.Instance_ &&
                 (Local.Announced_ || Local.Order_);
  log(Node, EventNumber::BackendDeparted,
      {{"instance", Input.Instance_},
       {"present", Present ? "yes" : "no"},
       {"source", "notice"}});
  if (Present) {
    stopServing(Node);
    return;
  }
  // The announcements of this incarnation are still on their way, or went to an
  // earlier process of this node.
  Node.Backend_.EstimatesCountUntil_ = Node.Now_ + LateAnnouncementTime;
  Node.Membership_.addDeparture(
      {Input.ReceivedMs_, Input.Instance_, Departure::Final, false});
  Node.Membership_.broadcast({});
}

} // namespace

void depart(NodeState &Node, const BackendDeparted &Input) {
  applyDeparture(Node, Input);
  departure_system::answer(Node, Input.Notice_, Input.Instance_);
}

void onDeparturesLearned(NodeState &Node) {
  if (!Node.Membership_.takeDeparturesLearned())
    return;
  Backend &Local = Node.Backend_;
  Local.EstimatesCountUntil_ = Node.Now_ + LateAnnouncementTime;
  if (!Local.Announced_ || !Local.Order_ ||
      Local.Announcement_.State_ == BackendState::Draining ||
      !isDeparted(Node, Local.Announcement_.Instance_, *Local.Order_))
    return;
  log(Node, EventNumber::BackendDeparted,
      {{"instance", Local.Announcement_.Instance_},
       {"present", "yes"},
       {"source", "peer"}});
  stopServing(Node);
}

void onOtherInstance(NodeState &Node, TimePoint SentAt) {
  Backend &Local = Node.Backend_;
  // A request that was sent to the previous incarnation and that the announced
  // one rejects says nothing about the announced one.
  if (Local.ReplacedUnannounced_ || SentAt < Local.IncarnationSince_)
    return;
  Local.ReplacedUnannounced_ = true;
  log(Node, EventNumber::BackendLost,
      {{"service", Local.Announcement_.Service_},
       {"instance", Local.Announcement_.Instance_},
       {"why", "another incarnation answers at its address"}});
  publishService(Node);
}

namespace {

void applyRateLimit(NodeState &Node, TimePoint SentAt,
                    const NamedRateLimit &Named) {
  const std::string &Instance = Node.Backend_.Announcement_.Instance_;
  if (const MalformedRateLimit *Fault =
          std::get_if<MalformedRateLimit>(&Named)) {
    log(Node, EventNumber::BackendRateLimitMalformed,
        {{"instance", Instance}, {"detail", Fault->Detail_}});
    return;
  }
  std::optional<double> Before = Node.Rate_.namedRate();
  if (const double *Rate = std::get_if<double>(&Named))
    Node.Rate_.onNamed(Node.Now_, *Rate);
  else
    Node.Rate_.onNotNamed(Node.Now_, SentAt);
  std::optional<double> Current = Node.Rate_.namedRate();
  if (Current != Before)
    log(Node, EventNumber::BackendRateLimit,
        {{"instance", Instance},
         {"rate", rateText(Current)},
         {"before", rateText(Before)}});
}

} // namespace

void onAnswer(NodeState &Node, TimePoint SentAt,
              const ResponseMetadata &Metadata) {
  // A late response of the previous incarnation.
  if (SentAt < Node.Backend_.IncarnationSince_)
    return;
  Node.Backend_.HasAnswered_ = true;
  Node.Crashes_.onAnswer(Node.Now_);
  applyRateLimit(Node, SentAt, Metadata.RateLimit_);
  if (Metadata.Leaving_)
    applyLeaving(Node);
}

void check(NodeState &Node) {
  Backend &Local = Node.Backend_;
  if (!Local.Announced_)
    return;
  Micros Timeout =
      hasRouteTable(Node) ? RouteTableAnnouncementTimeout : AnnouncementTimeout;
  if (Node.Now_ - Local.LastHeardAt_ < Timeout) {
    setTimer(Node, CheckInterval, TimerKind::BackendCheck);
    return;
  }
  log(Node, EventNumber::BackendLost,
      {{"service", Local.Announcement_.Service_},
       {"instance", Local.Announcement_.Instance_},
       {"why", "it has not announced itself for too long"}});
  Local.Announced_ = false;
  publishService(Node);
  owner_system::refuseQueued(Node, ErrorCode::NoLiveOwner);
}

} // namespace fulmarshelf::backend_system
