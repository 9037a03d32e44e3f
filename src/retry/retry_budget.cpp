#include "fulmarshelf/detail/retry/retry_budget.hpp"

#include <algorithm> // min

namespace fulmarshelf {

namespace {

// A long period without failures must not accumulate a burst of retries for
// the next overload.
constexpr double MaxBalance = 20;

} // namespace

void RetryBudget::onFirstAttempt(unsigned SharePercent) {
  Balance_ = std::min(MaxBalance, Balance_ + SharePercent / 100.0);
}

bool RetryBudget::tryAcquire() {
  if (Balance_ < 1)
    return false;
  Balance_ -= 1;
  return true;
}

} // namespace fulmarshelf
