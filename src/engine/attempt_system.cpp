#include "failure_repeat.hpp" // mayRepeatFailure
#include "owner_learning.hpp" // learnFromReply

#include "failure_repeat.hpp"                         // mayRepeatFailure
#include "fulmarshelf/detail/engine/answers.hpp"      // notRun
#include "fulmarshelf/detail/engine/owner_search.hpp" // findOwners
#include "fulmarshelf/detail/engine/systems.hpp"      // attempt_system
#include "fulmarshelf/detail/retry/token_split.hpp"   // tokensForAttempt

#include <algorithm> // max, min
#include <utility>   // exchange

namespace fulmarshelf::attempt_system {

namespace {

constexpr unsigned MaxBaselineAttempts = 4; // a first attempt and three retries
constexpr unsigned MaxHomeAttempts = 3;
// Attempts that reached no backend server, because a leaving owner refused them
// or they could not be sent, cost no token, but their number is bounded as
// well.
constexpr unsigned MaxFreeAttempts = 2;
constexpr unsigned MaxLostAttempts = 2;
constexpr Micros MinHedgeDelay = millis(5);
constexpr int HedgeFactor = 2;
constexpr Micros MinRetryAfter = millis(200);
constexpr Micros RetryAfterSpread = millis(800);

// Spreads the retry times by the hash of the root request, so that refused
// callers do not return all at once.
Micros retryAfter(const Request &Pending) {
  std::int64_t HashByte =
      static_cast<std::int64_t>(Pending.Context_.Rank_ & 0xff);
  Micros Spread = RetryAfterSpread * HashByte / 0xff;
  return std::max(Pending.RetryAfter_, MinRetryAfter + Spread);
}

// Answers the request with its last error, unless an attempt is in progress.
void failRequest(NodeState &Node, RequestId Id) {
  Request &Pending = Node.Requests_.at(Id);
  if (!Pending.Attempts_.empty())
    return;
  if (Pending.AnsweredFailure_) {
    answer_system::finish(Node, Id, CallReply(*Pending.AnsweredFailure_));
    return;
  }
  // The request may have run in an earlier attempt of its caller.
  bool MayHaveRun =
      Pending.MayHaveRun_ || Pending.LastError_ == ErrorCode::SetAside;
  CallReply Reply = MayHaveRun
                        ? unknownOutcome(Pending.LastError_)
                        : notRun(Pending.LastError_, retryAfter(Pending));
  answer_system::finish(Node, Id, Reply);
}

void sendToPeer(NodeState &Node, Attempt &NewAttempt,
                const std::string &Owner) {
  const Member *Peer = Node.Membership_.find(Owner);
  LinkId Connection =
      Peer == nullptr ? LinkId{} : link_system::connect(Node, *Peer);
  std::uint64_t Sequence = NewAttempt.Sequence_;
  if (Connection.Value_ == 0) {
    onNeverSent(Node, Sequence);
    return;
  }
  link_system::enqueue(Node, Connection, Sequence);
}

// With a route table, the cost is the expected time until the answer in
// microseconds.
std::string costText(const NodeState &Node, const Candidate &Option) {
  if (hasRouteTable(Node))
    return std::to_string(expectedCompletion(Option).count());
  return std::to_string(candidateCost(Option)).substr(0, 5);
}

void logOwnerChosen(NodeState &Node, const Request &Pending,
                    const Attempt &NewAttempt,
                    const std::vector<Candidate> &Options) {
  std::string Costs;
  for (const Candidate &Option : Options)
    Costs += (Costs.empty() ? "" : ",") + Option.Node_ + ":" +
             costText(Node, Option);
  log(Node, EventNumber::OwnerChosen,
      {{"request", toString(Pending.Id_)},
       {"id", Pending.Metadata_.CallerRequestId_},
       {"attempt", std::to_string(NewAttempt.Sequence_)},
       {"owner", NewAttempt.Node_},
       {"rank", std::to_string(Pending.Context_.Rank_)},
       {"tokens", std::to_string(NewAttempt.Tokens_)},
       {"hedge", NewAttempt.Hedge_ ? "yes" : "no"},
       {"costs", Costs}});
}

Micros hedgeDelay(const NodeState &Node, const Request &Pending) {
  return std::max({MinHedgeDelay,
                   Node.CallTimes_.outlierThreshold(Pending.Route_),
                   HedgeFactor * Node.CallTimes_.expected(Pending.Route_)});
}

void startAttempt(NodeState &Node, RequestId Id, const std::string &Owner,
                  bool Hedge, const std::vector<Candidate> &Options) {
  Request &Pending = Node.Requests_.at(Id);
  Attempt NewAttempt;
  NewAttempt.Sequence_ = ++Node.LastAttempt_;
  NewAttempt.Request_ = Id;
  NewAttempt.Node_ = Owner;
  NewAttempt.Started_ = Node.Now_;
  NewAttempt.Hedge_ = Hedge;
  NewAttempt.Paid_ = std::exchange(Pending.NextAttemptPaid_, false);
  NewAttempt.Tokens_ = tokensForAttempt(Pending.Context_.Tokens_);
  Pending.Context_.Tokens_ -= NewAttempt.Tokens_;
  Pending.TriedOwners_.insert(Owner);
  ++Pending.AttemptCount_;
  Pending.Attempts_.insert(NewAttempt.Sequence_);
  logOwnerChosen(Node, Pending, NewAttempt, Options);
  bool MayHedge = Pending.Context_.Idempotent_ && hasFullPolicy(Node) &&
                  !hasRouteTable(Node) &&
                  Node.CallTimes_.expected(Pending.Route_).count() > 0;
  if (MayHedge && !Hedge)
    setTimer(Node, hedgeDelay(Node, Pending), TimerKind::Hedge, Id.Value_);
  Node.Peers_[Owner].Owner_.onSent();
  Attempt &Stored = Node.Attempts_[NewAttempt.Sequence_];
  Stored = NewAttempt;
  if (Owner != localNodeName(Node)) {
    sendToPeer(Node, Stored, Owner);
    return;
  }
  Stored.State_ = AttemptState::Sent;
  CallContext Context = Pending.Context_;
  Context.Tokens_ = NewAttempt.Tokens_;
  Context.TimeLeft_ = Pending.Deadline_ - Node.Now_;
  HttpRequest Http = Pending.Http_;
  owner_system::admit(
      Node,
      {localNodeName(Node), Node.Config_.Incarnation_, NewAttempt.Sequence_},
      LocalAttempt{NewAttempt.Sequence_}, Context, Http);
}

// Removes an attempt from the tables and returns it.
std::optional<Attempt> removeAttempt(NodeState &Node, std::uint64_t Sequence) {
  auto Entry = Node.Attempts_.find(Sequence);
  if (Entry == Node.Attempts_.end())
    return std::nullopt;
  Attempt Ended = Entry->second;
  Node.Attempts_.erase(Entry);
  auto RequestEntry = Node.Requests_.find(Ended.Request_);
  if (RequestEntry != Node.Requests_.end())
    RequestEntry->second.Attempts_.erase(Sequence);
  link_system::release(Node, Ended.Link_, Sequence);
  link_system::release(Node, Ended.RevokeLink_, Sequence);
  return Ended;
}

// Acquires a retry from the service's retry budget or, with a route table, from
// its bound on repeats. A route table also makes the next attempt a repeat,
// because an owner may have received an earlier attempt.
bool acquireRepeat(NodeState &Node, Request &Pending) {
  if (!hasRouteTable(Node))
    return Node.Budgets_[Pending.Service_].tryAcquire();
  Pending.Context_.Repeat_ = true;
  return Node.Repeats_[Pending.Service_].tryAcquire(Node.Now_,
                                                    repeatBound(Node));
}

// Spends one token on a retry and counts it against the limit of its service,
// which keeps retries from adding work under overload. An attempt that never
// reached its owner added no work, so its retry costs only a token. The
// baseline policy bounds only the number of attempts.
bool acquireRetry(NodeState &Node, Request &Pending) {
  if (!hasFullPolicy(Node))
    return Pending.AttemptCount_ < MaxBaselineAttempts;
  bool NeverReachedOwner = Pending.LastError_ == ErrorCode::LinkFailed;
  bool Allowed = Pending.Context_.Tokens_ > 0 &&
                 (NeverReachedOwner || acquireRepeat(Node, Pending));
  if (Allowed)
    --Pending.Context_.Tokens_;
  else
    log(Node, EventNumber::RetryDenied,
        {{"request", toString(Pending.Id_)},
         {"tokens", std::to_string(Pending.Context_.Tokens_)}});
  return Allowed;
}

void retry(NodeState &Node, RequestId Id) {
  Request &Pending = Node.Requests_.at(Id);
  Pending.NextAttemptPaid_ = true;
  // The baseline policy may send retries to owners that it already tried.
  if (!hasFullPolicy(Node))
    Pending.TriedOwners_.clear();
  log(Node, EventNumber::RetryStarted,
      {{"request", toString(Id)},
       {"after", std::string(errorName(Pending.LastError_))}});
  startNextAttempt(Node, Id);
}

bool hasUntriedOwner(NodeState &Node, const Request &Pending) {
  if (!hasFullPolicy(Node))
    return true;
  return !findOwners(Node, Pending).Accepting_.empty();
}

// A request that may crash backend servers runs at two of them at most.
bool mayRunAgain(const NodeState &Node, const Request &Pending) {
  return Pending.LostAttempts_ < MaxLostAttempts &&
         Pending.LastError_ != ErrorCode::SetAside &&
         quarantine_system::suspicionOf(Node, Pending.Http_) <
             Suspicion::StrongSuspect;
}

// Retries at an owner that was not tried yet; fails the request when there is
// none, the deadline has passed, the retry is denied, or the request might run
// twice. Does nothing while another attempt is in progress.
void retryOrFail(NodeState &Node, RequestId Id) {
  Request &Pending = Node.Requests_.at(Id);
  if (!Pending.Attempts_.empty())
    return;
  bool Safe = Pending.Context_.Idempotent_ || !Pending.MayHaveRun_;
  if (Safe && mayRunAgain(Node, Pending) && Node.Now_ < Pending.Deadline_ &&
      hasUntriedOwner(Node, Pending) && acquireRetry(Node, Pending)) {
    retry(Node, Id);
    return;
  }
  failRequest(Node, Id);
}

// Repeats a request after a failure that its backend server answered, out of a
// smaller part of the bound on repeats than after a lost answer. Returns false
// if the failure is the final answer.
bool repeatFailure(NodeState &Node, RequestId Id, const CallReply &Reply) {
  Request &Pending = Node.Requests_.at(Id);
  if (!mayRepeatFailure(Node, Pending, Reply) ||
      !hasUntriedOwner(Node, Pending))
    return false;
  if (!Node.Repeats_[Pending.Service_].tryAcquire(Node.Now_,
                                                  failureRepeatBound(Node)))
    return false;
  --Pending.Context_.Tokens_;
  Pending.Context_.Repeat_ = true;
  Pending.AnsweredFailure_ = Reply;
  Pending.LastError_ = ErrorCode::BackendFailed;
  retry(Node, Id);
  return true;
}

// True for refusals of attempts that never reached a backend server.
bool isFreeRefusal(const CallReply &Reply) {
  if (Reply.Outcome_ != Outcome::NotRun)
    return false;
  switch (Reply.Error_) {
  case ErrorCode::Leaving:
  case ErrorCode::NoLiveOwner:
  case ErrorCode::BackendFailed:
  case ErrorCode::BackendReplaced:
  case ErrorCode::WrongIncarnation:
  case ErrorCode::Shed:
    return true;
  default:
    return false;
  }
}

// Starts another attempt after one that never reached a backend server. The
// first retries of this kind cost no token.
void tryNextOwner(NodeState &Node, RequestId Id) {
  Request &Pending = Node.Requests_.at(Id);
  if (!Pending.Attempts_.empty())
    return;
  bool IsFree =
      Pending.AttemptCount_ <= MaxFreeAttempts && !Pending.MayHaveRun_;
  if (IsFree)
    startNextAttempt(Node, Id);
  else
    retryOrFail(Node, Id);
}

} // namespace

void startNextAttempt(NodeState &Node, RequestId Id) {
  Request &Pending = Node.Requests_.at(Id);
  OwnerOptions Options = findOwners(Node, Pending);
  std::optional<Placement> Picked =
      pickOwner(Node, Pending, Options.Accepting_);
  if (Picked) {
    const Candidate &Chosen = Options.Accepting_[Picked->Index_];
    std::string Owner = Chosen.Node_;
    recordPlacement(Node, Pending, Options.Accepting_, *Picked);
    startAttempt(Node, Id, Owner, false, Options.Accepting_);
    return;
  }
  if (!Options.Probes_.empty()) {
    startAttempt(Node, Id, Options.Probes_.front(), false, {});
    return;
  }
  if (Options.Refusing_ > 0)
    Pending.LastError_ = ErrorCode::Shed;
  log(Node, EventNumber::NoOwnerAccepts,
      {{"request", toString(Id)},
       {"service", Pending.Service_},
       {"rank", std::to_string(Pending.Context_.Rank_)},
       {"level",
        Options.Refusing_ > 0 ? std::to_string(Options.LowestLevel_) : "none"},
       {"refusing", std::to_string(Options.Refusing_)}});
  failRequest(Node, Id);
}

void sendToTicketHome(NodeState &Node, RequestId Id) {
  Request &Pending = Node.Requests_.at(Id);
  Ticket ForwardedTicket;
  parseTicket(Pending.ForwardedTicket_, ForwardedTicket);
  const Member *Home = Node.Membership_.find(ForwardedTicket.Home_);
  bool Alive = Home != nullptr &&
               Home->Incarnation_ == ForwardedTicket.Incarnation_ &&
               Home->Status_ != MemberStatus::Dead;
  if (!Alive || Pending.AttemptCount_ >= MaxHomeAttempts) {
    log(Node, EventNumber::TicketRefused,
        {{"ticket", std::to_string(ForwardedTicket.Sequence_)},
         {"home", ForwardedTicket.Home_}});
    answer_system::finish(Node, Id, unknownOutcome(ErrorCode::TicketHomeGone));
    return;
  }
  Attempt NewAttempt;
  NewAttempt.Sequence_ = ++Node.LastAttempt_;
  NewAttempt.Request_ = Id;
  NewAttempt.Node_ = ForwardedTicket.Home_;
  NewAttempt.Started_ = Node.Now_;
  NewAttempt.Tokens_ = Pending.Context_.Tokens_;
  Pending.Context_.Tokens_ = 0;
  ++Pending.AttemptCount_;
  Pending.Attempts_.insert(NewAttempt.Sequence_);
  logOwnerChosen(Node, Pending, NewAttempt, {});
  Node.Peers_[ForwardedTicket.Home_].Owner_.onSent();
  Node.Attempts_[NewAttempt.Sequence_] = NewAttempt;
  sendToPeer(Node, Node.Attempts_[NewAttempt.Sequence_], ForwardedTicket.Home_);
}

void onReply(NodeState &Node, std::uint64_t Sequence, const CallReply &Reply) {
  std::optional<Attempt> Ended = removeAttempt(Node, Sequence);
  if (!Ended || !Node.Requests_.contains(Ended->Request_)) {
    log(Node, EventNumber::LateReplyDropped,
        {{"attempt", std::to_string(Sequence)},
         {"outcome", std::string(outcomeName(Reply.Outcome_))}});
    return;
  }
  RequestId Id = Ended->Request_;
  Request &Pending = Node.Requests_.at(Id);
  Pending.Context_.Tokens_ += std::min(Reply.TokensLeft_, Ended->Tokens_);
  if (!Pending.ForwardedTicket_.empty()) {
    Node.Peers_[Ended->Node_].Owner_.onEnded();
    answer_system::finish(Node, Id, Reply);
    return;
  }
  learnFromReply(Node, *Ended, Pending, Reply);
  if (Reply.Outcome_ == Outcome::Complete) {
    if (!repeatFailure(Node, Id, Reply))
      answer_system::finish(Node, Id, Reply);
    return;
  }
  Pending.LastError_ = Reply.Error_;
  Pending.RetryAfter_ = std::max(Pending.RetryAfter_, Reply.RetryAfter_);
  if (Reply.Outcome_ == Outcome::Unknown)
    Pending.MayHaveRun_ = true;
  if (Reply.Outcome_ == Outcome::Unknown &&
      Reply.Error_ == ErrorCode::BackendFailed) {
    ++Pending.LostAttempts_;
    Pending.Context_.Suspect_ = true;
  }
  bool IsFree = hasRouteTable(Node) ? isFreeRefusal(Reply)
                                    : Reply.Outcome_ == Outcome::NotRun &&
                                          Reply.Error_ == ErrorCode::Leaving;
  if (IsFree)
    tryNextOwner(Node, Id);
  else
    retryOrFail(Node, Id);
}

void onNeverSent(NodeState &Node, std::uint64_t Sequence) {
  std::optional<Attempt> Ended = removeAttempt(Node, Sequence);
  if (!Ended)
    return;
  Node.Peers_[Ended->Node_].Owner_.onEnded();
  auto Entry = Node.Requests_.find(Ended->Request_);
  if (Entry == Node.Requests_.end())
    return;
  Request &Pending = Entry->second;
  Pending.Context_.Tokens_ += Ended->Tokens_ + (Ended->Paid_ ? 1 : 0);
  // The connection failed, not the owner, so the owner may be tried again.
  if (Ended->State_ == AttemptState::InDoubt)
    Pending.TriedOwners_.erase(Ended->Node_);
  if (!Pending.ForwardedTicket_.empty()) {
    sendToTicketHome(Node, Pending.Id_);
    return;
  }
  Pending.LastError_ = ErrorCode::LinkFailed;
  tryNextOwner(Node, Pending.Id_);
}

void onInDoubt(NodeState &Node, std::uint64_t Sequence) {
  auto Entry = Node.Attempts_.find(Sequence);
  if (Entry == Node.Attempts_.end())
    return;
  Attempt &Lost = Entry->second;
  auto RequestEntry = Node.Requests_.find(Lost.Request_);
  if (RequestEntry == Node.Requests_.end()) {
    removeAttempt(Node, Sequence);
    return;
  }
  RequestId Id = RequestEntry->first;
  Request &Pending = RequestEntry->second;
  if (!Pending.ForwardedTicket_.empty()) {
    // The home answers a repeated ticket with the outcome of the first run, so
    // another attempt resolves the doubt as well as a revocation.
    std::uint32_t Tokens = Lost.Tokens_;
    removeAttempt(Node, Sequence);
    Pending.Context_.Tokens_ += Tokens;
    sendToTicketHome(Node, Id);
    return;
  }
  learnFromTimeout(Node, Lost, Pending.Route_);
  Pending.LastError_ = ErrorCode::OutcomeUnknown;
  Lost.State_ = AttemptState::InDoubt;
  // Revoking fences the old connection, so new calls need another one.
  PeerView &View = Node.Peers_[Lost.Node_];
  if (View.Link_ == Lost.Link_)
    View.Link_ = LinkId{};
  const Member *Peer = Node.Membership_.find(Lost.Node_);
  LinkId RevokeLink =
      Peer == nullptr ? LinkId{} : link_system::connect(Node, *Peer);
  if (RevokeLink.Value_ == 0) {
    onReply(Node, Sequence, unknownOutcome(ErrorCode::OutcomeUnknown));
    return;
  }
  Lost.RevokeLink_ = RevokeLink;
  log(Node, EventNumber::RevokeSent,
      {{"request", toString(Id)},
       {"attempt", std::to_string(Sequence)},
       {"owner", Lost.Node_},
       {"link", std::to_string(RevokeLink.Value_)}});
  link_system::enqueue(Node, RevokeLink, Sequence);
  // Idempotent requests need not wait for the answer to the revocation.
  auto Remaining = Node.Requests_.find(Id);
  if (Remaining == Node.Requests_.end() ||
      !Remaining->second.Context_.Idempotent_ ||
      !hasUntriedOwner(Node, Pending) || !acquireRetry(Node, Remaining->second))
    return;
  retry(Node, Id);
}

void onRevokeAnswer(NodeState &Node, const RevokeAnswered &Input) {
  auto Entry = Node.Attempts_.find(Input.Sequence_);
  if (Entry == Node.Attempts_.end() || Entry->second.RevokeLink_ != Input.Link_)
    return;
  const RevokeReply &Answer = Input.Reply_;
  log(Node, EventNumber::RevokeAnswered,
      {{"attempt", std::to_string(Input.Sequence_)},
       {"result", std::to_string(static_cast<unsigned>(Answer.Result_))}});
  switch (Answer.Result_) {
  case RevokeResult::Finished:
    onReply(Node, Input.Sequence_, Answer.Reply_);
    return;
  case RevokeResult::NotStarted:
    onNeverSent(Node, Input.Sequence_);
    return;
  case RevokeResult::Unknown:
    onReply(Node, Input.Sequence_, unknownOutcome(ErrorCode::OutcomeUnknown));
    return;
  }
}

void onHedge(NodeState &Node, RequestId Id) {
  auto Entry = Node.Requests_.find(Id);
  if (Entry == Node.Requests_.end())
    return;
  Request &Pending = Entry->second;
  // A hedge helps against a straggler; under overload it only adds work.
  if (Pending.Attempts_.size() != 1 || Pending.Context_.Tokens_ == 0)
    return;
  OwnerOptions Options = findOwners(Node, Pending);
  if (Options.Refusing_ > 0)
    return;
  std::erase_if(Options.Accepting_, [](const Candidate &Option) {
    const LoadReport &Report = Option.Report_;
    return Report.Queued_ > 0 || Report.InFlight_ >= Report.Limit_;
  });
  std::optional<Placement> Picked =
      pickOwner(Node, Pending, Options.Accepting_);
  if (!Picked || !Node.Budgets_[Pending.Service_].tryAcquire())
    return;
  --Pending.Context_.Tokens_;
  Pending.NextAttemptPaid_ = true;
  std::string Owner = Options.Accepting_[Picked->Index_].Node_;
  log(Node, EventNumber::HedgeStarted,
      {{"request", toString(Id)}, {"owner", Owner}});
  startAttempt(Node, Id, Owner, true, Options.Accepting_);
}

bool cancelAttempts(NodeState &Node, Request &Pending) {
  bool ProvedNotRun = true;
  const std::set<std::uint64_t> Sequences = Pending.Attempts_;
  for (std::uint64_t Sequence : Sequences) {
    std::optional<Attempt> Ended = removeAttempt(Node, Sequence);
    if (!Ended)
      continue;
    learnFromTimeout(Node, *Ended, Pending.Route_);
    if (Ended->State_ == AttemptState::WaitingForLink)
      continue;
    if (Ended->Node_ == localNodeName(Node)) {
      auto WorkEntry = Node.WorkOfAttempt_.find(
          {localNodeName(Node), Node.Config_.Incarnation_, Sequence});
      if (WorkEntry != Node.WorkOfAttempt_.end())
        ProvedNotRun =
            owner_system::cancel(Node, WorkEntry->second) && ProvedNotRun;
      continue;
    }
    ProvedNotRun = false;
    if (Ended->State_ == AttemptState::Sent)
      emit(Node, SendCancel{Ended->Link_, Sequence});
  }
  return ProvedNotRun;
}

} // namespace fulmarshelf::attempt_system
