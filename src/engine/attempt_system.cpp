#include "owner_learning.hpp" // learnFromReply

#include "fulmarshelf/detail/engine/answers.hpp"      // notRun
#include "fulmarshelf/detail/engine/owner_search.hpp" // findOwners
#include "fulmarshelf/detail/engine/systems.hpp"      // attempt_system
#include "fulmarshelf/detail/retry/token_split.hpp"   // tokensForAttempt

#include <algorithm> // max, min
#include <utility>   // exchange

namespace fulmarshelf::attempt_system {

namespace {

constexpr unsigned BaselineTries = 4; // a first try and three retries
constexpr unsigned MaxHomeTries = 3;
// Attempts that a leaving owner refused, or that could not be sent, reached no
// backend server and cost no token, but their number is bounded too.
constexpr unsigned MaxFreeMoves = 2;
constexpr Micros LeastHedgeDelay = millis(5);
constexpr int HedgeFactor = 2;
constexpr Micros LeastRetryAfter = millis(200);
constexpr Micros RetryAfterSpread = millis(800);

// Spread, so that the refused callers do not come back all at one time.
Micros retryAfter(const Request &Target) {
  std::int64_t Part = static_cast<std::int64_t>(Target.Context_.Rank_ & 0xff);
  Micros Spread = RetryAfterSpread * Part / 0xff;
  return std::max(Target.RetryAfter_, LeastRetryAfter + Spread);
}

void giveUp(NodeState &Node, RequestId Id) {
  Request &Target = Node.Requests_.at(Id);
  if (!Target.Attempts_.empty())
    return;
  CallReply Reply = Target.MayHaveRun_
                        ? unknownOutcome(Target.LastError_)
                        : notRun(Target.LastError_, retryAfter(Target));
  answer_system::finish(Node, Id, Reply);
}

void sendToPeer(NodeState &Node, Attempt &Fresh, const std::string &Owner) {
  const Member *Peer = Node.Membership_.find(Owner);
  LinkId Target =
      Peer == nullptr ? LinkId{} : link_system::connect(Node, *Peer);
  std::uint64_t Sequence = Fresh.Sequence_;
  if (Target.Value_ == 0) {
    onNeverSent(Node, Sequence);
    return;
  }
  link_system::enqueue(Node, Target, Sequence);
}

// With a route table the time until the answer in microseconds.
std::string costText(const NodeState &Node, const Candidate &Option) {
  if (hasRouteTable(Node))
    return std::to_string(expectedCompletion(Option).count());
  return std::to_string(candidateCost(Option)).substr(0, 5);
}

void logChoice(NodeState &Node, const Request &Target, const Attempt &Fresh,
               const std::vector<Candidate> &Options) {
  std::string Costs;
  for (const Candidate &Option : Options)
    Costs += (Costs.empty() ? "" : ",") + Option.Node_ + ":" +
             costText(Node, Option);
  log(Node, EventNumber::OwnerChosen,
      {{"request", toString(Target.Id_)},
       {"id", Target.Metadata_.CallerRequestId_},
       {"attempt", std::to_string(Fresh.Sequence_)},
       {"owner", Fresh.Node_},
       {"rank", std::to_string(Target.Context_.Rank_)},
       {"tokens", std::to_string(Fresh.Tokens_)},
       {"hedge", Fresh.Hedge_ ? "yes" : "no"},
       {"costs", Costs}});
}

Micros hedgeDelay(const NodeState &Node, const Request &Target) {
  return std::max({LeastHedgeDelay,
                   Node.CallTimes_.outlierThreshold(Target.Route_),
                   HedgeFactor * Node.CallTimes_.expected(Target.Route_)});
}

void startAttempt(NodeState &Node, RequestId Id, const std::string &Owner,
                  bool Hedge, const std::vector<Candidate> &Options) {
  Request &Target = Node.Requests_.at(Id);
  Attempt Fresh;
  Fresh.Sequence_ = ++Node.LastAttempt_;
  Fresh.Request_ = Id;
  Fresh.Node_ = Owner;
  Fresh.Started_ = Node.Now_;
  Fresh.Hedge_ = Hedge;
  Fresh.Paid_ = std::exchange(Target.NextAttemptPaid_, false);
  Fresh.Tokens_ = tokensForAttempt(Target.Context_.Tokens_);
  Target.Context_.Tokens_ -= Fresh.Tokens_;
  Target.TriedOwners_.insert(Owner);
  ++Target.AttemptCount_;
  Target.Attempts_.insert(Fresh.Sequence_);
  logChoice(Node, Target, Fresh, Options);
  bool MayHedge = Target.Context_.Idempotent_ && hasFullPolicy(Node) &&
                  !hasRouteTable(Node) &&
                  Node.CallTimes_.expected(Target.Route_).count() > 0;
  if (MayHedge && !Hedge)
    setTimer(Node, hedgeDelay(Node, Target), TimerKind::Hedge, Id.Value_);
  Node.Peers_[Owner].Owner_.onSent();
  Attempt &Stored = Node.Attempts_[Fresh.Sequence_];
  Stored = Fresh;
  if (Owner != ownName(Node)) {
    sendToPeer(Node, Stored, Owner);
    return;
  }
  Stored.State_ = AttemptState::Sent;
  CallContext Context = Target.Context_;
  Context.Tokens_ = Fresh.Tokens_;
  Context.TimeLeft_ = Target.Deadline_ - Node.Now_;
  HttpRequest Http = Target.Http_;
  owner_system::admit(
      Node, {ownName(Node), Node.Config_.Incarnation_, Fresh.Sequence_},
      LocalAttempt{Fresh.Sequence_}, Context, Http);
}

// Takes an attempt out of the tables.
std::optional<Attempt> take(NodeState &Node, std::uint64_t Sequence) {
  auto Found = Node.Attempts_.find(Sequence);
  if (Found == Node.Attempts_.end())
    return std::nullopt;
  Attempt Ended = Found->second;
  Node.Attempts_.erase(Found);
  auto Owner = Node.Requests_.find(Ended.Request_);
  if (Owner != Node.Requests_.end())
    Owner->second.Attempts_.erase(Sequence);
  link_system::release(Node, Ended.Link_, Sequence);
  link_system::release(Node, Ended.RevokeLink_, Sequence);
  return Ended;
}

// What may have arrived once makes the next attempt a repeat.
bool takeRepeat(NodeState &Node, Request &Target) {
  if (!hasRouteTable(Node))
    return Node.Budgets_[Target.Service_].tryAcquire();
  Target.Context_.Repeat_ = true;
  return Node.Repeats_[Target.Service_].tryAcquire(Node.Now_,
                                                   repeatBound(Node));
}

// The service's budget keeps retries from adding work under overload. An
// attempt that never arrived added none, so its retry costs only a token.
bool mayRetry(NodeState &Node, Request &Target) {
  if (!hasFullPolicy(Node))
    return Target.AttemptCount_ < BaselineTries;
  bool NeverArrived = Target.LastError_ == ErrorCode::LinkFailed;
  bool Allowed =
      Target.Context_.Tokens_ > 0 && (NeverArrived || takeRepeat(Node, Target));
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
  // The baseline tries the same few owners again and again.
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

// Another owner is asked when that can help, is paid for, and the request may
// still run somewhere else without running twice.
void tryAgain(NodeState &Node, RequestId Id) {
  Request &Target = Node.Requests_.at(Id);
  if (!Target.Attempts_.empty())
    return;
  bool Safe = Target.Context_.Idempotent_ || !Target.MayHaveRun_;
  if (Safe && Node.Now_ < Target.Deadline_ && hasUntriedOwner(Node, Target) &&
      mayRetry(Node, Target)) {
    retry(Node, Id);
    return;
  }
  giveUp(Node, Id);
}

// Refusals that no backend server has seen anything of.
bool isFreeMove(const CallReply &Reply) {
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

// A move to another owner that no backend server has seen anything of.
void moveOn(NodeState &Node, RequestId Id) {
  Request &Target = Node.Requests_.at(Id);
  if (!Target.Attempts_.empty())
    return;
  bool Free = Target.AttemptCount_ <= MaxFreeMoves && !Target.MayHaveRun_;
  if (Free)
    startNextAttempt(Node, Id);
  else
    tryAgain(Node, Id);
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
  giveUp(Node, Id);
}

void sendToTicketHome(NodeState &Node, RequestId Id) {
  Request &Target = Node.Requests_.at(Id);
  Ticket Value;
  parseTicket(Target.ForwardedTicket_, Value);
  const Member *Home = Node.Membership_.find(Value.Home_);
  bool Alive = Home != nullptr && Home->Incarnation_ == Value.Incarnation_ &&
               Home->Status_ != MemberStatus::Dead;
  if (!Alive || Target.AttemptCount_ >= MaxHomeTries) {
    log(Node, EventNumber::TicketRefused,
        {{"ticket", std::to_string(Value.Sequence_)}, {"home", Value.Home_}});
    answer_system::finish(Node, Id, unknownOutcome(ErrorCode::TicketHomeGone));
    return;
  }
  Attempt Fresh;
  Fresh.Sequence_ = ++Node.LastAttempt_;
  Fresh.Request_ = Id;
  Fresh.Node_ = Value.Home_;
  Fresh.Started_ = Node.Now_;
  Fresh.Tokens_ = Target.Context_.Tokens_;
  Target.Context_.Tokens_ = 0;
  ++Target.AttemptCount_;
  Target.Attempts_.insert(Fresh.Sequence_);
  logChoice(Node, Target, Fresh, {});
  Node.Peers_[Value.Home_].Owner_.onSent();
  Node.Attempts_[Fresh.Sequence_] = Fresh;
  sendToPeer(Node, Node.Attempts_[Fresh.Sequence_], Value.Home_);
}

void onReply(NodeState &Node, std::uint64_t Sequence, const CallReply &Reply) {
  std::optional<Attempt> Ended = take(Node, Sequence);
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
  bool Free = hasRouteTable(Node) ? isFreeMove(Reply)
                                  : Reply.Outcome_ == Outcome::NotRun &&
                                        Reply.Error_ == ErrorCode::Leaving;
  if (Free)
    moveOn(Node, Id);
  else
    tryAgain(Node, Id);
}

void onNeverSent(NodeState &Node, std::uint64_t Sequence) {
  std::optional<Attempt> Ended = take(Node, Sequence);
  if (!Ended)
    return;
  Node.Peers_[Ended->Node_].Owner_.onEnded();
  auto Found = Node.Requests_.find(Ended->Request_);
  if (Found == Node.Requests_.end())
    return;
  Request &Target = Found->second;
  Target.Context_.Tokens_ += Ended->Tokens_ + (Ended->Paid_ ? 1 : 0);
  // The owner itself is not to blame when its connection was.
  if (Ended->State_ == AttemptState::InDoubt)
    Target.TriedOwners_.erase(Ended->Node_);
  if (!Target.ForwardedTicket_.empty()) {
    sendToTicketHome(Node, Target.Id_);
    return;
  }
  Target.LastError_ = ErrorCode::LinkFailed;
  moveOn(Node, Target.Id_);
}

void onInDoubt(NodeState &Node, std::uint64_t Sequence) {
  auto Found = Node.Attempts_.find(Sequence);
  if (Found == Node.Attempts_.end())
    return;
  Attempt &Lost = Found->second;
  auto Owner = Node.Requests_.find(Lost.Request_);
  if (Owner == Node.Requests_.end()) {
    take(Node, Sequence);
    return;
  }
  RequestId Id = Owner->first;
  Request &Target = Owner->second;
  if (!Target.ForwardedTicket_.empty()) {
    // The home answers a repeat of a ticket with the first run's outcome, so
    // asking again is as good as revoking.
    std::uint32_t Tokens = Lost.Tokens_;
    take(Node, Sequence);
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
  LinkId Asked = Peer == nullptr ? LinkId{} : link_system::connect(Node, *Peer);
  if (Asked.Value_ == 0) {
    onReply(Node, Sequence, unknownOutcome(ErrorCode::OutcomeUnknown));
    return;
  }
  Lost.RevokeLink_ = Asked;
  log(Node, EventNumber::RevokeSent,
      {{"request", toString(Id)},
       {"attempt", std::to_string(Sequence)},
       {"owner", Lost.Node_},
       {"link", std::to_string(Asked.Value_)}});
  link_system::enqueue(Node, Asked, Sequence);
  // Idempotent work need not wait for the owner's word.
  auto Still = Node.Requests_.find(Id);
  if (Still == Node.Requests_.end() || !Still->second.Context_.Idempotent_ ||
      !hasUntriedOwner(Node, Target) || !mayRetry(Node, Still->second))
    return;
  retry(Node, Id);
}

void onRevokeAnswer(NodeState &Node, const RevokeAnswered &Input) {
  auto Found = Node.Attempts_.find(Input.Sequence_);
  if (Found == Node.Attempts_.end() || Found->second.RevokeLink_ != Input.Link_)
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
  auto Found = Node.Requests_.find(Id);
  if (Found == Node.Requests_.end())
    return;
  Request &Target = Found->second;
  // A hedge helps against a straggler; under overload it only adds work.
  if (Target.Attempts_.size() != 1 || Target.Context_.Tokens_ == 0)
    return;
  OwnerOptions Options = findOwners(Node, Target);
  if (Options.Refusing_ > 0)
    return;
  std::erase_if(Options.Accepting_, [](const Candidate &Option) {
    const LoadReport &Told = Option.Report_;
    return Told.Queued_ > 0 || Told.InFlight_ >= Told.Limit_;
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

bool cancelAttempts(NodeState &Node, Request &Owner) {
  bool Proved = true;
  const std::set<std::uint64_t> Sequences = Owner.Attempts_;
  for (std::uint64_t Sequence : Sequences) {
    std::optional<Attempt> Ended = take(Node, Sequence);
    if (!Ended)
      continue;
    learnFromTimeout(Node, *Ended, Owner.Route_);
    if (Ended->State_ == AttemptState::WaitingForLink)
      continue;
    if (Ended->Node_ == ownName(Node)) {
      auto Local = Node.WorkOfAttempt_.find(
          {ownName(Node), Node.Config_.Incarnation_, Sequence});
      if (Local != Node.WorkOfAttempt_.end())
        Proved = owner_system::cancel(Node, Local->second) && Proved;
      continue;
    }
    Proved = false;
    if (Ended->State_ == AttemptState::Sent)
      emit(Node, SendCancel{Ended->Link_, Sequence});
  }
  return Proved;
}

} // namespace fulmarshelf::attempt_system
