#include "fulmarshelf/detail/engine/answers.hpp" // notRun, unknownOutcome
#include "fulmarshelf/detail/engine/downstream_shares.hpp" // downstreamShares
#include "fulmarshelf/detail/engine/parent_search.hpp" // removeRunningDeadline
#include "fulmarshelf/detail/engine/systems.hpp"       // owner_system
#include "owner_capacity.hpp"                          // queueDelay
#include "work_slots.hpp"                              // evict, stopRunning

#include <algorithm> // max, min
#include <cmath>     // lround

namespace fulmarshelf::owner_system {

namespace {

// Work is queued for at most half of its slack, which is the time left minus
// the expected service time. The other half covers service times above the
// expected one, so that the answer still arrives before the deadline.
constexpr std::int64_t QueueTimeDivisor = 2;
constexpr std::uint16_t FirstFailureStatus = 500;
constexpr Micros MaxRetryAfter = millis(5000);
constexpr Micros VmSharesInterval = millis(1000);

void notifyWaiters(NodeState &Node, Work &Ended, const CallReply &Reply) {
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

void cancelChildCalls(NodeState &Node, const Work &Ended) {
  for (const std::pair<const std::string, ChildCall> &Call : Ended.Calls_)
    if (Call.second.Request_.Value_ != 0)
      entry_system::cancel(Node, Call.second.Request_);
}

// Adds the admitted shares of a route, the failure share of this owner and the
// queue delay for a rank. The shares are bounded by the capacity of this owner
// and of every route that the route's work calls.
void addAdmissionReport(NodeState &Node, const std::string &Route,
                        Rank WorkRank, LoadReport &Report) {
  if (!hasRouteTable(Node))
    return;
  Report.Shares_ = downstreamShares(Node, Route);
  Report.RouteOrigin_ = Node.Entries_.origin(Node.Now_, Route);
  Report.FailureShare_ = static_cast<std::uint8_t>(
      std::lround(FullShare * Node.Failures_.share(Node.Now_)));
  Report.QueueDelay_ = queueDelay(Node, WorkRank);
}

LoadReport reportFor(NodeState &Node, const Work &Ended) {
  LoadReport Report =
      owner_system::loadReport(Node, Ended.Long_, Ended.ChildLevel_);
  addAdmissionReport(Node, Ended.Route_, Ended.Context_.Rank_, Report);
  return Report;
}

void measureDemand(NodeState &Node, const Work &NewWork) {
  if (!hasRouteTable(Node))
    return;
  Micros SlotTime = Node.WorkTimes_.expected(NewWork.Route_);
  const CallContext &Context = NewWork.Context_;
  Node.Demand_.onArrival({importanceOf(Context.Rank_), SlotTime,
                          Context.DemandWeight_, Context.PlacementWeight_,
                          Context.InRootDomain_});
  if (!Node.Demand_.update(Node.Now_, concurrencyLimit(Node),
                           Node.Queue_.queuedSlotTime(), Node.Rate_.rate()))
    return;
  log(Node, EventNumber::DemandMeasured,
      {{"slots", std::to_string(usableSlots(Node))},
       {"demand", std::to_string(Node.Demand_.demand())},
       {"running", std::to_string(Node.Running_)},
       {"queued", std::to_string(Node.Queue_.size())}});
}

// Counts the VMs at which requests can enter by service.
void updateVmShares(NodeState &Node) {
  if (Node.Now_ < Node.NextVmShares_)
    return;
  Node.NextVmShares_ = Node.Now_ + VmSharesInterval;
  std::map<std::string, double> Shares;
  Shares[Node.Config_.Settings_.Service_] = 1;
  double Total = 1;
  for (const Member &Other : Node.Membership_.available()) {
    Shares[Other.Service_] += 1;
    Total += 1;
  }
  for (std::pair<const std::string, double> &Share : Shares)
    Share.second /= Total;
  Node.Entries_.setVmShares(std::move(Shares));
}

void recordEntry(NodeState &Node, const Work &NewWork) {
  if (!hasRouteTable(Node))
    return;
  updateVmShares(Node);
  Node.Entries_.onArrival(Node.Now_, NewWork.Route_, NewWork.Context_.Caller_);
}

// Removes work from the tables, sends its reply to the sender of the attempt
// and to waiting revocations, and cancels its unanswered calls.
void finish(NodeState &Node, WorkId Id, CallReply Reply) {
  auto Entry = Node.Works_.find(Id);
  Work Ended = std::move(Entry->second);
  Node.Works_.erase(Entry);
  Node.WorkOfAttempt_.erase(Ended.Attempt_);
  Reply.TokensLeft_ = Ended.Context_.Tokens_;
  Reply.Load_ = reportFor(Node, Ended);
  if (Ended.Attempt_.Node_ != localNodeName(Node))
    Node.Ledger_.recordReply(Ended.Attempt_, Reply, !isIdempotent(Ended));
  notifyWaiters(Node, Ended, Reply);
  cancelChildCalls(Node, Ended);
  if (const LocalAttempt *Local = std::get_if<LocalAttempt>(&Ended.Waiter_))
    attempt_system::onReply(Node, Local->Sequence_, Reply);
}

void freeSlot(NodeState &Node, const Work &Ended) {
  --Node.Running_;
  removeRunningDeadline(Node, Ended);
  clearTimer(Node, Ended.StopAt_, TimerKind::WorkDeadline, Ended.Id_.Value_);
  if (Ended.Long_)
    --Node.LongRunning_;
  if (Ended.StartedAs_ == Suspicion::Suspect)
    --Node.RunningSuspects_;
  if (Ended.StartedAs_ == Suspicion::StrongSuspect)
    --Node.RunningStrongSuspects_;
}

Micros retryAfter(const NodeState &Node, Rank WorkRank) {
  Micros QueueDelay =
      Node.Queue_.predictedQueueDelay(WorkRank, queueCapacity(Node));
  return std::min(MaxRetryAfter, QueueDelay * 2);
}

std::optional<ErrorCode> refusalReason(const NodeState &Node) {
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
            const CallContext &Context, ErrorCode Error) {
  log(Node, EventNumber::WorkRefused,
      {{"attempt", toString(Attempt)},
       {"id", Context.CallerRequestId_},
       {"root", Context.Root_},
       {"error", std::string(errorName(Error))}});
  CallReply Reply = notRun(Error);
  Reply.TokensLeft_ = Context.Tokens_;
  Reply.Load_ = loadReport(Node, false, 0);
  addAdmissionReport(Node, Context.Route_, Context.Rank_, Reply.Load_);
  if (const StreamKey *Stream = std::get_if<StreamKey>(&Waiter)) {
    Node.Ledger_.recordReply(Attempt, Reply, true);
    emit(Node, AnswerCall{*Stream, Reply});
  }
  if (const LocalAttempt *Local = std::get_if<LocalAttempt>(&Waiter))
    attempt_system::onReply(Node, Local->Sequence_, Reply);
}

Work makeWork(NodeState &Node, const AttemptId &Attempt, WorkWaiter Waiter,
              const CallContext &Context, const HttpRequest &Http) {
  Work NewWork;
  NewWork.Id_ = WorkId{++Node.LastWork_};
  NewWork.Attempt_ = Attempt;
  NewWork.Waiter_ = Waiter;
  NewWork.Context_ = Context;
  NewWork.Http_ = Http;
  NewWork.Route_ = Context.Route_.empty() ? routeKeyOf(Http) : Context.Route_;
  NewWork.Arrived_ = Node.Now_;
  NewWork.Deadline_ = Node.Now_ + Context.TimeLeft_;
  NewWork.Long_ = Node.WorkTimes_.isLong(NewWork.Route_);
  return NewWork;
}

QueuedWork makeQueuedWork(const NodeState &Node, const Work &NewWork) {
  QueuedWork Queued;
  Queued.Work_ = NewWork.Id_;
  Queued.Rank_ = NewWork.Context_.Rank_;
  Queued.ExpectedSlotTime_ = Node.WorkTimes_.expected(NewWork.Route_);
  Queued.Long_ = NewWork.Long_;
  Micros Slack = NewWork.Deadline_ - Node.Now_ - Queued.ExpectedSlotTime_;
  Queued.StartBy_ = Node.Now_ + Slack / QueueTimeDivisor;
  if (hasFullPolicy(Node))
    return Queued;
  // The baseline policy is a plain first-in, first-out queue that sheds
  // nothing.
  Queued.Rank_ = 0;
  Queued.Long_ = false;
  Queued.StartBy_ = Node.Now_ + std::chrono::hours(1);
  return Queued;
}

// While this owner or the entries shed work of some importance, less important
// work is refused even if a slot is free.
bool isBelowShedImportance(const NodeState &Node, const Work &NewWork) {
  return hasFullPolicy(Node) && !hasRouteTable(Node) &&
         importanceOf(NewWork.Context_.Rank_) <
             importanceOf(admissionLevel(Node, NewWork.Long_));
}

// A request of a server that leaves is no evidence of a crash, since such a
// server may close its connections.
void recordLoss(NodeState &Node, const Work &Lost) {
  const Backend &Local = Node.Backend_;
  bool IsLeaving = Local.Announcement_.State_ == BackendState::Draining;
  if (IsLeaving || Lost.Dispatched_ < Local.IncarnationSince_)
    return;
  backend_system::onRequestLost(Node, digestOf(Lost.Http_));
}

void recordShortWork(NodeState &Node, const Work &NewWork) {
  std::size_t Importance = std::min<std::size_t>(
      ImportanceCount - 1, importanceOf(NewWork.Context_.Rank_));
  if (!NewWork.Long_)
    Node.LastShortWorkAt_[Importance] = Node.Now_;
}

} // namespace

bool isIdempotent(const Work &Current) { return Current.Context_.Idempotent_; }

AdmissionLevel &levelOf(NodeState &Node, bool Long) {
  return Long ? Node.LongLevel_ : Node.ShortLevel_;
}

void evict(NodeState &Node, const QueuedWork &Queued, ErrorCode Error) {
  auto Entry = Node.Works_.find(Queued.Work_);
  if (Entry == Node.Works_.end())
    return;
  if (Error == ErrorCode::Shed)
    levelOf(Node, Queued.Long_).onEviction();
  log(Node, EventNumber::WorkEvicted,
      {{"work", toString(Queued.Work_)},
       {"id", Entry->second.Context_.CallerRequestId_},
       {"root", Entry->second.Context_.Root_},
       {"rank", std::to_string(Queued.Rank_)},
       {"error", std::string(errorName(Error))},
       {"queued", std::to_string(Node.Queue_.size())},
       {"limit", std::to_string(Node.Limit_.limit())}});
  finish(Node, Queued.Work_, notRun(Error, retryAfter(Node, Queued.Rank_)));
}

void stopRunning(NodeState &Node, WorkId Id, ErrorCode Error) {
  Work &Stopped = Node.Works_.at(Id);
  log(Node, EventNumber::WorkCancelled,
      {{"work", toString(Id)}, {"error", std::string(errorName(Error))}});
  freeSlot(Node, Stopped);
  emit(Node, CancelWork{Id});
  finish(Node, Id, unknownOutcome(Error));
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
  Report.Limit_ = usableSlots(Node);
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
  if (std::optional<ErrorCode> Error = refusalReason(Node)) {
    refuse(Node, Attempt, Waiter, Context, *Error);
    return;
  }
  Work NewWork = makeWork(Node, Attempt, Waiter, Context, Http);
  QueuedWork Queued = makeQueuedWork(Node, NewWork);
  if (quarantine_system::suspicionOf(Node, NewWork) == Suspicion::SetAside) {
    refuse(Node, Attempt, Waiter, Context, ErrorCode::SetAside);
    return;
  }
  recordShortWork(Node, NewWork);
  measureDemand(Node, NewWork);
  recordEntry(Node, NewWork);
  levelOf(Node, NewWork.Long_).onArrival(Queued.Rank_);
  if (isBelowShedImportance(Node, NewWork)) {
    refuse(Node, Attempt, Waiter, Context, ErrorCode::Shed);
    return;
  }
  log(Node, EventNumber::WorkQueued,
      {{"work", toString(NewWork.Id_)},
       {"id", Context.CallerRequestId_},
       {"attempt", toString(Attempt)},
       {"root", Context.Root_},
       {"rank", std::to_string(Queued.Rank_)},
       {"expected", std::to_string(Queued.ExpectedSlotTime_.count())},
       {"budget", std::to_string(Context.TimeLeft_.count())},
       {"queued", std::to_string(Node.Queue_.size())}});
  Node.WorkOfAttempt_[Attempt] = NewWork.Id_;
  if (const StreamKey *Stream = std::get_if<StreamKey>(&Waiter))
    Node.WorkOfStream_[*Stream] = NewWork.Id_;
  Node.Works_.emplace(NewWork.Id_, std::move(NewWork));
  Node.Queue_.push(Queued);
  runQueue(Node);
}

void onAnswer(NodeState &Node, const BackendAnswered &Input) {
  WorkId Id = Input.Work_;
  const HttpResponse &Response = Input.Response_;
  auto Entry = Node.Works_.find(Id);
  if (Entry == Node.Works_.end())
    return;
  Work &Answered = Entry->second;
  Micros ServiceTime = Node.Now_ - Answered.Dispatched_;
  bool NotExecuted = Input.Metadata_.NotExecuted_;
  Node.Backend_.LastHeardAt_ = Node.Now_;
  if (Input.Metadata_.OtherInstance_)
    backend_system::onOtherInstance(Node, Answered.Dispatched_);
  else
    backend_system::onAnswer(Node, Answered.Dispatched_, Input.Metadata_);
  unsigned InFlight = Node.Running_;
  freeSlot(Node, Answered);
  if (!NotExecuted)
    quarantine_system::onServed(Node, Answered);
  if (NotExecuted) {
    Node.Limit_.onOverload(Node.Now_, InFlight);
    levelOf(Node, Answered.Long_).onEviction();
  } else {
    if (Response.Status_ < FirstFailureStatus)
      Node.WorkTimes_.observe(Answered.Route_, ServiceTime);
    Node.Limit_.onAnswer(Node.Now_, ServiceTime,
                         Node.WorkTimes_.noLoadTime(Answered.Route_), InFlight);
  }
  bool LocalFailure = Response.Status_ >= FirstFailureStatus &&
                      !Node.Graph_.makesCalls(Answered.Route_);
  if (!Input.Metadata_.OtherInstance_)
    Node.Failures_.onCallEnded(Node.Now_, NotExecuted || LocalFailure);
  emit(Node, RecordTime{Measure::ServiceTime, ServiceTime});
  log(Node, EventNumber::WorkFinished,
      {{"work", toString(Id)},
       {"status", std::to_string(Response.Status_)},
       {"id", Answered.Context_.CallerRequestId_},
       {"shed", NotExecuted ? "yes" : "no"},
       {"took", std::to_string(ServiceTime.count())},
       {"limit", std::to_string(Node.Limit_.limit())}});
  CallReply Reply;
  Reply.Outcome_ = Outcome::Complete;
  Reply.Response_ = Response;
  if (Response.Status_ < FirstFailureStatus)
    Reply.ServiceTime_ = ServiceTime;
  if (Input.Metadata_.OtherInstance_)
    Reply = notRun(ErrorCode::BackendReplaced);
  else if (NotExecuted)
    Reply = notRun(hasRouteTable(Node) ? ErrorCode::BackendRefused
                                       : ErrorCode::Shed,
                   retryAfter(Node, Answered.Context_.Rank_));
  finish(Node, Id, Reply);
  runQueue(Node);
}

void onFailure(NodeState &Node, WorkId Id, CallFailure Reason) {
  auto Entry = Node.Works_.find(Id);
  if (Entry == Node.Works_.end())
    return;
  freeSlot(Node, Entry->second);
  Node.Limit_.onOverload(Node.Now_, Node.Running_ + 1);
  Node.Failures_.onCallEnded(Node.Now_, true);
  bool NeverSent =
      Reason == CallFailure::Refused || Reason == CallFailure::NotSent;
  if (NeverSent)
    backend_system::onConnectFailed(Node, Reason == CallFailure::Refused);
  if (Reason == CallFailure::ConnectionLost)
    recordLoss(Node, Entry->second);
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
  auto Entry = Node.Works_.find(Id);
  if (Entry == Node.Works_.end() || Entry->second.State_ != WorkState::Running)
    return;
  stopRunning(Node, Id, ErrorCode::DeadlineExceeded);
  runQueue(Node);
}

bool cancel(NodeState &Node, WorkId Id) {
  auto Entry = Node.Works_.find(Id);
  if (Entry == Node.Works_.end())
    return false;
  Work &Unfinished = Entry->second;
  if (Unfinished.State_ == WorkState::Queued) {
    Node.Queue_.remove(Id);
    log(Node, EventNumber::WorkCancelled,
        {{"work", toString(Id)}, {"error", "cancelled"}});
    finish(Node, Id, notRun(ErrorCode::Cancelled));
    return true;
  }
  if (isIdempotent(Unfinished)) {
    stopRunning(Node, Id, ErrorCode::Cancelled);
    runQueue(Node);
  } else {
    // Non-idempotent work runs to its end without a waiter. Only the ledger
    // keeps its reply.
    if (const StreamKey *Stream = std::get_if<StreamKey>(&Unfinished.Waiter_))
      Node.WorkOfStream_.erase(*Stream);
    Unfinished.Waiter_ = std::monostate();
  }
  return false;
}

void dropStream(NodeState &Node, StreamKey Stream) {
  auto Entry = Node.WorkOfStream_.find(Stream);
  if (Entry == Node.WorkOfStream_.end())
    return;
  WorkId Id = Entry->second;
  Node.WorkOfStream_.erase(Entry);
  Work &Dropped = Node.Works_.at(Id);
  Dropped.Waiter_ = std::monostate();
  cancel(Node, Id);
}

void revoke(NodeState &Node, const RevokeArrived &Input) {
  const RevokeMessage &Message = Input.Message_;
  RevokeReply Answer{RevokeResult::Unknown, {}};
  if (Message.ToIncarnation_ == Node.Config_.Incarnation_) {
    auto Entry = Node.WorkOfAttempt_.find(Message.Attempt_);
    if (Entry != Node.WorkOfAttempt_.end()) {
      WorkId Id = Entry->second;
      Node.Ledger_.fence(Message.Attempt_, Message.Link_);
      Node.Works_.at(Id).RevokeWaiters_.push_back(Input.Stream_);
      log(Node, EventNumber::RevokeServed,
          {{"attempt", toString(Message.Attempt_)}, {"work", toString(Id)}});
      // finish() answers the revocation: at once for queued work, which is
      // cancelled here, and at the end of the work when it is running.
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
