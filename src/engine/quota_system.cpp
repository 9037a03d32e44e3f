#include "fulmarshelf/detail/engine/answers.hpp" // notRun
#include "fulmarshelf/detail/engine/systems.hpp" // quota_system
#include "quota_shares.hpp"                      // quotaPoolNode

#include <algorithm> // clamp, max_element, min
#include <random>    // uniform_real_distribution
#include <utility>   // move

namespace fulmarshelf::quota_system {

namespace {

// Part of the tolerated overage that tokens use between their request and their
// use; the rest covers share time that arrives late.
constexpr double LifetimeShare = 0.8;
constexpr Micros MinTokenLifetime = millis(50);
constexpr Micros MaxTokenLifetime = millis(1000);
constexpr Micros AnswerTimeout = millis(150);
constexpr unsigned MaxUnanswered = 2;
// A request waits for a token no longer than this, and no longer than a part of
// the time that its caller waits.
constexpr Micros MaxHoldTime = millis(400);
constexpr int HoldDivisor = 3;
// Requests of one tenant that wait at a time.
constexpr std::size_t MaxHeld = 1000;
constexpr Micros MaxWaitForRoom = millis(150);
// Time for which a refusal by the pool holds for later requests as well.
constexpr Micros MaxRefusalTime = millis(100);
constexpr Micros MinRetryAfter = millis(300);
// Callers that were refused together come back spread over this part of the
// time until there is room.
constexpr double RetryAfterSpread = 0.5;

Micros tokenLifetime(const NodeState &Node) {
  const MeshBounds &Bounds = Node.Config_.Settings_.Bounds_;
  Micros Tolerated(static_cast<Micros::rep>(
      static_cast<double>(Bounds.QuotaWindow_.count()) * Bounds.QuotaOverage_ *
      LifetimeShare));
  return std::clamp(Tolerated, MinTokenLifetime, MaxTokenLifetime);
}

const Tenant *limitedTenant(const NodeState &Node, const std::string &Name) {
  const Tenant *Known = Node.Settings_.tenants().findByName(Name);
  return Known != nullptr && Known->Quota_.isLimited() ? Known : nullptr;
}

QuotaBucket bucketOf(const NodeState &Node, const Tenant &Limited) {
  const MeshBounds &Bounds = Node.Config_.Settings_.Bounds_;
  return quotaBucket(Limited.Quota_, Bounds.QuotaWindow_, Bounds.QuotaSlack_);
}

TenantTokens &tokensOf(NodeState &Node, const std::string &Tenant) {
  QuotaState &Quotas = Node.Quotas_;
  TenantTokens &Tokens = Quotas.Tenants_[Tenant];
  if (Tokens.Number_ == 0) {
    Tokens.Number_ = ++Quotas.LastTenant_;
    Quotas.TenantOfNumber_[Tokens.Number_] = Tenant;
  }
  return Tokens;
}

HeldRequest takeHeld(NodeState &Node, RequestId Id) {
  auto Entry = Node.Quotas_.Held_.find(Id);
  HeldRequest Held = std::move(Entry->second);
  Node.Quotas_.Held_.erase(Entry);
  std::erase(tokensOf(Node, Held.Request_.Context_.Tenant_).Held_, Id);
  return Held;
}

CallReply refusalFor(NodeState &Node, const QuotaGrant &Grant) {
  std::uniform_real_distribution<double> Spread(1, 1 + RetryAfterSpread);
  auto RetryAfter = static_cast<Micros::rep>(
      static_cast<double>(std::max(Grant.RoomIn_, MinRetryAfter).count()) *
      Spread(Node.Random_));
  return notRun(Grant.Complete_ ? ErrorCode::QuotaExceeded
                                : ErrorCode::QuotaUnavailable,
                Micros(RetryAfter));
}

void countRefusal(NodeState &Node, const std::string &Tenant,
                  const CallReply &Reply) {
  TenantCounts &Counts = Node.Quotas_.Counts_[Tenant];
  ++(Reply.Error_ == ErrorCode::QuotaExceeded ? Counts.OverQuota_
                                              : Counts.NoTokens_);
}

void refuse(NodeState &Node, RequestId Id, const QuotaGrant &Grant) {
  HeldRequest Held = takeHeld(Node, Id);
  CallReply Reply = refusalFor(Node, Grant);
  countRefusal(Node, Held.Request_.Context_.Tenant_, Reply);
  entry_system::refuseHeld(Node, Held, Reply);
}

// Most important request that waits for a token; of several, the oldest one.
RequestId nextHeld(const NodeState &Node, const TenantTokens &Tokens) {
  auto ImportanceOf = [&Node](RequestId Id) {
    return importanceOf(Node.Quotas_.Held_.at(Id).Request_.Context_.Rank_);
  };
  return *std::max_element(Tokens.Held_.begin(), Tokens.Held_.end(),
                           [&](RequestId Left, RequestId Right) {
                             return ImportanceOf(Left) < ImportanceOf(Right);
                           });
}

void serveHeld(NodeState &Node, const std::string &Tenant) {
  TenantTokens &Tokens = tokensOf(Node, Tenant);
  while (!Tokens.Held_.empty()) {
    std::optional<TimePoint> ExpiresAt = Tokens.Wallet_.spend(bootTime(Node));
    if (!ExpiresAt)
      return;
    HeldRequest Held = takeHeld(Node, nextHeld(Node, Tokens));
    Held.Request_.TokenExpiresAt_ = ExpiresAt;
    ++Node.Quotas_.Counts_[Tenant].Admitted_;
    entry_system::resume(Node, std::move(Held));
  }
}

void requestTokens(NodeState &Node, const std::string &Tenant);

// Requests that still wait get the tokens of the near future, or are refused.
void onGranted(NodeState &Node, const std::string &Tenant, TimePoint AskedAt,
               const QuotaGrant &Grant, bool Partly) {
  TenantTokens &Tokens = tokensOf(Node, Tenant);
  Tokens.Wallet_.add(AskedAt, Grant.Tokens_, tokenLifetime(Node));
  Tokens.LastGrant_ = Grant;
  serveHeld(Node, Tenant);
  if (Tokens.Held_.empty() || Tokens.Question_ != 0 || Tokens.RetrySet_)
    return;
  if (!Partly) {
    requestTokens(Node, Tenant);
    return;
  }
  if (Grant.RoomIn_ <= MaxWaitForRoom) {
    Tokens.RetrySet_ = true;
    setTimer(Node, Grant.RoomIn_, TimerKind::TokensRetry, Tokens.Number_);
    return;
  }
  Tokens.NoRoomUntil_ = Node.Now_ + std::min(Grant.RoomIn_, MaxRefusalTime);
  while (!Tokens.Held_.empty())
    refuse(Node, Tokens.Held_.front(), Grant);
}

// Requests the tokens that waiting requests and those of the near future need.
void requestTokens(NodeState &Node, const std::string &Tenant) {
  const fulmarshelf::Tenant *Limited = limitedTenant(Node, Tenant);
  TenantTokens &Tokens = tokensOf(Node, Tenant);
  auto Needed = static_cast<unsigned>(Tokens.Held_.size());
  unsigned Ahead = Tokens.Wallet_.expectedNeed(bootTime(Node));
  if (Limited == nullptr || Needed + Ahead == 0)
    return;
  QuotaState &Quotas = Node.Quotas_;
  std::uint32_t Partition = quotaPartitionOf(Tenant);
  const std::string &PoolNode = quotaPoolNode(Node, Partition);
  if (PoolNode == localNodeName(Node)) {
    QuotaGrant Grant = Quotas.Pools_[Partition].take(
        Node.Now_, Tenant, bucketOf(Node, *Limited), Needed, Ahead);
    onGranted(Node, Tenant, bootTime(Node), Grant, Grant.Tokens_ < Needed);
    return;
  }
  const Member *Pool = Node.Membership_.find(PoolNode);
  if (Pool == nullptr)
    return;
  std::uint64_t Id = ++Quotas.LastQuestion_;
  Tokens.Question_ = Id;
  Quotas.Questions_[Id] = {Tenant, PoolNode, Partition, Needed, bootTime(Node)};
  setTimer(Node, AnswerTimeout, TimerKind::TokensAnswer, Id);
  emit(Node,
       SendDatagram{Pool->Peer_, encode(TokensRequested{Id, Partition, Needed,
                                                        Ahead, Tenant})});
}

} // namespace

bool isLimited(const NodeState &Node, const Request &NewRequest) {
  const std::string &Tenant = NewRequest.Context_.Tenant_;
  return !Tenant.empty() && limitedTenant(Node, Tenant) != nullptr;
}

bool trySpend(NodeState &Node, Request &NewRequest) {
  const std::string &Tenant = NewRequest.Context_.Tenant_;
  TenantTokens &Tokens = tokensOf(Node, Tenant);
  TimePoint Now = bootTime(Node);
  Tokens.Wallet_.onRequest(Now);
  if (!Tokens.Held_.empty())
    return false;
  NewRequest.TokenExpiresAt_ = Tokens.Wallet_.spend(Now);
  if (!NewRequest.TokenExpiresAt_)
    return false;
  ++Node.Quotas_.Counts_[Tenant].Admitted_;
  bool Idle = Tokens.Question_ == 0 && !Tokens.RetrySet_ &&
              Node.Now_ >= Tokens.NoRoomUntil_;
  if (Idle && Tokens.Wallet_.tokens(Now) == 0)
    requestTokens(Node, Tenant);
  return true;
}

std::optional<CallReply> refusal(NodeState &Node, const Request &NewRequest) {
  const std::string &Tenant = NewRequest.Context_.Tenant_;
  TenantTokens &Tokens = tokensOf(Node, Tenant);
  bool HasRoom = Tokens.Held_.size() < MaxHeld;
  if (HasRoom && Node.Now_ >= Tokens.NoRoomUntil_)
    return std::nullopt;
  CallReply Reply =
      refusalFor(Node, HasRoom ? Tokens.LastGrant_ : QuotaGrant());
  countRefusal(Node, Tenant, Reply);
  return Reply;
}

void hold(NodeState &Node, HeldRequest Held) {
  RequestId Id = Held.Request_.Id_;
  std::string Tenant = Held.Request_.Context_.Tenant_;
  Micros HoldTime =
      std::min(MaxHoldTime, Held.Request_.Context_.TimeLeft_ / HoldDivisor);
  for (const Waiter &To : Held.Request_.Waiters_)
    if (const CallerKey *Caller = std::get_if<CallerKey>(&To))
      Node.RequestOfCaller_[*Caller] = Id;
  TenantTokens &Tokens = tokensOf(Node, Tenant);
  Tokens.Held_.push_back(Id);
  Node.Quotas_.Held_.emplace(Id, std::move(Held));
  setTimer(Node, HoldTime, TimerKind::HeldRequest, Id.Value_);
  if (Tokens.Question_ == 0 && !Tokens.RetrySet_)
    requestTokens(Node, Tenant);
}

bool drop(NodeState &Node, RequestId Id) {
  if (!Node.Quotas_.Held_.contains(Id))
    return false;
  takeHeld(Node, Id);
  return true;
}

void refund(NodeState &Node, const Request &Answered) {
  if (Answered.TokenExpiresAt_)
    tokensOf(Node, Answered.Context_.Tenant_)
        .Wallet_.refund(bootTime(Node), *Answered.TokenExpiresAt_);
}

void onApplied(NodeState &Node) {
  QuotaState &Quotas = Node.Quotas_;
  const TenantDirectory &InForce = Node.Settings_.tenants();
  for (std::pair<const std::uint32_t, QuotaPool> &Pool : Quotas.Pools_)
    Pool.second.retain(InForce);
  if (InForce.hasQuotas())
    startMoving(Node);
  // Requests that wait for a token of a tenant without a quota go on.
  std::vector<RequestId> Free;
  for (const std::pair<const RequestId, HeldRequest> &Held : Quotas.Held_)
    if (!isLimited(Node, Held.second.Request_))
      Free.push_back(Held.first);
  for (RequestId Id : Free)
    entry_system::resume(Node, takeHeld(Node, Id));
  std::erase_if(Quotas.Counts_, [&InForce](const auto &Entry) {
    return InForce.findByName(Entry.first) == nullptr;
  });
  std::erase_if(Quotas.Tenants_, [&](const auto &Entry) {
    if (InForce.findByName(Entry.first) != nullptr)
      return false;
    Quotas.TenantOfNumber_.erase(Entry.second.Number_);
    return true;
  });
}

// An answer that arrives after its timeout still counts while its tokens are
// valid.
void onAnswerTimeout(NodeState &Node, std::uint64_t Question) {
  QuotaState &Quotas = Node.Quotas_;
  auto Entry = Quotas.Questions_.find(Question);
  if (Entry == Quotas.Questions_.end())
    return;
  if (Entry->second.TimedOut_) {
    Quotas.Questions_.erase(Entry);
    return;
  }
  Entry->second.TimedOut_ = true;
  setTimer(Node, tokenLifetime(Node), TimerKind::TokensAnswer, Question);
  const std::string Tenant = Entry->second.Tenant_;
  QuotaPartition &Partition = Quotas.Partitions_[Entry->second.Partition_];
  if (Partition.PoolNode_ == Entry->second.PoolNode_ &&
      ++Partition.Unanswered_ >= MaxUnanswered)
    avoidQuotaPool(Node, Entry->second.PoolNode_);
  TenantTokens &Tokens = tokensOf(Node, Tenant);
  if (Tokens.Question_ != Question)
    return;
  Tokens.Question_ = 0;
  if (!Tokens.Held_.empty())
    requestTokens(Node, Tenant);
}

void onRetry(NodeState &Node, std::uint64_t Number) {
  auto Entry = Node.Quotas_.TenantOfNumber_.find(Number);
  if (Entry == Node.Quotas_.TenantOfNumber_.end())
    return;
  const std::string Tenant = Entry->second;
  TenantTokens &Tokens = tokensOf(Node, Tenant);
  Tokens.RetrySet_ = false;
  if (!Tokens.Held_.empty() && Tokens.Question_ == 0)
    requestTokens(Node, Tenant);
}

void onHoldTimeout(NodeState &Node, RequestId Id) {
  auto Entry = Node.Quotas_.Held_.find(Id);
  if (Entry == Node.Quotas_.Held_.end())
    return;
  QuotaGrant Grant =
      tokensOf(Node, Entry->second.Request_.Context_.Tenant_).LastGrant_;
  // Without an answer of the pool the tenant may be within its quota.
  Grant.Complete_ = false;
  refuse(Node, Id, Grant);
}

void receive(NodeState &Node, const Endpoint &From,
             const TokensRequested &Message) {
  const Tenant *Limited = limitedTenant(Node, Message.Tenant_);
  std::uint32_t Partition = quotaPartitionOf(Message.Tenant_);
  QuotaGrant Grant;
  if (Limited != nullptr)
    Grant = Node.Quotas_.Pools_[Partition].take(
        Node.Now_, Message.Tenant_, bucketOf(Node, *Limited), Message.Needed_,
        Message.Ahead_);
  emit(Node, SendDatagram{From, encode(TokensGranted{Message.Id_, Grant})});
}

void receive(NodeState &Node, const TokensGranted &Message) {
  QuotaState &Quotas = Node.Quotas_;
  auto Entry = Quotas.Questions_.find(Message.Id_);
  if (Entry == Quotas.Questions_.end())
    return;
  TokensQuestion Question = std::move(Entry->second);
  Quotas.Questions_.erase(Entry);
  QuotaPartition &Partition = Quotas.Partitions_[Question.Partition_];
  if (Partition.PoolNode_ == Question.PoolNode_)
    Partition.Unanswered_ = 0;
  TenantTokens &Tokens = tokensOf(Node, Question.Tenant_);
  if (Tokens.Question_ == Message.Id_)
    Tokens.Question_ = 0;
  onGranted(Node, Question.Tenant_, Question.AskedAt_, Message.Grant_,
            Message.Grant_.Tokens_ < Question.Needed_);
}

} // namespace fulmarshelf::quota_system
