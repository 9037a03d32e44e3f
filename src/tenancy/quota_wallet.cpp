#include "fulmarshelf/detail/tenancy/quota_wallet.hpp"

#include <algorithm> // find_if, max, min
#include <cmath>     // exp

namespace fulmarshelf {

namespace {

constexpr double MicrosPerSecond = 1e6;
// Time constant of the decaying mean of the request rate.
constexpr double RateMemorySeconds = 1;

double decay(TimePoint Since, TimePoint Now) {
  double Seconds = static_cast<double>((Now - Since).count()) / MicrosPerSecond;
  return std::exp(-std::max(0.0, Seconds) / RateMemorySeconds);
}

} // namespace

void QuotaWallet::add(TimePoint RequestedAt, unsigned Tokens, Micros Lifetime) {
  if (Tokens == 0)
    return;
  TimePoint ExpiresAt = RequestedAt + Lifetime;
  auto Later = std::find_if(
      Batches_.begin(), Batches_.end(),
      [ExpiresAt](const Batch &Held) { return Held.ExpiresAt_ > ExpiresAt; });
  Batches_.insert(Later, {ExpiresAt, Tokens});
}

std::optional<TimePoint> QuotaWallet::spend(TimePoint Now) {
  while (!Batches_.empty() &&
         (Batches_.front().ExpiresAt_ <= Now || Batches_.front().Tokens_ == 0))
    Batches_.pop_front();
  if (Batches_.empty())
    return std::nullopt;
  --Batches_.front().Tokens_;
  return Batches_.front().ExpiresAt_;
}

void QuotaWallet::refund(TimePoint Now, TimePoint ExpiresAt) {
  if (ExpiresAt > Now)
    add(ExpiresAt, 1, Micros(0));
}

void QuotaWallet::onRequest(TimePoint Now) {
  Rate_ = Rate_ * decay(RatedAt_, Now) + 1 / RateMemorySeconds;
  RatedAt_ = Now;
}

unsigned QuotaWallet::expectedNeed(TimePoint Now) const {
  double Need = Rate_ * decay(RatedAt_, Now) *
                static_cast<double>(PrefetchTime.count()) / MicrosPerSecond;
  return static_cast<unsigned>(
      std::min(Need, static_cast<double>(MaxPrefetch)));
}

unsigned QuotaWallet::tokens(TimePoint Now) const {
  unsigned Sum = 0;
  for (const Batch &Held : Batches_)
    Sum += Held.ExpiresAt_ > Now ? Held.Tokens_ : 0;
  return Sum;
}

} // namespace fulmarshelf
