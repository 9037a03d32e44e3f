#include "owner_learning.hpp" // learnFromReply

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
// Attempts that a leaving owner refused, or that could not be sent, reached no
// backend server and cost no token, but their number is bounded as well.
constexpr unsigned MaxFreeAttempts = 2;
constexpr Micros MinHedgeDelay = millis(5);
constexpr int HedgeFactor = 2;
constexpr Micros MinRetryAfter = millis(200);
constexpr Micros RetryAfterSpread = millis(800);

// Spreads the retry times, so that refused callers do not return all at once.
Micros retryAfter(const Request &Target) {
  std::int64_t Part = static_cast<std::int64_t>(Target.Context_.Rank_ & 0xff);
  Micros Spread = RetryAfterSpread * Part / 0xff;
  return std::max(Target.RetryAfter_, MinRetryAfter + Spread);
}

void failRequest(NodeState &Node, RequestId Id) {
  Request &Target = Node.Requests_.at(Id);
  if (!Target.Attempts_.empty())
    return;
  CallReply Reply = Target.MayHaveRun_
                        ? unknownOutcome(Target.LastError_)
                        : notRun(Target.LastError_, retryAfter(Target));
  answer_system::finish(Node, Id, Reply);
}

void sendToPeer(NodeState &Node, Attempt &NewAttempt,
                const std::string &Owner) {
  const Member *Peer = Node.Membership_.find(Owner);
  LinkId Target =
      Peer == nullptr ? LinkId{} : link_system::connect(Node, *Peer);
  std::uint64_t Sequence = NewAttempt.Sequence_;
  if (Target.Value_ == 0) {
    onNeverSent(Node, Sequence);
    return;
  }
  link_system::enqueue(Node, Target, Sequence);
}

// With a route table, the cost is the expected time until the answer in
// microseconds.
std::string costText(const NodeState &Node, const Candidate &Option) {
  if (hasRouteTable(Node))
    return std::to_string(expectedCompletion(Option).count());
  return std::to_string(candidateCost(Option)).substr(0, 5);
}

void logOwnerChosen(NodeState &Node, const Request &Target,
                    const Attempt &NewAttempt,
                    const std::vector<Candidate> &Options) {
  std::string Costs;
  for (const Candidate &Option : Options)
    Costs += (Costs.empty() ? "" : ",") + Option.Node_ + ":" +
             costText(Node, Option);
  log(Node, EventNumber::OwnerChosen,
      {{"request", toString(Target.Id_)},
       {"id", Target.Metadata_.CallerRequestId_},
       {"attempt", std::to_string(NewAttempt.Sequence_)},
       {"owner", NewAttempt.Node_},
       {"rank", std::to_string(Target.Context_.Rank_)},
       {"tokens", std::to_string(NewAttempt.Tokens_)},
       {"hedge", NewAttempt.Hedge_ ? "yes" : "no"},
       {"costs", Costs}});
}

Micros hedgeDelay(const NodeState &Node, const Request &Target) {
  return std::max({MinHedgeDelay,
                   Node.CallTimes_.outlierThreshold(Target.Route_),
                   HedgeFactor * Node.CallTimes_.expected(Target.Route_)});
}

void startAttempt(NodeState &Node, RequestId Id, const std::string &Owner,
                  bool Hedge, const std::vector<Candidate> &Options) {
  Request &Target = Node.Requests_.at(Id);
  Attempt NewAttempt;
  NewAttempt.Sequence_ = ++Node.LastAttempt_;
  NewAttempt.Request_ = Id;
  NewAttempt.Node_ = Owner;
  NewAttempt.Started_ = Node.Now_;
  NewAttempt.Hedge_ = Hedge;
  NewAttempt.Paid_ = std::exchange(Target.NextAttemptPaid_, false);
  NewAttempt.Tokens_ = tokensForAttempt(Target.Context_.Tokens_);
  Target.Context_.Tokens_ -= NewAttempt.Tokens_;
  Target.TriedOwners_.insert(Owner);
  ++Target.AttemptCount_;
  Target.Attempts_.insert(NewAttempt.Sequence_);
  logOwnerChosen(Node, Target, NewAttempt, Options);
  bool MayHedge = Target.Context_.Idempotent_ && hasFullPolicy(Node) &&
                  !hasRouteTable(Node) &&
                  Node.CallTimes_.expected(Target.Route_).count() > 0;
  if (MayHedge && !Hedge)
    setTimer(Node, hedgeDelay(Node, Target), TimerKind::Hedge, Id.Value_);
  Node.Peers_[Owner].Owner_.onSent();
  Attempt &Stored = Node.Attempts_[NewAttempt.Sequence_];
  Stored = NewAttempt;
  if (Owner != localNodeName(Node)) {
    sendToPeer(Node, Stored, Owner);
    return;
  }
  Stored.State_ = AttemptState::Sent;
  CallContext Context = Target.Context_;
  Context.Tokens_ = NewAttempt.Tokens_;
  Context.TimeLeft_ = Target.Deadline_ - Node.Now_;
  HttpRequest Http = Target.Http_;
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

// Marks the next attempt as a repeat, because the owner may have received an
// earlier one, and acquires it from the service's bound on repeats.
bool acquireRepeat(NodeState &Node, Request &Target) {
  if (!hasRouteTable(Node))
    return Node.Budgets_[Target.Service_].tryAcquire();
  Target.Context_.Repeat_ = true;
  return Node.Repeats_[Target.Service_].tryAcquire(Node.Now_,
                                                   repeatBound(Node));
}

// The service's budget keeps retries from adding work under overload. An
// attempt that never reached its owner added no work, so its retry costs only a
// token.
bool mayRetry(NodeState &Node, Request &Target) {
  if (!hasFullPolicy(Node))
    return Target.AttemptCount_ < MaxBaselineAttempts;
  bool NeverReachedOwner = Target.LastError_ == ErrorCode::LinkFailed;
  bool Allowed = Target.Context_.Tokens_ > 0 &&
                 (NeverReachedOwner || acquireRepeat(Node, Target));
  if (Allowed)
    --Target.Context_.Tokens_;
  else
    log(Node, EventNumber::RetryDenied,
        {{"request", toString(Target.Id_)},
         {"tokens", std::to_string(Target.Context_.Tokens_)}});
  return Allowed;
}

void retry(NodeState &Node, RequestId Id) {
  Request &Target = Node.Requests_.at(Id);
  Target.NextAttemptPaid_ = true;
  // The baseline policy may send retries to owners that it already tried.
  if (!hasFullPolicy(Node))
    Target.TriedOwners_.clear();
  log(Node, EventNumber::RetryStarted,
      {{"request", toString(Id)},
       {"after", std::string(errorName(Target.LastError_))}});
  startNextAttempt(Node, Id);
}

bool hasUntriedOwner(NodeState &Node, const Request &Target) {
  if (!hasFullPolicy(Node))
    return true;
  return !findOwners(Node, Target).Accepting_.empty();
}

// Retries at another owner when one is left, the retry is paid for, and the
// request can run there without running twice; fails the request otherwise.
void retryOrFail(NodeState &Node, RequestId Id) {
  Request &Target = Node.Requests_.at(Id);
  if (!Target.Attempts_.empty())
    return;
  bool Safe = Target.Context_.Idempotent_ || !Target.MayHaveRun_;
  if (Safe && Node.Now_ < Target.Deadline_ && hasUntriedOwner(Node, Target) &&
      mayRetry(Node, Target)) {
    retry(Node, Id);
    return;
  }
  failRequest(Node, Id);
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

// Tries another owner after an attempt that never reached a backend server; the
// first attempts of this kind cost no token.
void tryNextOwner(NodeState &Node, RequestId Id) {
  Request &Target = Node.Requests_.at(Id);
  if (!Target.Attempts_.empty())
    return;
  bool IsFree = Target.AttemptCount_ <= MaxFreeAttempts && !Target.MayHaveRun_;
  if (IsFree)
    startNextAttempt(Node, Id);
  else
    retryOrFail(Node, Id);
}

} // namespace

void startNextAttempt(NodeState &Node, RequestId Id) {
  Request &Target = Node.Requests_.at(Id);
  OwnerOptions Options = findOwners(Node, Target);
  std::optional<Placement> Picked = pickOwner(Node, Target, Options.Accepting_);
  if (Picked) {
    const Candidate &Chosen = Options.Accepting_[Picked->Index_];
    std::string Owner = Chosen.Node_;
    recordPlacement(Node, Target, Options.Accepting_, *Picked);
    startAttempt(Node, Id, Owner, false, Options.Accepting_);
    return;
  }
  if (!Options.Probes_.empty()) {
    startAttempt(Node, Id, Options.Probes_.front(), false, {});
    return;
  }
  if (Options.Refusing_ > 0)
    Target.LastError_ = ErrorCode::Shed;
  log(Node, EventNumber::NoOwnerAccepts,
      {{"request", toString(Id)},
       {"service", Target.Service_},
       {"rank", std::to_string(Target.Context_.Rank_)},
       {"level",
        Options.Refusing_ > 0 ? std::to_string(Options.LowestLevel_) : "none"},
       {"refusing", std::to_string(Options.Refusing_)}});
  failRequest(Node, Id);
}

void sendToTicketHome(NodeState &Node, RequestId Id) {
  Request &Target = Node.Requests_.at(Id);
  Ticket Value;
  parseTicket(Target.ForwardedTicket_, Value);
  const Member *Home = Node.Membership_.find(Value.Home_);
  bool Alive = Home != nullptr && Home->Incarnation_ == Value.Incarnation_ &&
               Home->Status_ != MemberStatus::Dead;
  if (!Alive || Target.AttemptCount_ >= MaxHomeAttempts) {
    log(Node, EventNumber::TicketRefused,
        {{"ticket", std::to_string(Value.Sequence_)}, {"home", Value.Home_}});
    answer_system::finish(Node, Id, unknownOutcome(ErrorCode::TicketHomeGone));
    return;
  }
  Attempt NewAttempt;
  NewAttempt.Sequence_ = ++Node.LastAttempt_;
  NewAttempt.Request_ = Id;
  NewAttempt.Node_ = Value.Home_;
  NewAttempt.Started_ = Node.Now_;
  NewAttempt.Tokens_ = Target.Context_.Tokens_;
  Target.Context_.Tokens_ = 0;
  ++Target.AttemptCount_;
  Target.Attempts_.insert(NewAttempt.Sequence_);
  logOwnerChosen(Node, Target, NewAttempt, {});
  Node.Peers_[Value.Home_].Owner_.onSent();
  Node.Attempts_[NewAttempt.Sequence_] = NewAttempt;
  sendToPeer(Node, Node.Attempts_[NewAttempt.Sequence_], Value.Home_);
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
  Request &Target = Node.Requests_.at(Id);
  Target.Context_.Tokens_ += std::min(Reply.TokensLeft_, Ended->Tokens_);
  if (!Target.ForwardedTicket_.empty()) {
    Node.Peers_[Ended->Node_].Owner_.onEnded();
    answer_system::finish(Node, Id, Reply);
    return;
  }
  learnFromReply(Node, *Ended, Target, Reply);
  if (Reply.Outcome_ == Outcome::Complete) {
    answer_system::finish(Node, Id, Reply);
    return;
  }
  Target.LastError_ = Reply.Error_;
  Target.RetryAfter_ = std::max(Target.RetryAfter_, Reply.RetryAfter_);
  if (Reply.Outcome_ == Outcome::Unknown)
    Target.MayHaveRun_ = true;
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
  Request &Target = Entry->second;
  Target.Context_.Tokens_ += Ended->Tokens_ + (Ended->Paid_ ? 1 : 0);
  // The connection failed, not the owner, so the owner may be tried again.
  if (Ended->State_ == AttemptState::InDoubt)
    Target.TriedOwners_.erase(Ended->Node_);
  if (!Target.ForwardedTicket_.empty()) {
    sendToTicketHome(Node, Target.Id_);
    return;
  }
  Target.LastError_ = ErrorCode::LinkFailed;
  tryNextOwner(Node, Target.Id_);
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
  Request &Target = RequestEntry->second;
  if (!Target.ForwardedTicket_.empty()) {
    // The home answers a repeated ticket with the outcome of the first run, so
    // another attempt resolves the doubt as well as a revocation.
    std::uint32_t Tokens = Lost.Tokens_;
    removeAttempt(Node, Sequence);
    Target.Context_.Tokens_ += Tokens;
    sendToTicketHome(Node, Id);
    return;
  }
  learnFromTimeout(Node, Lost, Target.Route_);
  Target.LastError_ = ErrorCode::OutcomeUnknown;
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
      !hasUntriedOwner(Node, Target) || !mayRetry(Node, Remaining->second))
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
  Request &Target = Entry->second;
  // A hedge helps against a straggler; under overload it only adds work.
  if (Target.Attempts_.size() != 1 || Target.Context_.Tokens_ == 0)
    return;
  OwnerOptions Options = findOwners(Node, Target);
  if (Options.Refusing_ > 0)
    return;
  std::erase_if(Options.Accepting_, [](const Candidate &Option) {
    const LoadReport &Report = Option.Report_;
    return Report.Queued_ > 0 || Report.InFlight_ >= Report.Limit_;
  });
  std::optional<Placement> Picked = pickOwner(Node, Target, Options.Accepting_);
  if (!Picked || !Node.Budgets_[Target.Service_].tryAcquire())
    return;
  --Target.Context_.Tokens_;
  Target.NextAttemptPaid_ = true;
  std::string Owner = Options.Accepting_[Picked->Index_].Node_;
  log(Node, EventNumber::HedgeStarted,
      {{"request", toString(Id)}, {"owner", Owner}});
  startAttempt(Node, Id, Owner, true, Options.Accepting_);
}

bool cancelAttempts(NodeState &Node, Request &Target) {
  bool ProvedNotRun = true;
  const std::set<std::uint64_t> Sequences = Target.Attempts_;
  for (std::uint64_t Sequence : Sequences) {
    std::optional<Attempt> Ended = removeAttempt(Node, Sequence);
    if (!Ended)
      continue;
    learnFromTimeout(Node, *Ended, Target.Route_);
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
