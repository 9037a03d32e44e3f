#include "entry_admission.hpp" // admitRequest

#include "fulmarshelf/detail/base/hash.hpp"         // stableHash
#include "fulmarshelf/detail/engine/answers.hpp"    // notRun
#include "fulmarshelf/detail/engine/systems.hpp"    // entry_system
#include "fulmarshelf/detail/retry/token_split.hpp" // tokensForCall

#include <algorithm> // min, max

namespace fulmarshelf::entry_system {

namespace {

constexpr Micros ForgetDelay = millis(60'000);
constexpr std::size_t MaxCallsOfWork = 1024;
constexpr std::uint32_t MaxDepth = 32;
// A node has its settings within about a second of its start.
constexpr Micros StartingRetryAfter = millis(1000);
// Time to write the last answers before the kill.
constexpr Micros KillMargin = millis(300);
constexpr std::string_view TicketPath = "/_fulmarshelf/ticket";

// Answers a request that never got into the tables.
void refuse(NodeState &Node, const Request &Refused, const CallReply &Reply,
            const std::string &Detail, const std::string &FreshTicket = {}) {
  log(Node, EventNumber::RequestRefused,
      {{"request", toString(Refused.Id_)},
       {"id", Refused.Metadata_.CallerRequestId_},
       {"error", std::string(errorName(Reply.Error_))},
       {"outcome", std::string(outcomeName(Reply.Outcome_))},
       {"detail", Detail}});
  answer_system::answer(Node, Refused.Waiters_.front(), Reply, FreshTicket,
                        Refused.Metadata_.CallerRequestId_);
}

// Everything that makes two requests the same one for a ticket.
std::string requestDigest(const Request &Target) {
  const HttpRequest &Http = Target.Http_;
  return contentDigest(Http.Method_ + "\n" + Http.Target_ + "\n" +
                       Target.Metadata_.CallerKind_ + "\n" + Http.Body_);
}

// Requests of outside callers are joined only when every header agrees, since
// an answer may depend on any of them.
std::string joinKey(const HttpRequest &Request) {
  std::string Text = Request.Method_ + "\n" + Request.Target_ + "\n";
  for (const Header &Field : Request.Headers_)
    if (!equalsIgnoreCase(Field.Name_, header::DeadlineMs))
      Text += Field.Name_ + ":" + Field.Value_ + "\n";
  return contentDigest(Text + "\n" + Request.Body_);
}

Work *findParent(NodeState &Node, const std::string &Text) {
  AttemptId Parent;
  if (!parseAttemptId(Text, Parent) || Parent.Node_ != ownName(Node) ||
      Parent.Incarnation_ != Node.Config_.Incarnation_)
    return nullptr;
  auto Found = Node.Works_.find(WorkId{Parent.Sequence_});
  bool Running =
      Found != Node.Works_.end() && Found->second.State_ == WorkState::Running;
  return Running ? &Found->second : nullptr;
}

void fillFromRules(NodeState &Node, Request &Target,
                   const EffectiveRules &Rules) {
  Target.Context_.Caller_ = Target.Metadata_.CallerKind_;
  Target.Context_.CallerRequestId_ = Target.Metadata_.CallerRequestId_;
  Target.Context_.Route_ = Target.Route_;
  Target.LatencyTarget_ = Rules.LatencyTarget_;
  Target.Context_.Idempotent_ = Rules.Idempotent_;
  Target.Context_.Tokens_ = Rules.Retries_;
  Target.Context_.Root_ = toString(
      AttemptId{ownName(Node), Node.Config_.Incarnation_, Target.Id_.Value_});
  Target.Context_.Rank_ =
      makeRank(Rules.Importance_, false, stableHash(Target.Context_.Root_));
  Target.Context_.TimeLeft_ = Rules.Patience_;
  if (Target.Metadata_.TimeLeft_)
    Target.Context_.TimeLeft_ =
        std::min(Target.Context_.TimeLeft_, *Target.Metadata_.TimeLeft_);
}

// A call inherits the root, the importance when that is higher, the time that
// is left, and part of the retry tokens.
void inherit(NodeState &Node, Request &Target, const EffectiveRules &Rules,
             Work &Parent) {
  CallContext &Context = Target.Context_;
  const CallContext &Above = Parent.Context_;
  unsigned Importance = std::max(Rules.Importance_, importanceOf(Above.Rank_));
  Target.Parent_ = Parent.Id_;
  Context.Root_ = Above.Root_;
  Context.Caller_ = Above.Caller_;
  Context.Depth_ = Above.Depth_ + 1;
  Context.Rank_ = makeRank(Importance, true, Above.Rank_);
  Context.TimeLeft_ = std::min(Context.TimeLeft_, Parent.Deadline_ - Node.Now_);
  Context.Tokens_ = tokensForCall(Parent.Context_.Tokens_);
  Parent.Context_.Tokens_ -= Context.Tokens_;
}

void adopt(NodeState &Node, Request Fresh) {
  RequestId Id = Fresh.Id_;
  Fresh.Deadline_ = Node.Now_ + Fresh.Context_.TimeLeft_;
  for (const Waiter &To : Fresh.Waiters_) {
    if (const CallerKey *Caller = std::get_if<CallerKey>(&To))
      Node.RequestOfCaller_[*Caller] = Id;
    if (const StreamKey *Stream = std::get_if<StreamKey>(&To))
      Node.RequestOfStream_[*Stream] = Id;
  }
  if (!Fresh.JoinKey_.empty())
    Node.Joinable_[Fresh.JoinKey_] = Id;
  setTimer(Node, Fresh.Context_.TimeLeft_, TimerKind::RequestDeadline,
           Id.Value_);
  bool Forwarded = !Fresh.ForwardedTicket_.empty();
  Node.Requests_.emplace(Id, std::move(Fresh));
  if (Forwarded)
    attempt_system::sendToTicketHome(Node, Id);
  else
    attempt_system::startNextAttempt(Node, Id);
}

void join(NodeState &Node, RequestId Existing, const Waiter &To,
          TimePoint Deadline) {
  Request &Target = Node.Requests_.at(Existing);
  log(Node, EventNumber::RequestJoined, {{"request", toString(Existing)}});
  Target.Waiters_.push_back(To);
  if (const CallerKey *Caller = std::get_if<CallerKey>(&To))
    Node.RequestOfCaller_[*Caller] = Existing;
  if (const StreamKey *Stream = std::get_if<StreamKey>(&To))
    Node.RequestOfStream_[*Stream] = Existing;
  if (Deadline <= Target.Deadline_)
    return;
  Target.Deadline_ = Deadline;
  setTimer(Node, Deadline - Node.Now_, TimerKind::RequestDeadline,
           Existing.Value_);
}

void replay(NodeState &Node, const Waiter &To, CallReply Reply,
            const std::string &What) {
  log(Node, EventNumber::TicketReplayed, {{"key", What}});
  Reply.Replayed_ = true;
  Reply.TokensLeft_ = 0;
  answer_system::answer(Node, To, Reply);
}

// A ticket that names another life of this node may have run in that life.
CallReply refusalOf(TicketVerdict Verdict, bool OwnLife) {
  if (Verdict == TicketVerdict::Mismatch)
    return notRun(ErrorCode::TicketMismatch);
  if (Verdict == TicketVerdict::Expired)
    return unknownOutcome(ErrorCode::TicketInvalid);
  if (!OwnLife)
    return unknownOutcome(ErrorCode::TicketHomeGone);
  return notRun(ErrorCode::TicketInvalid);
}

void startOwnTicket(NodeState &Node, Request Fresh, const Ticket &Value) {
  Waiter To = Fresh.Waiters_.front();
  std::string Key = std::to_string(Value.Sequence_);
  const TicketRecord *Known = Node.Tickets_.find(Value.Sequence_);
  if (Node.Phase_ == NodePhase::Leaving && Known == nullptr) {
    refuse(Node, Fresh, notRun(ErrorCode::Leaving), "ticket " + Key);
    return;
  }
  TicketVerdict Verdict =
      Node.Tickets_.redeem(Node.Now_, Value, requestDigest(Fresh), Fresh.Id_);
  switch (Verdict) {
  case TicketVerdict::Start:
    log(Node, EventNumber::TicketStarted,
        {{"ticket", Key}, {"request", toString(Fresh.Id_)}});
    Fresh.Ticket_ = Value.Sequence_;
    adopt(Node, std::move(Fresh));
    return;
  case TicketVerdict::Join:
    join(Node, Node.Tickets_.find(Value.Sequence_)->Request_, To,
         Node.Now_ + Fresh.Context_.TimeLeft_);
    return;
  case TicketVerdict::Replay: {
    const TicketRecord *Record = Node.Tickets_.find(Value.Sequence_);
    CallReply Reply = Record->BodyDropped_
                          ? unknownOutcome(ErrorCode::OutcomeUnknown)
                          : Record->Reply_;
    replay(Node, To, Reply, Key);
    return;
  }
  default:
    log(Node, EventNumber::TicketRefused, {{"ticket", Key}});
    refuse(Node, Fresh,
           refusalOf(Verdict, Value.Incarnation_ == Node.Config_.Incarnation_),
           "ticket " + Key, toString(Node.Tickets_.issue(Node.Now_)));
  }
}

void startTicketed(NodeState &Node, Request Fresh) {
  const std::string Key = Fresh.Metadata_.IdempotencyKey_;
  Ticket Value;
  if (!parseTicket(Key, Value)) {
    ErrorCode Why =
        Key.empty() ? ErrorCode::TicketRequired : ErrorCode::TicketInvalid;
    Ticket Offered = Node.Tickets_.issue(Node.Now_);
    log(Node, EventNumber::TicketIssued,
        {{"ticket", std::to_string(Offered.Sequence_)}});
    refuse(Node, Fresh, notRun(Why), "no usable ticket", toString(Offered));
    return;
  }
  if (Value.Home_ == ownName(Node)) {
    startOwnTicket(Node, std::move(Fresh), Value);
    return;
  }
  Fresh.ForwardedTicket_ = Key;
  adopt(Node, std::move(Fresh));
}

// The calls of one piece of work are known by their key, so a repeat joins,
// gets the first answer, or costs a token.
void startChild(NodeState &Node, Request Fresh, Work &Parent) {
  Waiter To = Fresh.Waiters_.front();
  const std::string &Given = Fresh.Metadata_.IdempotencyKey_;
  Fresh.ChildKey_ =
      Given.empty() ? "digest " + requestDigest(Fresh) : "key " + Given;
  auto Known = Parent.Calls_.find(Fresh.ChildKey_);
  if (Known != Parent.Calls_.end()) {
    ChildCall &Call = Known->second;
    if (Call.Request_.Value_ != 0) {
      Parent.Context_.Tokens_ += Fresh.Context_.Tokens_;
      join(Node, Call.Request_, To, Node.Now_ + Fresh.Context_.TimeLeft_);
      return;
    }
    if (!Call.Idempotent_ && Call.Reply_.Outcome_ != Outcome::NotRun) {
      Parent.Context_.Tokens_ += Fresh.Context_.Tokens_;
      replay(Node, To, Call.Reply_, Fresh.ChildKey_);
      return;
    }
    std::uint32_t &Payer = Fresh.Context_.Tokens_ > 0 ? Fresh.Context_.Tokens_
                                                      : Parent.Context_.Tokens_;
    if (Payer == 0 && hasFullPolicy(Node)) {
      log(Node, EventNumber::RetryDenied,
          {{"work", std::to_string(Parent.Id_.Value_)}});
      refuse(Node, Fresh, notRun(ErrorCode::RetryLimit), "repeat of a call");
      return;
    }
    Payer -= std::min(Payer, 1U);
  } else if (Parent.Calls_.size() >= MaxCallsOfWork) {
    Parent.Context_.Tokens_ += Fresh.Context_.Tokens_;
    refuse(Node, Fresh, notRun(ErrorCode::BadRequest), "too many calls");
    return;
  }
  Parent.Calls_[Fresh.ChildKey_] = {Fresh.Id_, Fresh.Context_.Idempotent_, {}};
  adopt(Node, std::move(Fresh));
}

void startOutside(NodeState &Node, Request Fresh) {
  if (!Fresh.Metadata_.CallerRequestId_.empty()) {
    Fresh.JoinKey_ = joinKey(Fresh.Http_);
    auto Known = Node.Joinable_.find(Fresh.JoinKey_);
    if (Known != Node.Joinable_.end()) {
      join(Node, Known->second, Fresh.Waiters_.front(),
           Node.Now_ + Fresh.Context_.TimeLeft_);
      return;
    }
  }
  adopt(Node, std::move(Fresh));
}

// Whether the node takes requests at all.
std::optional<ErrorCode> phaseRefusal(const NodeState &Node,
                                      const CallerArrived &Input) {
  if (Node.Phase_ == NodePhase::Starting)
    return ErrorCode::SettingsUnavailable;
  // With a route table the caller's own entry is the only one it has, so it
  // serves until the callers have been told to stay away.
  if (Node.Phase_ != NodePhase::Serving && !Input.FromBackend_ &&
      !hasRouteTable(Node))
    return ErrorCode::Leaving;
  return std::nullopt;
}

// A ticket for the asking, so that a booking needs no refused first try. With
// a route table there are no tickets, and the path is one like others.
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

// The request's service and rules by the first segment of its path.
std::optional<EffectiveRules> rulesByPath(NodeState &Node, Request &Fresh) {
  Fresh.Service_ = serviceOf(Fresh.Http_.Target_);
  Fresh.Route_ = routeKeyOf(Fresh.Http_);
  return Node.Settings_.effective(Fresh.Service_, Fresh.Http_.Method_,
                                  pathOf(Fresh.Http_.Target_),
                                  Fresh.Metadata_.CallerKind_);
}

// The request's service and rules by the route that matches. Of a route's
// services the one whose turn it is takes the request, whether or not it has
// room, so that the shares are those of the weights.
std::optional<EffectiveRules> rulesByRoute(NodeState &Node, Request &Fresh) {
  const RouteTable *Table = Node.Settings_.routes();
  std::string_view Path = pathOf(Fresh.Http_.Target_);
  const Route *Matched = Table == nullptr
                             ? nullptr
                             : findRoute(*Table, Fresh.Metadata_.Host_, Path);
  if (Matched == nullptr)
    return std::nullopt;
  Fresh.Route_ = routeName(*Matched);
  Fresh.Service_ = Node.Splits_[Fresh.Route_].next(Matched->Services_);
  return Node.Settings_.effective(*Matched, Fresh.Service_, Fresh.Http_.Method_,
                                  Path, Fresh.Metadata_.CallerKind_);
}

// A node that stops takes a request only if it can be finished before the kill.
bool isTooLateToStart(const NodeState &Node, const Request &Fresh) {
  if (!hasRouteTable(Node) || Node.Phase_ != NodePhase::Leaving)
    return false;
  TimePoint Kill = Node.LeaveBegan_ + Node.Config_.Settings_.Bounds_.GraceTime_;
  return Node.Now_ + Fresh.Context_.TimeLeft_ + KillMargin > Kill;
}

CallReply refusalWithoutRules(NodeState &Node, const Request &Fresh) {
  bool Known = hasRouteTable(Node) ? Node.Settings_.routes() == nullptr
                                   : isKnownService(Node, Fresh.Service_);
  if (Known)
    return notRun(ErrorCode::SettingsUnavailable, StartingRetryAfter);
  return notRun(ErrorCode::UnknownService);
}

void startByKind(NodeState &Node, Request Fresh, bool FromBackend,
                 const EffectiveRules &Rules) {
  if (FromBackend && !Fresh.Metadata_.Parent_.empty()) {
    Work *Parent = findParent(Node, Fresh.Metadata_.Parent_);
    if (Parent == nullptr || Parent->Context_.Depth_ >= MaxDepth) {
      refuse(Node, Fresh, notRun(ErrorCode::UnknownParent),
             Fresh.Metadata_.Parent_);
      return;
    }
    inherit(Node, Fresh, Rules, *Parent);
    startChild(Node, std::move(Fresh), *Parent);
    return;
  }
  // With a route table each attempt of a caller has an id of its own and comes
  // in once, so there is nothing to join and no ticket is needed.
  if (hasRouteTable(Node)) {
    std::optional<AdmissionRejection> Refusal =
        admitRequest(Node, Fresh, Rules);
    if (Refusal)
      refuse(Node, Fresh, Refusal->Reply_, Refusal->Detail_);
    else
      adopt(Node, std::move(Fresh));
    return;
  }
  if (Fresh.Context_.Idempotent_)
    startOutside(Node, std::move(Fresh));
  else
    startTicketed(Node, std::move(Fresh));
}

} // namespace

void receive(NodeState &Node, const CallerArrived &Input) {
  Request Fresh;
  Node.LastArrival_ = Node.Now_;
  Fresh.Id_ = RequestId{++Node.LastRequest_};
  Fresh.Waiters_ = {Input.Caller_};
  Fresh.Http_ = Input.Request_.Http_;
  Fresh.Metadata_ = Input.Request_.Metadata_;
  Fresh.Arrived_ = Node.Now_;
  std::optional<EffectiveRules> Rules = hasRouteTable(Node)
                                            ? rulesByRoute(Node, Fresh)
                                            : rulesByPath(Node, Fresh);
  log(Node, EventNumber::RequestReceived,
      {{"request", toString(Fresh.Id_)},
       {"id", Fresh.Metadata_.CallerRequestId_},
       {"route", Fresh.Route_},
       {"service", Fresh.Service_},
       {"settings", std::to_string(Rules ? Rules->Version_ : 0)},
       {"from", Input.FromBackend_ ? "backend" : "caller"},
       {"left", Fresh.Metadata_.TimeLeft_
                    ? std::to_string(Fresh.Metadata_.TimeLeft_->count())
                    : "none"}});
  if (std::optional<ErrorCode> Why = phaseRefusal(Node, Input)) {
    refuse(Node, Fresh, notRun(*Why, StartingRetryAfter),
           "node is not serving");
    return;
  }
  if (answerTicketRequest(Node, Input))
    return;
  if (!Rules) {
    refuse(Node, Fresh, refusalWithoutRules(Node, Fresh),
           "no settings for '" + Fresh.Metadata_.Host_ + Fresh.Http_.Target_ +
               "'");
    return;
  }
  if (Fresh.Http_.Body_.size() > Rules->MaxBody_) {
    refuse(Node, Fresh, notRun(ErrorCode::BodyTooLarge),
           "limit is " + std::to_string(Rules->MaxBody_) + " bytes");
    return;
  }
  fillFromRules(Node, Fresh, *Rules);
  if (isTooLateToStart(Node, Fresh)) {
    refuse(Node, Fresh, notRun(ErrorCode::Leaving, StartingRetryAfter),
           "the node stops before the request could be finished");
    return;
  }
  Node.Budgets_[Fresh.Service_].onFirstAttempt(Rules->RetryShare_);
  if (hasRouteTable(Node))
    Node.Repeats_[Fresh.Service_].onFirstAttempt(Node.Now_, repeatBound(Node));
  startByKind(Node, std::move(Fresh), Input.FromBackend_, *Rules);
}

void receiveAsHome(NodeState &Node, StreamKey Stream,
                   const CallMessage &Message) {
  Request Fresh;
  Fresh.Id_ = RequestId{++Node.LastRequest_};
  Fresh.Waiters_ = {Stream};
  Fresh.Http_ = Message.Request_;
  Fresh.Context_ = Message.Context_;
  Fresh.Arrived_ = Node.Now_;
  Fresh.Metadata_.CallerKind_ = Message.Context_.Caller_;
  Fresh.Service_ = serviceOf(Message.Request_.Target_);
  Fresh.Route_ = routeKeyOf(Message.Request_);
  Ticket Value;
  if (!parseTicket(Message.Ticket_, Value)) {
    refuse(Node, Fresh, notRun(ErrorCode::TicketInvalid), "malformed ticket");
    return;
  }
  if (Node.Phase_ == NodePhase::Starting) {
    refuse(Node, Fresh, unknownOutcome(ErrorCode::TicketHomeGone),
           "the home has restarted");
    return;
  }
  startOwnTicket(Node, std::move(Fresh), Value);
}

void cancel(NodeState &Node, RequestId Id) {
  auto Found = Node.Requests_.find(Id);
  if (Found == Node.Requests_.end())
    return;
  if (!Found->second.Context_.Idempotent_) {
    setTimer(Node, ForgetDelay, TimerKind::RequestForget, Id.Value_);
    return;
  }
  log(Node, EventNumber::RequestCancelled, {{"request", toString(Id)}});
  answer_system::finish(Node, Id, unknownOutcome(ErrorCode::Cancelled));
}

namespace {

void dropWaiter(NodeState &Node, RequestId Id, const Waiter &Gone) {
  auto Found = Node.Requests_.find(Id);
  if (Found == Node.Requests_.end())
    return;
  std::erase(Found->second.Waiters_, Gone);
  if (Found->second.Waiters_.empty())
    cancel(Node, Id);
}

} // namespace

void dropCaller(NodeState &Node, CallerKey Caller) {
  auto Found = Node.RequestOfCaller_.find(Caller);
  if (Found == Node.RequestOfCaller_.end())
    return;
  RequestId Id = Found->second;
  Node.RequestOfCaller_.erase(Found);
  dropWaiter(Node, Id, Caller);
}

void dropStream(NodeState &Node, StreamKey Stream) {
  auto Found = Node.RequestOfStream_.find(Stream);
  if (Found == Node.RequestOfStream_.end())
    return;
  RequestId Id = Found->second;
  Node.RequestOfStream_.erase(Found);
  dropWaiter(Node, Id, Stream);
}

void onDeadline(NodeState &Node, RequestId Id) {
  auto Found = Node.Requests_.find(Id);
  if (Found == Node.Requests_.end() || Node.Now_ < Found->second.Deadline_)
    return;
  Request &Target = Found->second;
  if (!Target.Context_.Idempotent_ && !Target.Attempts_.empty()) {
    answer_system::detach(Node, Id,
                          unknownOutcome(ErrorCode::DeadlineExceeded));
    setTimer(Node, ForgetDelay, TimerKind::RequestForget, Id.Value_);
    return;
  }
  bool Proved =
      attempt_system::cancelAttempts(Node, Target) && !Target.MayHaveRun_;
  answer_system::finish(Node, Id,
                        Proved ? notRun(ErrorCode::DeadlineExceeded)
                               : unknownOutcome(ErrorCode::DeadlineExceeded));
}

void onForget(NodeState &Node, RequestId Id) {
  auto Found = Node.Requests_.find(Id);
  if (Found == Node.Requests_.end() || !Found->second.Waiters_.empty())
    return;
  answer_system::finish(Node, Id, unknownOutcome(ErrorCode::OutcomeUnknown));
}

} // namespace fulmarshelf::entry_system
