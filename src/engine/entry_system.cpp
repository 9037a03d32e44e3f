#include "entry_admission.hpp" // admitRequest

#include "fulmarshelf/detail/base/hash.hpp"         // stableHash
#include "fulmarshelf/detail/engine/answers.hpp"    // notRun
#include "fulmarshelf/detail/engine/systems.hpp"    // entry_system
#include "fulmarshelf/detail/retry/token_split.hpp" // tokensForCall

#include <algorithm> // min, max

namespace fulmarshelf::entry_system {

namespace {

constexpr Micros DetachedRequestTimeout = millis(60'000);
constexpr std::size_t MaxCallsPerWork = 1024;
constexpr std::uint32_t MaxCallDepth = 32;
// A node has its settings within about a second of its start.
constexpr Micros StartingRetryAfter = millis(1000);
// Time to write the last answers before the process is killed.
constexpr Micros KillMargin = millis(300);
constexpr std::string_view TicketPath = "/_fulmarshelf/ticket";

// Answers a request that was never added to the tables.
void refuse(NodeState &Node, const Request &Refused, const CallReply &Reply,
            const std::string &Detail, const std::string &OfferedTicket = {}) {
  log(Node, EventNumber::RequestRefused,
      {{"request", toString(Refused.Id_)},
       {"id", Refused.Metadata_.CallerRequestId_},
       {"error", std::string(errorName(Reply.Error_))},
       {"outcome", std::string(outcomeName(Reply.Outcome_))},
       {"detail", Detail}});
  answer_system::answer(Node, Refused.Waiters_.front(), Reply, OfferedTicket,
                        Refused.Metadata_.CallerRequestId_);
}

// Digest of the fields that must agree for two requests to share a ticket.
std::string requestDigest(const Request &NewRequest) {
  const HttpRequest &Http = NewRequest.Http_;
  return contentDigest(Http.Method_ + "\n" + Http.Target_ + "\n" +
                       NewRequest.Metadata_.CallerKind_ + "\n" + Http.Body_);
}

// Requests of outside callers are joined only when every header agrees, since
// an answer may depend on any of them.
std::string joinKey(const HttpRequest &Http) {
  std::string Text = Http.Method_ + "\n" + Http.Target_ + "\n";
  for (const Header &Field : Http.Headers_)
    if (!equalsIgnoreCase(Field.Name_, header::DeadlineMs))
      Text += Field.Name_ + ":" + Field.Value_ + "\n";
  return contentDigest(Text + "\n" + Http.Body_);
}

// Finds the running work that a call names as its parent.
Work *findNamedParent(NodeState &Node, const std::string &ParentText) {
  AttemptId Parent;
  if (!parseAttemptId(ParentText, Parent) ||
      Parent.Node_ != localNodeName(Node) ||
      Parent.Incarnation_ != Node.Config_.Incarnation_)
    return nullptr;
  auto Entry = Node.Works_.find(WorkId{Parent.Sequence_});
  bool IsRunning =
      Entry != Node.Works_.end() && Entry->second.State_ == WorkState::Running;
  return IsRunning ? &Entry->second : nullptr;
}

void fillFromRules(NodeState &Node, Request &NewRequest,
                   const EffectiveRules &Rules) {
  NewRequest.Context_.Caller_ = NewRequest.Metadata_.CallerKind_;
  NewRequest.Context_.CallerRequestId_ = NewRequest.Metadata_.CallerRequestId_;
  NewRequest.Context_.Route_ = NewRequest.Route_;
  NewRequest.LatencyTarget_ = Rules.LatencyTarget_;
  NewRequest.Context_.Idempotent_ = Rules.Idempotent_;
  NewRequest.Context_.Tokens_ = Rules.Retries_;
  NewRequest.Context_.Root_ = toString(AttemptId{
      localNodeName(Node), Node.Config_.Incarnation_, NewRequest.Id_.Value_});
  NewRequest.Context_.Rank_ =
      makeRank(Rules.Importance_, false, stableHash(NewRequest.Context_.Root_));
  NewRequest.Context_.TimeLeft_ = Rules.Patience_;
  if (NewRequest.Metadata_.TimeLeft_)
    NewRequest.Context_.TimeLeft_ = std::min(NewRequest.Context_.TimeLeft_,
                                             *NewRequest.Metadata_.TimeLeft_);
}

// A call that names its parent inherits the parent's root, the higher of the
// two importances, the time left and part of the retry tokens.
void inherit(NodeState &Node, Request &NewRequest, const EffectiveRules &Rules,
             Work &Parent) {
  CallContext &Context = NewRequest.Context_;
  const CallContext &ParentContext = Parent.Context_;
  unsigned Importance =
      std::max(Rules.Importance_, importanceOf(ParentContext.Rank_));
  NewRequest.Parent_ = Parent.Id_;
  Context.Root_ = ParentContext.Root_;
  Context.Caller_ = ParentContext.Caller_;
  Context.Depth_ = ParentContext.Depth_ + 1;
  Context.Rank_ = makeRank(Importance, true, ParentContext.Rank_);
  Context.TimeLeft_ = std::min(Context.TimeLeft_, Parent.Deadline_ - Node.Now_);
  Context.Tokens_ = tokensForCall(Parent.Context_.Tokens_);
  Parent.Context_.Tokens_ -= Context.Tokens_;
}

// Adds a request to the tables and starts its first attempt.
void startRequest(NodeState &Node, Request NewRequest) {
  RequestId Id = NewRequest.Id_;
  NewRequest.Deadline_ = Node.Now_ + NewRequest.Context_.TimeLeft_;
  for (const Waiter &To : NewRequest.Waiters_) {
    if (const CallerKey *Caller = std::get_if<CallerKey>(&To))
      Node.RequestOfCaller_[*Caller] = Id;
    if (const StreamKey *Stream = std::get_if<StreamKey>(&To))
      Node.RequestOfStream_[*Stream] = Id;
  }
  if (!NewRequest.JoinKey_.empty())
    Node.Joinable_[NewRequest.JoinKey_] = Id;
  setTimer(Node, NewRequest.Context_.TimeLeft_, TimerKind::RequestDeadline,
           Id.Value_);
  bool Forwarded = !NewRequest.ForwardedTicket_.empty();
  Node.Requests_.emplace(Id, std::move(NewRequest));
  if (Forwarded)
    attempt_system::sendToTicketHome(Node, Id);
  else
    attempt_system::startNextAttempt(Node, Id);
}

void join(NodeState &Node, RequestId Existing, const Waiter &To,
          TimePoint Deadline) {
  Request &Joined = Node.Requests_.at(Existing);
  log(Node, EventNumber::RequestJoined, {{"request", toString(Existing)}});
  Joined.Waiters_.push_back(To);
  if (const CallerKey *Caller = std::get_if<CallerKey>(&To))
    Node.RequestOfCaller_[*Caller] = Existing;
  if (const StreamKey *Stream = std::get_if<StreamKey>(&To))
    Node.RequestOfStream_[*Stream] = Existing;
  if (Deadline <= Joined.Deadline_)
    return;
  Joined.Deadline_ = Deadline;
  setTimer(Node, Deadline - Node.Now_, TimerKind::RequestDeadline,
           Existing.Value_);
}

void replay(NodeState &Node, const Waiter &To, CallReply Reply,
            const std::string &Key) {
  log(Node, EventNumber::TicketReplayed, {{"key", Key}});
  Reply.Replayed_ = true;
  Reply.TokensLeft_ = 0;
  answer_system::answer(Node, To, Reply);
}

// A request whose ticket names an earlier incarnation of this node may have run
// during that incarnation.
CallReply ticketRefusal(TicketVerdict Verdict, bool SameIncarnation) {
  if (Verdict == TicketVerdict::Mismatch)
    return notRun(ErrorCode::TicketMismatch);
  if (Verdict == TicketVerdict::Expired)
    return unknownOutcome(ErrorCode::TicketInvalid);
  if (!SameIncarnation)
    return unknownOutcome(ErrorCode::TicketHomeGone);
  return notRun(ErrorCode::TicketInvalid);
}

void startLocalTicket(NodeState &Node, Request NewRequest,
                      const Ticket &Redeemed) {
  Waiter To = NewRequest.Waiters_.front();
  std::string SequenceText = std::to_string(Redeemed.Sequence_);
  const TicketRecord *Existing = Node.Tickets_.find(Redeemed.Sequence_);
  if (Node.Phase_ == NodePhase::Leaving && Existing == nullptr) {
    refuse(Node, NewRequest, notRun(ErrorCode::Leaving),
           "ticket " + SequenceText);
    return;
  }
  TicketVerdict Verdict = Node.Tickets_.redeem(
      Node.Now_, Redeemed, requestDigest(NewRequest), NewRequest.Id_);
  switch (Verdict) {
  case TicketVerdict::Start:
    log(Node, EventNumber::TicketStarted,
        {{"ticket", SequenceText}, {"request", toString(NewRequest.Id_)}});
    NewRequest.Ticket_ = Redeemed.Sequence_;
    startRequest(Node, std::move(NewRequest));
    return;
  case TicketVerdict::Join:
    join(Node, Node.Tickets_.find(Redeemed.Sequence_)->Request_, To,
         Node.Now_ + NewRequest.Context_.TimeLeft_);
    return;
  case TicketVerdict::Replay: {
    const TicketRecord *Record = Node.Tickets_.find(Redeemed.Sequence_);
    CallReply Reply = Record->BodyDropped_
                          ? unknownOutcome(ErrorCode::OutcomeUnknown)
                          : Record->Reply_;
    replay(Node, To, Reply, SequenceText);
    return;
  }
  default:
    log(Node, EventNumber::TicketRefused, {{"ticket", SequenceText}});
    refuse(Node, NewRequest,
           ticketRefusal(Verdict,
                         Redeemed.Incarnation_ == Node.Config_.Incarnation_),
           "ticket " + SequenceText, toString(Node.Tickets_.issue(Node.Now_)));
  }
}

void startTicketed(NodeState &Node, Request NewRequest) {
  const std::string Key = NewRequest.Metadata_.IdempotencyKey_;
  Ticket RequestTicket;
  if (!parseTicket(Key, RequestTicket)) {
    ErrorCode Error =
        Key.empty() ? ErrorCode::TicketRequired : ErrorCode::TicketInvalid;
    Ticket Offered = Node.Tickets_.issue(Node.Now_);
    log(Node, EventNumber::TicketIssued,
        {{"ticket", std::to_string(Offered.Sequence_)}});
    refuse(Node, NewRequest, notRun(Error), "no usable ticket",
           toString(Offered));
    return;
  }
  if (RequestTicket.Home_ == localNodeName(Node)) {
    startLocalTicket(Node, std::move(NewRequest), RequestTicket);
    return;
  }
  NewRequest.ForwardedTicket_ = Key;
  startRequest(Node, std::move(NewRequest));
}

// Each call of a piece of work has a key, so a repeated call is recognized. It
// joins the call in progress, receives the recorded reply of a non-idempotent
// call, or costs a token.
void startChild(NodeState &Node, Request NewRequest, Work &Parent) {
  Waiter To = NewRequest.Waiters_.front();
  const std::string &IdempotencyKey = NewRequest.Metadata_.IdempotencyKey_;
  NewRequest.ChildKey_ = IdempotencyKey.empty()
                             ? "digest " + requestDigest(NewRequest)
                             : "key " + IdempotencyKey;
  auto Existing = Parent.Calls_.find(NewRequest.ChildKey_);
  if (Existing != Parent.Calls_.end()) {
    ChildCall &Call = Existing->second;
    if (Call.Request_.Value_ != 0) {
      Parent.Context_.Tokens_ += NewRequest.Context_.Tokens_;
      join(Node, Call.Request_, To, Node.Now_ + NewRequest.Context_.TimeLeft_);
      return;
    }
    if (!Call.Idempotent_ && Call.Reply_.Outcome_ != Outcome::NotRun) {
      Parent.Context_.Tokens_ += NewRequest.Context_.Tokens_;
      replay(Node, To, Call.Reply_, NewRequest.ChildKey_);
      return;
    }
    std::uint32_t &AvailableTokens = NewRequest.Context_.Tokens_ > 0
                                         ? NewRequest.Context_.Tokens_
                                         : Parent.Context_.Tokens_;
    if (AvailableTokens == 0 && hasFullPolicy(Node)) {
      log(Node, EventNumber::RetryDenied,
          {{"work", std::to_string(Parent.Id_.Value_)}});
      refuse(Node, NewRequest, notRun(ErrorCode::RetryLimit),
             "repeat of a call");
      return;
    }
    AvailableTokens -= std::min(AvailableTokens, 1U);
  } else if (Parent.Calls_.size() >= MaxCallsPerWork) {
    Parent.Context_.Tokens_ += NewRequest.Context_.Tokens_;
    refuse(Node, NewRequest, notRun(ErrorCode::BadRequest), "too many calls");
    return;
  }
  Parent.Calls_[NewRequest.ChildKey_] = {
      NewRequest.Id_, NewRequest.Context_.Idempotent_, {}};
  startRequest(Node, std::move(NewRequest));
}

void startOutsideRequest(NodeState &Node, Request NewRequest) {
  if (!NewRequest.Metadata_.CallerRequestId_.empty()) {
    NewRequest.JoinKey_ = joinKey(NewRequest.Http_);
    auto Existing = Node.Joinable_.find(NewRequest.JoinKey_);
    if (Existing != Node.Joinable_.end()) {
      join(Node, Existing->second, NewRequest.Waiters_.front(),
           Node.Now_ + NewRequest.Context_.TimeLeft_);
      return;
    }
  }
  startRequest(Node, std::move(NewRequest));
}

// Returns the error for a request that the node does not accept in its current
// phase.
std::optional<ErrorCode> phaseRefusal(const NodeState &Node,
                                      const CallerArrived &Input) {
  if (Node.Phase_ == NodePhase::Starting)
    return ErrorCode::SettingsUnavailable;
  // With a route table a caller has only this entry, so the entry serves until
  // the callers have been notified that it leaves.
  if (Node.Phase_ != NodePhase::Serving && !Input.FromBackend_ &&
      !hasRouteTable(Node))
    return ErrorCode::Leaving;
  return std::nullopt;
}

// Issues a ticket on request, so that a non-idempotent request needs no refused
// first attempt. With a route table there are no tickets, and the path is an
// ordinary one.
bool answerTicketRequest(NodeState &Node, const CallerArrived &Input) {
  if (hasRouteTable(Node) || Input.Request_.Http_.Target_ != TicketPath)
    return false;
  Ticket Offered = Node.Tickets_.issue(Node.Now_);
  log(Node, EventNumber::TicketIssued,
      {{"ticket", std::to_string(Offered.Sequence_)}});
  CallReply Reply;
  Reply.Outcome_ = Outcome::Complete;
  Reply.Response_.Status_ = 200;
  Reply.Response_.Body_ = toString(Offered) + "\n";
  answer_system::answer(Node, Input.Caller_, Reply, toString(Offered));
  return true;
}

bool isKnownService(NodeState &Node, const std::string &Service) {
  const ServiceOwners &Owners = Node.Owners_.owners(Node.Membership_, Service);
  return !Owners.Preferred_.empty() ||
         (Node.Backend_.Announced_ &&
          Node.Backend_.Announcement_.Service_ == Service);
}

// Sets the service by the first segment of the path and returns its rules.
std::optional<EffectiveRules> rulesByPath(NodeState &Node,
                                          Request &NewRequest) {
  NewRequest.Service_ = serviceOf(NewRequest.Http_.Target_);
  NewRequest.Route_ = routeKeyOf(NewRequest.Http_);
  return Node.Settings_.effective(NewRequest.Service_, NewRequest.Http_.Method_,
                                  pathOf(NewRequest.Http_.Target_),
                                  NewRequest.Metadata_.CallerKind_);
}

// Sets the service by the matching route and returns its rules. The weighted
// round robin picks among the route's services whether or not the picked one
// has spare capacity, so that the traffic shares follow the weights.
std::optional<EffectiveRules> rulesByRoute(NodeState &Node,
                                           Request &NewRequest) {
  const RouteTable *Table = Node.Settings_.routes();
  std::string_view Path = pathOf(NewRequest.Http_.Target_);
  const Route *Matched =
      Table == nullptr ? nullptr
                       : findRoute(*Table, NewRequest.Metadata_.Host_, Path);
  if (Matched == nullptr)
    return std::nullopt;
  NewRequest.Route_ = routeName(*Matched);
  if (Matched->OutOfService_)
    return std::nullopt;
  NewRequest.Service_ =
      Node.ServiceSplits_[NewRequest.Route_].next(Matched->Services_);
  return Node.Settings_.effective(*Matched, NewRequest.Service_,
                                  NewRequest.Http_.Method_, Path,
                                  NewRequest.Metadata_.CallerKind_);
}

// A stopping node accepts a request only if the request can be finished before
// the process is killed.
bool isTooLateToStart(const NodeState &Node, const Request &NewRequest) {
  if (!hasRouteTable(Node) || Node.Phase_ != NodePhase::Leaving)
    return false;
  TimePoint KillAt =
      Node.LeaveStartedAt_ + Node.Config_.Settings_.Bounds_.GraceTime_;
  return Node.Now_ + NewRequest.Context_.TimeLeft_ + KillMargin > KillAt;
}

CallReply refusalWithoutRules(NodeState &Node, const Request &NewRequest) {
  // A request that matches a route has no rules if the route is out of service.
  bool IsKnown =
      hasRouteTable(Node)
          ? Node.Settings_.routes() == nullptr || !NewRequest.Route_.empty()
          : isKnownService(Node, NewRequest.Service_);
  if (IsKnown)
    return notRun(ErrorCode::SettingsUnavailable, StartingRetryAfter);
  return notRun(ErrorCode::UnknownService);
}

void startByKind(NodeState &Node, Request NewRequest, bool FromBackend,
                 const EffectiveRules &Rules) {
  if (FromBackend && !NewRequest.Metadata_.Parent_.empty()) {
    Work *Parent = findNamedParent(Node, NewRequest.Metadata_.Parent_);
    if (Parent == nullptr || Parent->Context_.Depth_ >= MaxCallDepth) {
      refuse(Node, NewRequest, notRun(ErrorCode::UnknownParent),
             NewRequest.Metadata_.Parent_);
      return;
    }
    inherit(Node, NewRequest, Rules, *Parent);
    startChild(Node, std::move(NewRequest), *Parent);
    return;
  }
  // With a route table each attempt of a caller has a distinct id and arrives
  // once, so no request is joined and no ticket is needed.
  if (hasRouteTable(Node)) {
    std::optional<AdmissionRejection> Refusal =
        admitRequest(Node, NewRequest, Rules);
    if (!Refusal) {
      startRequest(Node, std::move(NewRequest));
      return;
    }
    quota_system::refund(Node, NewRequest);
    refuse(Node, NewRequest, Refusal->Reply_, Refusal->Detail_);
    return;
  }
  if (NewRequest.Context_.Idempotent_)
    startOutsideRequest(Node, std::move(NewRequest));
  else
    startTicketed(Node, std::move(NewRequest));
}

// A request that was held is not found by its callers any more.
void forgetCallers(NodeState &Node, const Request &Held) {
  for (const Waiter &To : Held.Waiters_)
    if (const CallerKey *Caller = std::get_if<CallerKey>(&To))
      Node.RequestOfCaller_.erase(*Caller);
}

void accept(NodeState &Node, Request NewRequest, bool FromBackend,
            const EffectiveRules &Rules) {
  Node.Budgets_[NewRequest.Service_].onFirstAttempt(Rules.RetrySharePercent_);
  if (hasRouteTable(Node))
    Node.Repeats_[NewRequest.Service_].onFirstAttempt(Node.Now_,
                                                      repeatBound(Node));
  startByKind(Node, std::move(NewRequest), FromBackend, Rules);
}

} // namespace

void receive(NodeState &Node, const CallerArrived &Input) {
  Request NewRequest;
  Node.LastArrival_ = Node.Now_;
  NewRequest.Id_ = RequestId{++Node.LastRequest_};
  NewRequest.Waiters_ = {Input.Caller_};
  NewRequest.Http_ = Input.Request_.Http_;
  NewRequest.Metadata_ = Input.Request_.Metadata_;
  NewRequest.Arrived_ = Node.Now_;
  std::optional<EffectiveRules> Rules = hasRouteTable(Node)
                                            ? rulesByRoute(Node, NewRequest)
                                            : rulesByPath(Node, NewRequest);
  log(Node, EventNumber::RequestReceived,
      {{"request", toString(NewRequest.Id_)},
       {"id", NewRequest.Metadata_.CallerRequestId_},
       {"route", NewRequest.Route_},
       {"service", NewRequest.Service_},
       {"settings", std::to_string(Rules ? Rules->Version_ : 0)},
       {"from", Input.FromBackend_ ? "backend" : "caller"},
       {"left", NewRequest.Metadata_.TimeLeft_
                    ? std::to_string(NewRequest.Metadata_.TimeLeft_->count())
                    : "none"}});
  if (std::optional<ErrorCode> Error = phaseRefusal(Node, Input)) {
    refuse(Node, NewRequest, notRun(*Error, StartingRetryAfter),
           "node is not serving");
    return;
  }
  if (answerTicketRequest(Node, Input))
    return;
  if (!Rules) {
    refuse(Node, NewRequest, refusalWithoutRules(Node, NewRequest),
           "no settings for '" + NewRequest.Metadata_.Host_ +
               NewRequest.Http_.Target_ + "'");
    return;
  }
  if (std::optional<CallReply> Refusal =
          tenant_system::identify(Node, NewRequest, *Rules)) {
    refuse(Node, NewRequest, *Refusal, "credential on " + NewRequest.Route_);
    return;
  }
  if (NewRequest.Http_.Body_.size() > Rules->MaxBodyBytes_) {
    refuse(Node, NewRequest, notRun(ErrorCode::BodyTooLarge),
           "limit is " + std::to_string(Rules->MaxBodyBytes_) + " bytes");
    return;
  }
  fillFromRules(Node, NewRequest, *Rules);
  if (isTooLateToStart(Node, NewRequest)) {
    refuse(Node, NewRequest, notRun(ErrorCode::Leaving, StartingRetryAfter),
           "the node stops before the request could be finished");
    return;
  }
  if (quarantine_system::suspicionOf(Node, NewRequest.Http_) ==
      Suspicion::SetAside) {
    quarantine_system::onRejected(Node, NewRequest.Http_);
    refuse(Node, NewRequest, unknownOutcome(ErrorCode::SetAside),
           toString(digestOf(NewRequest.Http_)));
    return;
  }
  if (!quota_system::isLimited(Node, NewRequest) ||
      quota_system::trySpend(Node, NewRequest)) {
    accept(Node, std::move(NewRequest), Input.FromBackend_, *Rules);
    return;
  }
  if (std::optional<CallReply> Refusal =
          quota_system::refusal(Node, NewRequest))
    refuse(Node, NewRequest, *Refusal, "tenant " + NewRequest.Context_.Tenant_);
  else
    quota_system::hold(Node,
                       {std::move(NewRequest), *Rules, Input.FromBackend_});
}

void resume(NodeState &Node, HeldRequest Held) {
  Request &Resumed = Held.Request_;
  forgetCallers(Node, Resumed);
  Micros Waited = Node.Now_ - Resumed.Arrived_;
  Resumed.Context_.TimeLeft_ -= Waited;
  if (Resumed.Metadata_.TimeLeft_)
    *Resumed.Metadata_.TimeLeft_ -= Waited;
  accept(Node, std::move(Resumed), Held.FromBackend_, Held.Rules_);
}

void refuseHeld(NodeState &Node, const HeldRequest &Held,
                const CallReply &Reply) {
  forgetCallers(Node, Held.Request_);
  refuse(Node, Held.Request_, Reply,
         "tenant " + Held.Request_.Context_.Tenant_);
}

bool isIdempotentCaller(const NodeState &Node, CallerKey Caller) {
  auto Id = Node.RequestOfCaller_.find(Caller);
  if (Id == Node.RequestOfCaller_.end())
    return false;
  auto Entry = Node.Requests_.find(Id->second);
  return Entry != Node.Requests_.end() && Entry->second.Context_.Idempotent_;
}

bool isIdempotentRequest(const NodeState &Node,
                         const IncomingRequest &Request) {
  const HttpRequest &Http = Request.Http_;
  std::string_view Path = pathOf(Http.Target_);
  if (hasRouteTable(Node)) {
    const RouteTable *Table = Node.Settings_.routes();
    const Route *Matched =
        Table == nullptr ? nullptr
                         : findRoute(*Table, Request.Metadata_.Host_, Path);
    return Matched != nullptr && Matched->Idempotent_;
  }
  std::optional<EffectiveRules> Rules =
      Node.Settings_.effective(serviceOf(Http.Target_), Http.Method_, Path,
                               Request.Metadata_.CallerKind_);
  return Rules && Rules->Idempotent_;
}

void receiveAsHome(NodeState &Node, StreamKey Stream,
                   const CallMessage &Message) {
  Request NewRequest;
  NewRequest.Id_ = RequestId{++Node.LastRequest_};
  NewRequest.Waiters_ = {Stream};
  NewRequest.Http_ = Message.Request_;
  NewRequest.Context_ = Message.Context_;
  NewRequest.Arrived_ = Node.Now_;
  NewRequest.Metadata_.CallerKind_ = Message.Context_.Caller_;
  NewRequest.Service_ = serviceOf(Message.Request_.Target_);
  NewRequest.Route_ = routeKeyOf(Message.Request_);
  Ticket RequestTicket;
  if (!parseTicket(Message.Ticket_, RequestTicket)) {
    refuse(Node, NewRequest, notRun(ErrorCode::TicketInvalid),
           "malformed ticket");
    return;
  }
  if (Node.Phase_ == NodePhase::Starting) {
    refuse(Node, NewRequest, unknownOutcome(ErrorCode::TicketHomeGone),
           "the home has restarted");
    return;
  }
  startLocalTicket(Node, std::move(NewRequest), RequestTicket);
}

void cancel(NodeState &Node, RequestId Id) {
  auto Entry = Node.Requests_.find(Id);
  if (Entry == Node.Requests_.end())
    return;
  if (!Entry->second.Context_.Idempotent_) {
    setTimer(Node, DetachedRequestTimeout, TimerKind::RequestForget, Id.Value_);
    return;
  }
  log(Node, EventNumber::RequestCancelled, {{"request", toString(Id)}});
  answer_system::finish(Node, Id, unknownOutcome(ErrorCode::Cancelled));
}

namespace {

void dropWaiter(NodeState &Node, RequestId Id, const Waiter &Disconnected) {
  auto Entry = Node.Requests_.find(Id);
  if (Entry == Node.Requests_.end())
    return;
  std::erase(Entry->second.Waiters_, Disconnected);
  if (Entry->second.Waiters_.empty())
    cancel(Node, Id);
}

} // namespace

void dropCaller(NodeState &Node, CallerKey Caller) {
  auto Entry = Node.RequestOfCaller_.find(Caller);
  if (Entry == Node.RequestOfCaller_.end())
    return;
  RequestId Id = Entry->second;
  Node.RequestOfCaller_.erase(Entry);
  if (!quota_system::drop(Node, Id))
    dropWaiter(Node, Id, Caller);
}

void dropStream(NodeState &Node, StreamKey Stream) {
  auto Entry = Node.RequestOfStream_.find(Stream);
  if (Entry == Node.RequestOfStream_.end())
    return;
  RequestId Id = Entry->second;
  Node.RequestOfStream_.erase(Entry);
  dropWaiter(Node, Id, Stream);
}

void onDeadline(NodeState &Node, RequestId Id) {
  auto Entry = Node.Requests_.find(Id);
  if (Entry == Node.Requests_.end() || Node.Now_ < Entry->second.Deadline_)
    return;
  Request &Expired = Entry->second;
  if (!Expired.Context_.Idempotent_ && !Expired.Attempts_.empty()) {
    answer_system::detach(Node, Id,
                          unknownOutcome(ErrorCode::DeadlineExceeded));
    setTimer(Node, DetachedRequestTimeout, TimerKind::RequestForget, Id.Value_);
    return;
  }
  bool ProvedNotRun =
      attempt_system::cancelAttempts(Node, Expired) && !Expired.MayHaveRun_;
  if (Expired.AnsweredFailure_) {
    answer_system::finish(Node, Id, CallReply(*Expired.AnsweredFailure_));
    return;
  }
  answer_system::finish(Node, Id,
                        ProvedNotRun
                            ? notRun(ErrorCode::DeadlineExceeded)
                            : unknownOutcome(ErrorCode::DeadlineExceeded));
}

void onForget(NodeState &Node, RequestId Id) {
  auto Entry = Node.Requests_.find(Id);
  if (Entry == Node.Requests_.end() || !Entry->second.Waiters_.empty())
    return;
  answer_system::finish(Node, Id, unknownOutcome(ErrorCode::OutcomeUnknown));
}

} // namespace fulmarshelf::entry_system
