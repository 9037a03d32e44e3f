#include "fulmarshelf/detail/admission/rate_limiter.hpp"

#include <algorithm> // max, min
#include <cmath>     // ceil

namespace fulmarshelf {

namespace {

constexpr double MicrosPerSecond = 1e6;
// Tolerates rounding, so that a request is sent at the time that nextDelay()
// returned.
constexpr double FullToken = 1 - 1e-6;

} // namespace

void RateLimiter::onNamed(TimePoint Now, double Rate) {
  Tokens_ = NamedRate_ ? tokens(Now) : 0;
  UpdatedAt_ = Now;
  NamedRate_ = Rate;
  LastNamedAt_ = Now;
}

void RateLimiter::onNotNamed(TimePoint Now, TimePoint SentAt) {
  if (SentAt >= LastNamedAt_ && Now - LastNamedAt_ >= EndDelay)
    NamedRate_.reset();
}

std::optional<double> RateLimiter::rate() const {
  if (!NamedRate_)
    return std::nullopt;
  return std::max(*NamedRate_, MinRate);
}

double RateLimiter::tokens(TimePoint Now) const {
  double Rate = rate().value_or(MinRate);
  double Capacity = std::max(
      1.0, Rate * static_cast<double>(BurstTime.count()) / MicrosPerSecond);
  double Refill =
      Rate * static_cast<double>((Now - UpdatedAt_).count()) / MicrosPerSecond;
  return std::min(Capacity, Tokens_ + Refill);
}

bool RateLimiter::mayAcquire(TimePoint Now) const {
  return !NamedRate_ || tokens(Now) >= FullToken;
}

void RateLimiter::acquire(TimePoint Now) {
  if (!NamedRate_)
    return;
  Tokens_ = std::max(0.0, tokens(Now) - 1);
  UpdatedAt_ = Now;
}

Micros RateLimiter::nextDelay(TimePoint Now) const {
  if (mayAcquire(Now))
    return Micros(0);
  double Missing = 1 - tokens(Now);
  return Micros(
      static_cast<Micros::rep>(std::ceil(Missing / *rate() * MicrosPerSecond)));
}

} // namespace fulmarshelf
