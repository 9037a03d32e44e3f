#include "fulmarshelf/detail/engine/answers.hpp"       // toResponse
#include "fulmarshelf/detail/engine/parent_search.hpp" // onCallEnded
#include "fulmarshelf/detail/engine/systems.hpp"       // answer_system

#include <algorithm> // max, min

namespace fulmarshelf::answer_system {

namespace {

constexpr std::uint16_t FirstFailureStatus = 500;

// Failures are logged as a separate event, which is omitted less often under
// log rate limiting.
EventNumber answerEvent(const CallReply &Reply) {
  bool Complete = Reply.Outcome_ == Outcome::Complete;
  bool Failed = Complete ? Reply.Response_.Status_ >= FirstFailureStatus
                         : Reply.Error_ != ErrorCode::Cancelled;
  return Failed ? EventNumber::RequestFailed : EventNumber::RequestAnswered;
}

constexpr Rank CommittedBit = 1U << RankHashBits;

// Translates the level of a called service into a level for the calling route.
// The calls of an uncommitted request are committed, so the committed bit is
// cleared. A level without this bit admits all calls of its importance.
Rank levelForCaller(Rank ChildLevel, Rank CallerRank) {
  if ((CallerRank & CommittedBit) != 0)
    return ChildLevel;
  if ((ChildLevel & CommittedBit) == 0)
    return makeRank(importanceOf(ChildLevel), false, 0);
  return ChildLevel & ~CommittedBit;
}

// Lowest level among the known owners of a route, since any of them may take
// the next call.
Rank lowestLevel(NodeState &Node, const Request &Answered) {
  const ServiceOwners &Owners =
      Node.Owners_.owners(Node.Membership_, Answered.Service_);
  Rank Lowest = UINT32_MAX;
  for (const Member &Owner : Owners.Preferred_)
    Lowest = std::min(Lowest, Node.Peers_[Owner.Node_].Owner_.level(
                                  Node.Now_, Answered.Route_));
  if (backend_system::isServing(Node) &&
      Node.Backend_.Announcement_.Service_ == Answered.Service_)
    Lowest =
        std::min(Lowest, owner_system::admissionLevel(
                             Node, Node.WorkTimes_.isLong(Answered.Route_)));
  return Lowest == UINT32_MAX ? 0 : Lowest;
}

// Returns the remaining tokens of a call to the work that made it and records
// the call's level and reply there.
void returnToParent(NodeState &Node, const Request &Answered,
                    const CallReply &Reply) {
  auto Entry = Node.Works_.find(Answered.Parent_);
  if (Entry == Node.Works_.end())
    return;
  Work &Parent = Entry->second;
  Parent.Context_.Tokens_ += Answered.Context_.Tokens_;
  Parent.ChildLevel_ =
      std::max(Parent.ChildLevel_, levelForCaller(lowestLevel(Node, Answered),
                                                  Parent.Context_.Rank_));
  ChildCall &Call = Parent.Calls_[Answered.ChildKey_];
  Call.Request_ = RequestId{0};
  Call.Idempotent_ = Answered.Context_.Idempotent_;
  if (!Call.Idempotent_)
    Call.Reply_ = Reply;
}

void removeWaiter(NodeState &Node, const Waiter &To) {
  if (const CallerKey *Caller = std::get_if<CallerKey>(&To))
    Node.RequestOfCaller_.erase(*Caller);
  if (const StreamKey *Stream = std::get_if<StreamKey>(&To))
    Node.RequestOfStream_.erase(*Stream);
}

void answerAll(NodeState &Node, Request &Answered, const CallReply &Reply) {
  for (const Waiter &To : Answered.Waiters_) {
    removeWaiter(Node, To);
    answer(Node, To, Reply, {}, Answered.Metadata_.CallerRequestId_);
  }
  Answered.Waiters_.clear();
}

void countAnswer(NodeState &Node, const Request &Answered,
                 const CallReply &Reply) {
  ImportanceCounts &Counts =
      Node.Counts_[std::min(9U, importanceOf(Answered.Context_.Rank_))];
  bool Shed = Reply.Outcome_ == Outcome::NotRun;
  ++(Shed ? Counts.Shed_ : Counts.Admitted_);
  emit(Node, RecordTime{Measure::AnswerTime, Node.Now_ - Answered.Arrived_});
}

} // namespace

void answer(NodeState &Node, const Waiter &To, const CallReply &Reply,
            const std::string &OfferedTicket,
            const std::string &CallerRequestId) {
  if (const CallerKey *Caller = std::get_if<CallerKey>(&To)) {
    emit(Node, AnswerCaller{*Caller, Reply, OfferedTicket, CallerRequestId});
    return;
  }
  CallReply CallAnswer = Reply;
  CallAnswer.Load_ = owner_system::loadReport(Node, false, 0);
  emit(Node, AnswerCall{std::get<StreamKey>(To), CallAnswer});
}

void finish(NodeState &Node, RequestId Id, CallReply Reply) {
  auto Entry = Node.Requests_.find(Id);
  if (Entry == Node.Requests_.end())
    return;
  Request &Answered = Entry->second;
  attempt_system::cancelAttempts(Node, Answered);
  Reply.TokensLeft_ = Answered.Context_.Tokens_;
  log(Node, answerEvent(Reply),
      {{"request", std::to_string(Id.Value_)},
       {"id", Answered.Metadata_.CallerRequestId_},
       {"route", Answered.Route_},
       {"status", Reply.Outcome_ == Outcome::Complete
                      ? std::to_string(Reply.Response_.Status_)
                      : std::string("own")},
       {"root", Answered.Context_.Root_},
       {"outcome", std::string(outcomeName(Reply.Outcome_))},
       {"error", Reply.Outcome_ == Outcome::Complete
                     ? std::string("none")
                     : std::string(errorName(Reply.Error_))},
       {"tries", std::to_string(Answered.AttemptCount_)},
       {"tokens", std::to_string(Reply.TokensLeft_)},
       {"micros", std::to_string((Node.Now_ - Answered.Arrived_).count())}});
  countAnswer(Node, Answered, Reply);
  if (Reply.Outcome_ == Outcome::NotRun)
    quota_system::refund(Node, Answered);
  answerAll(Node, Answered, Reply);
  if (Answered.Ticket_ != 0)
    Node.Tickets_.finish(Answered.Ticket_, Reply);
  if (Answered.Parent_.Value_ != 0)
    returnToParent(Node, Answered, Reply);
  if (Answered.MatchedParent_.Value_ != 0)
    onCallEnded(Node, Answered);
  if (!Answered.JoinKey_.empty())
    Node.Joinable_.erase(Answered.JoinKey_);
  clearTimer(Node, Answered.Deadline_, TimerKind::RequestDeadline, Id.Value_);
  Node.Requests_.erase(Id);
}

void detach(NodeState &Node, RequestId Id, const CallReply &Reply) {
  Request &Answered = Node.Requests_.at(Id);
  countAnswer(Node, Answered, Reply);
  answerAll(Node, Answered, Reply);
}

} // namespace fulmarshelf::answer_system
