#include "fulmarshelf/detail/engine/answers.hpp"           // notRun
#include "fulmarshelf/detail/engine/downstream_shares.hpp" // downstreamShares
#include "fulmarshelf/detail/engine/parent_search.hpp" // removeRunningDeadline
#include "fulmarshelf/detail/engine/systems.hpp"       // owner_system
#include "work_slots.hpp"                              // evict, stopRunning

#include <algorithm> // max, min
#include <cmath>     // lround

namespace fulmarshelf::owner_system {

namespace {

// Work waits for at most half of the time that it does not need for running,
// so that the answer still finds its caller when running takes longer.
constexpr std::int64_t WaitShare = 2;
constexpr std::uint16_t FirstFailureStatus = 500;
constexpr Micros SuspectTime = millis(200);
constexpr Micros MaxRetryAfter = millis(5000);

void tellWaiters(NodeState &Node, Work &Ended, const CallReply &Reply) {
  for (const StreamKey &Stream : Ended.RevokeWaiters_) {
    bool Started = Reply.Outcome_ != Outcome::NotRun;
    emit(Node, AnswerRevoke{
                   Stream,
                   {Started ? RevokeResult::Finished : RevokeResult::NotStarted,
                    Reply}});
  }
  if (const StreamKey *Stream = std::get_if<StreamKey>(&Ended.Waiter_)) {
    Node.WorkOfStream_.erase(*Stream);
    emit(Node, AnswerCall{*Stream, Reply});
  }
}

void endCalls(NodeState &Node, const Work &Ended) {
  for (const std::pair<const std::string, ChildCall> &Call : Ended.Calls_)
    if (Call.second.Request_.Value_ != 0)
      entry_system::cancel(Node, Call.second.Request_);
}

// What may enter behind a route: what fits here, and behind every route that
// its work calls.
void addAdmission(NodeState &Node, const std::string &Route, Rank Value,
                  LoadReport &Report) {
  if (!hasRouteTable(Node))
    return;
  Report.Shares_ = downstreamShares(Node, Route);
  Report.FailureShare_ = static_cast<std::uint8_t>(
      std::lround(FullShare * Node.Failures_.share(Node.Now_)));
  Report.QueueDelay_ =
      Node.Running_ < Node.Limit_.limit()
          ? Micros(0)
          : Node.Queue_.predictedWait(Value, std::max(1U, Node.Limit_.limit()));
}

LoadReport reportFor(NodeState &Node, const Work &Ended) {
  LoadReport Report =
      owner_system::loadReport(Node, Ended.Long_, Ended.ChildLevel_);
  addAdmission(Node, Ended.Route_, Ended.Context_.Rank_, Report);
  return Report;
}

void measureDemand(NodeState &Node, const Work &Fresh) {
  if (!hasRouteTable(Node))
    return;
  Micros Holding = Node.WorkTimes_.expected(Fresh.Route_);
  const CallContext &Context = Fresh.Context_;
  Node.Demand_.onArrival({importanceOf(Context.Rank_), Holding,
                          Context.DemandWeight_, Context.PlacementWeight_,
                          Context.InRootDomain_});
  if (!Node.Demand_.update(Node.Now_, Node.Limit_.limit(),
                           Node.Queue_.predictedWait(0, 1)))
    return;
  log(Node, EventNumber::DemandMeasured,
      {{"slots", std::to_string(Node.Limit_.limit())},
       {"demand", std::to_string(Node.Demand_.demand())},
       {"running", std::to_string(Node.Running_)},
       {"queued", std::to_string(Node.Queue_.size())}});
}

// Takes work out of the tables and answers for it.
void finish(NodeState &Node, WorkId Id, CallReply Reply) {
  auto Found = Node.Works_.find(Id);
  Work Ended = std::move(Found->second);
  Node.Works_.erase(Found);
  Node.WorkOfAttempt_.erase(Ended.Attempt_);
  Reply.TokensLeft_ = Ended.Context_.Tokens_;
  Reply.Load_ = reportFor(Node, Ended);
  if (Ended.Attempt_.Node_ != ownName(Node))
    Node.Ledger_.recordReply(Ended.Attempt_, Reply, !isIdempotent(Ended));
  tellWaiters(Node, Ended, Reply);
  endCalls(Node, Ended);
  if (const LocalAttempt *Local = std::get_if<LocalAttempt>(&Ended.Waiter_))
    attempt_system::onReply(Node, Local->Sequence_, Reply);
}

void freeSlot(NodeState &Node, const Work &Target) {
  --Node.Running_;
  removeRunningDeadline(Node, Target);
  clearTimer(Node, Target.StopAt_, TimerKind::WorkDeadline, Target.Id_.Value_);
  if (Target.Long_)
    --Node.LongRunning_;
}

Micros retryAfter(const NodeState &Node, Rank Value) {
  Micros Wait =
      Node.Queue_.predictedWait(Value, std::max(1U, Node.Limit_.limit()));
  return std::min(MaxRetryAfter, Wait * 2);
}

std::optional<ErrorCode> refusalNow(const NodeState &Node) {
  if (Node.Phase_ == NodePhase::Leaving)
    return ErrorCode::Leaving;
  if (!Node.Backend_.Announced_)
    return ErrorCode::NoLiveOwner;
  if (Node.Backend_.Announcement_.State_ == BackendState::Draining)
    return ErrorCode::Leaving;
  if (Node.Backend_.ReplacedUnannounced_ ||
      Node.Now_ < Node.Backend_.SuspectUntil_)
    return ErrorCode::BackendFailed;
  return std::nullopt;
}

void refuse(NodeState &Node, const AttemptId &Attempt, const WorkWaiter &Waiter,
            const CallContext &Context, ErrorCode Why) {
  log(Node, EventNumber::WorkRefused,
      {{"attempt", toString(Attempt)},
       {"id", Context.CallerRequestId_},
       {"root", Context.Root_},
       {"error", std::string(errorName(Why))}});
  CallReply Reply = notRun(Why);
  Reply.TokensLeft_ = Context.Tokens_;
  Reply.Load_ = loadReport(Node, false, 0);
  addAdmission(Node, Context.Route_, Context.Rank_, Reply.Load_);
  if (const StreamKey *Stream = std::get_if<StreamKey>(&Waiter)) {
    Node.Ledger_.recordReply(Attempt, Reply, true);
    emit(Node, AnswerCall{*Stream, Reply});
  }
  if (const LocalAttempt *Local = std::get_if<LocalAttempt>(&Waiter))
    attempt_system::onReply(Node, Local->Sequence_, Reply);
}

Work makeWork(NodeState &Node, const AttemptId &Attempt, WorkWaiter Waiter,
              const CallContext &Context, const HttpRequest &Http) {
  Work Fresh;
  Fresh.Id_ = WorkId{++Node.LastWork_};
  Fresh.Attempt_ = Attempt;
  Fresh.Waiter_ = Waiter;
  Fresh.Context_ = Context;
  Fresh.Http_ = Http;
  Fresh.Route_ = Context.Route_.empty() ? routeKeyOf(Http) : Context.Route_;
  Fresh.Arrived_ = Node.Now_;
  Fresh.Deadline_ = Node.Now_ + Context.TimeLeft_;
  Fresh.Long_ = Node.WorkTimes_.isLong(Fresh.Route_);
  return Fresh;
}

QueuedWork makeQueued(const NodeState &Node, const Work &Fresh) {
  QueuedWork Item;
  Item.Work_ = Fresh.Id_;
  Item.Rank_ = Fresh.Context_.Rank_;
  Item.Expected_ = Node.WorkTimes_.expected(Fresh.Route_);
  Item.Long_ = Fresh.Long_;
  Micros Spare = Fresh.Deadline_ - Node.Now_ - Item.Expected_;
  Item.StartBy_ = Node.Now_ + Spare / WaitShare;
  if (hasFullPolicy(Node))
    return Item;
  // The baseline is a plain queue: first in, first out, and nothing is shed.
  Item.Rank_ = 0;
  Item.Long_ = false;
  Item.StartBy_ = Node.Now_ + std::chrono::hours(1);
  return Item;
}

// While work of some importance is shed, here or at the entries, a slot that
// happens to be free is not for lesser work.
bool isBelowShedImportance(const NodeState &Node, const Work &Fresh) {
  return hasFullPolicy(Node) && !hasRouteTable(Node) &&
         importanceOf(Fresh.Context_.Rank_) <
             importanceOf(admissionLevel(Node, Fresh.Long_));
}

void noteShortWork(NodeState &Node, const Work &Fresh) {
  std::size_t Importance =
      std::min<std::size_t>(9, importanceOf(Fresh.Context_.Rank_));
  if (!Fresh.Long_)
    Node.ShortSeen_[Importance] = Node.Now_;
}

} // namespace

bool isIdempotent(const Work &Target) { return Target.Context_.Idempotent_; }

AdmissionLevel &levelOf(NodeState &Node, bool Long) {
  return Long ? Node.LongLevel_ : Node.ShortLevel_;
}

void evict(NodeState &Node, const QueuedWork &Item, ErrorCode Why) {
  auto Found = Node.Works_.find(Item.Work_);
  if (Found == Node.Works_.end())
    return;
  if (Why == ErrorCode::Shed)
    levelOf(Node, Item.Long_).onEviction();
  log(Node, EventNumber::WorkEvicted,
      {{"work", toString(Item.Work_)},
       {"id", Found->second.Context_.CallerRequestId_},
       {"root", Found->second.Context_.Root_},
       {"rank", std::to_string(Item.Rank_)},
       {"error", std::string(errorName(Why))},
       {"queued", std::to_string(Node.Queue_.size())},
       {"limit", std::to_string(Node.Limit_.limit())}});
  finish(Node, Item.Work_, notRun(Why, retryAfter(Node, Item.Rank_)));
}

void stopRunning(NodeState &Node, WorkId Id, ErrorCode Why) {
  Work &Target = Node.Works_.at(Id);
  log(Node, EventNumber::WorkCancelled,
      {{"work", toString(Id)}, {"error", std::string(errorName(Why))}});
  freeSlot(Node, Target);
  emit(Node, CancelWork{Id});
  finish(Node, Id, unknownOutcome(Why));
}

Rank admissionLevel(const NodeState &Node, bool Long) {
  return Long ? Node.LongLevel_.level() : Node.ShortLevel_.level();
}

LoadReport loadReport(const NodeState &Node, bool Long, Rank ChildLevel) {
  LoadReport Report;
  if (hasFullPolicy(Node) && !hasRouteTable(Node))
    Report.Level_ = std::max(admissionLevel(Node, Long), ChildLevel);
  Report.InFlight_ = Node.Running_;
  Report.Queued_ = static_cast<std::uint32_t>(Node.Queue_.size());
  Report.Limit_ = Node.Limit_.limit();
  Report.Leaving_ =
      Node.Phase_ == NodePhase::Leaving ||
      Node.Backend_.Announcement_.State_ == BackendState::Draining;
  return Report;
}

void receive(NodeState &Node, const CallArrived &Input) {
  const CallMessage &Message = Input.Message_;
  if (Message.ToIncarnation_ != Node.Config_.Incarnation_) {
    refuse(Node, Message.Attempt_, Input.Stream_, Message.Context_,
           ErrorCode::WrongIncarnation);
    return;
  }
  if (!Node.Ledger_.recordArrival(Message.Attempt_, Message.Link_)) {
    refuse(Node, Message.Attempt_, Input.Stream_, Message.Context_,
           ErrorCode::Fenced);
    return;
  }
  if (!Message.Ticket_.empty()) {
    entry_system::receiveAsHome(Node, Input.Stream_, Message);
    return;
  }
  admit(Node, Message.Attempt_, Input.Stream_, Message.Context_,
        Message.Request_);
}

void admit(NodeState &Node, const AttemptId &Attempt, WorkWaiter Waiter,
           const CallContext &Context, const HttpRequest &Http) {
  if (std::optional<ErrorCode> Why = refusalNow(Node)) {
    refuse(Node, Attempt, Waiter, Context, *Why);
    return;
  }
  Work Fresh = makeWork(Node, Attempt, Waiter, Context, Http);
  QueuedWork Item = makeQueued(Node, Fresh);
  noteShortWork(Node, Fresh);
  measureDemand(Node, Fresh);
  levelOf(Node, Fresh.Long_).onArrival(Item.Rank_);
  if (isBelowShedImportance(Node, Fresh)) {
    refuse(Node, Attempt, Waiter, Context, ErrorCode::Shed);
    return;
  }
  log(Node, EventNumber::WorkQueued,
      {{"work", toString(Fresh.Id_)},
       {"id", Context.CallerRequestId_},
       {"attempt", toString(Attempt)},
       {"root", Context.Root_},
       {"rank", std::to_string(Item.Rank_)},
       {"expected", std::to_string(Item.Expected_.count())},
       {"budget", std::to_string(Context.TimeLeft_.count())},
       {"queued", std::to_string(Node.Queue_.size())}});
  Node.WorkOfAttempt_[Attempt] = Fresh.Id_;
  if (const StreamKey *Stream = std::get_if<StreamKey>(&Waiter))
    Node.WorkOfStream_[*Stream] = Fresh.Id_;
  Node.Works_.emplace(Fresh.Id_, std::move(Fresh));
  Node.Queue_.push(Item);
  runQueue(Node);
}

void onAnswer(NodeState &Node, const BackendAnswered &Input) {
  WorkId Id = Input.Work_;
  const HttpResponse &Response = Input.Response_;
  auto Found = Node.Works_.find(Id);
  if (Found == Node.Works_.end())
    return;
  Work &Target = Found->second;
  Micros Took = Node.Now_ - Target.Dispatched_;
  bool Shed = Input.Metadata_.NotExecuted_;
  Node.Backend_.LastHeardAt_ = Node.Now_;
  if (Input.Metadata_.OtherInstance_)
    backend_system::onOtherInstance(Node);
  unsigned InFlight = Node.Running_;
  freeSlot(Node, Target);
  if (Shed) {
    Node.Limit_.onOverload(Node.Now_, InFlight);
    levelOf(Node, Target.Long_).onEviction();
  } else {
    if (Response.Status_ < FirstFailureStatus)
      Node.WorkTimes_.observe(Target.Route_, Took);
    Node.Limit_.onAnswer(Node.Now_, Took,
                         Node.WorkTimes_.noLoadTime(Target.Route_), InFlight);
  }
  bool OwnFailure = Response.Status_ >= FirstFailureStatus &&
                    !Node.Graph_.makesCalls(Target.Route_);
  if (!Input.Metadata_.OtherInstance_)
    Node.Failures_.onEnded(Node.Now_, Shed || OwnFailure);
  emit(Node, RecordTime{Measure::ServiceTime, Took});
  log(Node, EventNumber::WorkFinished,
      {{"work", toString(Id)},
       {"status", std::to_string(Response.Status_)},
       {"id", Target.Context_.CallerRequestId_},
       {"shed", Shed ? "yes" : "no"},
       {"took", std::to_string(Took.count())},
       {"limit", std::to_string(Node.Limit_.limit())}});
  CallReply Reply;
  Reply.Outcome_ = Outcome::Complete;
  Reply.Response_ = Response;
  if (Response.Status_ < FirstFailureStatus)
    Reply.ServiceTime_ = Took;
  if (Input.Metadata_.OtherInstance_)
    Reply = notRun(ErrorCode::BackendReplaced);
  else if (Shed)
    Reply = notRun(hasRouteTable(Node) ? ErrorCode::BackendRefused
                                       : ErrorCode::Shed,
                   retryAfter(Node, Target.Context_.Rank_));
  finish(Node, Id, Reply);
  runQueue(Node);
}

void onFailure(NodeState &Node, WorkId Id, bool NeverSent) {
  auto Found = Node.Works_.find(Id);
  if (Found == Node.Works_.end())
    return;
  freeSlot(Node, Found->second);
  Node.Limit_.onOverload(Node.Now_, Node.Running_ + 1);
  Node.Failures_.onEnded(Node.Now_, true);
  if (NeverSent)
    Node.Backend_.SuspectUntil_ = Node.Now_ + SuspectTime;
  log(Node, EventNumber::WorkFinished,
      {{"work", toString(Id)},
       {"status", "none"},
       {"sent", NeverSent ? "no" : "yes"}});
  finish(Node, Id,
         NeverSent ? notRun(ErrorCode::BackendFailed)
                   : unknownOutcome(ErrorCode::BackendFailed));
  runQueue(Node);
}

void onDeadline(NodeState &Node, WorkId Id) {
  auto Found = Node.Works_.find(Id);
  if (Found == Node.Works_.end() || Found->second.State_ != WorkState::Running)
    return;
  stopRunning(Node, Id, ErrorCode::DeadlineExceeded);
  runQueue(Node);
}

bool cancel(NodeState &Node, WorkId Id) {
  auto Found = Node.Works_.find(Id);
  if (Found == Node.Works_.end())
    return false;
  Work &Target = Found->second;
  if (Target.State_ == WorkState::Queued) {
    Node.Queue_.remove(Id);
    log(Node, EventNumber::WorkCancelled,
        {{"work", toString(Id)}, {"error", "cancelled"}});
    finish(Node, Id, notRun(ErrorCode::Cancelled));
    return true;
  }
  if (isIdempotent(Target)) {
    stopRunning(Node, Id, ErrorCode::Cancelled);
    runQueue(Node);
  } else {
    // It goes on; its reply finds nobody but the ledger.
    if (const StreamKey *Stream = std::get_if<StreamKey>(&Target.Waiter_))
      Node.WorkOfStream_.erase(*Stream);
    Target.Waiter_ = std::monostate();
  }
  return false;
}

void dropStream(NodeState &Node, StreamKey Stream) {
  auto Found = Node.WorkOfStream_.find(Stream);
  if (Found == Node.WorkOfStream_.end())
    return;
  WorkId Id = Found->second;
  Node.WorkOfStream_.erase(Found);
  Work &Target = Node.Works_.at(Id);
  Target.Waiter_ = std::monostate();
  cancel(Node, Id);
}

void revoke(NodeState &Node, const RevokeArrived &Input) {
  const RevokeMessage &Message = Input.Message_;
  RevokeReply Answer{RevokeResult::Unknown, {}};
  if (Message.ToIncarnation_ == Node.Config_.Incarnation_) {
    auto Found = Node.WorkOfAttempt_.find(Message.Attempt_);
    if (Found != Node.WorkOfAttempt_.end()) {
      WorkId Id = Found->second;
      Node.Ledger_.fence(Message.Attempt_, Message.Link_);
      Node.Works_.at(Id).RevokeWaiters_.push_back(Input.Stream_);
      log(Node, EventNumber::RevokeServed,
          {{"attempt", toString(Message.Attempt_)}, {"work", toString(Id)}});
      if (Node.Works_.at(Id).State_ == WorkState::Queued)
        cancel(Node, Id);
      return;
    }
    Answer = Node.Ledger_.resolve(Message.Attempt_, Message.Link_);
  }
  log(Node, EventNumber::RevokeServed,
      {{"attempt", toString(Message.Attempt_)},
       {"result", std::to_string(static_cast<unsigned>(Answer.Result_))}});
  emit(Node, AnswerRevoke{Input.Stream_, Answer});
}

} // namespace fulmarshelf::owner_system
