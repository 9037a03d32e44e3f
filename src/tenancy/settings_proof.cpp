#include "fulmarshelf/detail/tenancy/settings_proof.hpp"

#include <algorithm> // max

namespace fulmarshelf {

void SettingsProof::onAnswer(TimePoint AskedAt, std::uint64_t Newest,
                             std::uint64_t InForce) {
  if (AskedAt < IgnoredBefore_)
    return;
  if (Newest <= InForce) {
    ProvedAt_ = std::max(ProvedAt_.value_or(AskedAt), AskedAt);
    return;
  }
  // Of two versions that are not in force yet, the later one is kept: once it
  // is in force, it is also at least as new as the earlier one.
  PendingVersion_ = std::max(PendingVersion_, Newest);
  PendingAt_ = std::max(PendingAt_.value_or(AskedAt), AskedAt);
}

void SettingsProof::onApplied(std::uint64_t InForce) {
  if (!PendingAt_ || PendingVersion_ > InForce)
    return;
  ProvedAt_ = std::max(ProvedAt_.value_or(*PendingAt_), *PendingAt_);
  PendingAt_.reset();
  PendingVersion_ = 0;
}

} // namespace fulmarshelf
