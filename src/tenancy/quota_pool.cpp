#include "fulmarshelf/detail/tenancy/quota_pool.hpp"

#include <algorithm> // clamp, max, min

namespace fulmarshelf {

namespace {

constexpr double MicrosPerSecond = 1e6;
// Share time arrives in pieces; a bucket without a burst holds this much of its
// rate, and at least one token.
constexpr double MinCapacitySeconds = 0.1;
// Part of the burst that is spread over the window.
constexpr double SpreadBurst = 0.8;
// The rest of the slack covers share time that arrives late.
constexpr double SlackShare = 0.5;
// A pool with this part of the quota counts as holding the whole one: nodes
// that have just left or joined change the divisor of the others.
constexpr double CompleteContribution = 0.8;

double secondsOf(Micros Value) {
  return static_cast<double>(Value.count()) / MicrosPerSecond;
}

// Bounded, since the rate that divides may be tiny.
Micros microsOf(double Seconds) {
  constexpr double MaxSeconds = 3600;
  return Micros(static_cast<Micros::rep>(std::min(Seconds, MaxSeconds) *
                                         MicrosPerSecond));
}

unsigned wholeTokens(double Tokens) {
  constexpr double MaxWholeTokens = 1e6;
  return static_cast<unsigned>(std::min(Tokens, MaxWholeTokens));
}

} // namespace

QuotaBucket quotaBucket(const Quota &Limit, Micros Window, double Slack) {
  return {Limit.RatePerSecond_ +
              SpreadBurst * Limit.Burst_ / std::max(secondsOf(Window), 1.0),
          (1 - SpreadBurst) * Limit.Burst_ + Slack * SlackShare};
}

void QuotaPool::onShareTime(TimePoint Now, Micros ShareTime, Micros Window) {
  Window_ = Window;
  TotalShareTime_ += ShareTime;
  Recent_.emplace_back(Now, ShareTime);
  while (Recent_.front().first + Window_ < Now)
    Recent_.pop_front();
}

double QuotaPool::contribution(TimePoint Now) const {
  Micros Moved{0};
  for (const std::pair<TimePoint, Micros> &Move : Recent_)
    if (Move.first + Window_ >= Now)
      Moved += Move.second;
  return std::min(1.0, secondsOf(Moved) / secondsOf(Window_));
}

// The capacity follows the contribution, so that the bursts of two pools of one
// partition add up to one burst.
void QuotaPool::refill(TimePoint Now, const QuotaBucket &Limit,
                       Bucket &Tenant) const {
  double Capacity = std::max({Limit.Capacity_ * contribution(Now),
                              Limit.RatePerSecond_ * MinCapacitySeconds, 1.0});
  double Added =
      Limit.RatePerSecond_ * secondsOf(TotalShareTime_ - Tenant.ShareTimeSeen_);
  Tenant.Tokens_ = std::min(Capacity, Tenant.Tokens_ + Added);
  Tenant.ShareTimeSeen_ = TotalShareTime_;
}

QuotaGrant QuotaPool::take(TimePoint Now, const std::string &Tenant,
                           const QuotaBucket &Limit, unsigned Needed,
                           unsigned Ahead) {
  Bucket &Entry = Buckets_[Tenant];
  refill(Now, Limit, Entry);
  double Contribution = contribution(Now);
  QuotaGrant Grant;
  Grant.Complete_ = Contribution >= CompleteContribution;
  unsigned ForWaiting = std::min(Needed, wholeTokens(Entry.Tokens_));
  Entry.Tokens_ -= ForWaiting;
  unsigned ForExpected = std::min(Ahead, wholeTokens(Entry.Tokens_ / 2));
  Entry.Tokens_ -= ForExpected;
  Grant.Tokens_ = ForWaiting + ForExpected;
  unsigned Missing = Needed - ForWaiting;
  double Rate = Limit.RatePerSecond_ * Contribution;
  if (Missing == 0)
    return Grant;
  Grant.RoomIn_ = MaxRoomDelay;
  if (Rate <= 0)
    return Grant;
  TimePoint NextToken = Now + microsOf((1 - Entry.Tokens_) / Rate);
  TimePoint Promised =
      std::max(Entry.NextRoomAt_, Now) + microsOf(Missing / Rate);
  Entry.NextRoomAt_ =
      std::max(NextToken, std::min(Promised, Now + MaxRoomDelay));
  Grant.RoomIn_ =
      std::clamp<Micros>(Entry.NextRoomAt_ - Now, MinRoomDelay, MaxRoomDelay);
  return Grant;
}

void QuotaPool::retain(const TenantDirectory &InForce) {
  std::erase_if(Buckets_, [&InForce](const auto &Entry) {
    return InForce.findByName(Entry.first) == nullptr;
  });
}

} // namespace fulmarshelf
