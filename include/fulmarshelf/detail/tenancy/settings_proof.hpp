#ifndef FULMARSHELF_DETAIL_TENANCY_SETTINGS_PROOF_HPP
#define FULMARSHELF_DETAIL_TENANCY_SETTINGS_PROOF_HPP

#include "fulmarshelf/detail/base/time.hpp" // TimePoint

#include <cstdint>  // uint64_t
#include <optional> // optional

namespace fulmarshelf {

/// @brief Latest time at which the settings in force are proved to have been
/// the newest of the store.
///
/// A proof is the answer to a question, to the store or to a node that has a
/// proof itself. It is dated by the time at which the question was asked, since
/// the answer may be delayed on its way. Times are on the clock that also runs
/// while the process is suspended.
class SettingsProof {
public:
  /// @brief A question was answered: at that time, Newest was the newest
  /// version.
  /// @param InForce version in force on this node
  void onAnswer(TimePoint AskedAt, std::uint64_t Newest, std::uint64_t InForce);

  /// @brief A version came into force on this node.
  void onApplied(std::uint64_t InForce);

  /// @brief Ignores answers to questions from before this time from now on.
  /// Earlier proofs remain valid.
  void ignoreBefore(TimePoint Since) { IgnoredBefore_ = Since; }

  /// @brief Time for which the settings in force are proved; nullopt when they
  /// never were.
  const std::optional<TimePoint> &provedAt() const { return ProvedAt_; }

private:
  std::optional<TimePoint> ProvedAt_;
  std::optional<TimePoint> PendingAt_; ///< newest proof of PendingVersion_
  std::uint64_t PendingVersion_ = 0;   ///< not in force here yet
  TimePoint IgnoredBefore_{};
};

} // namespace fulmarshelf

#endif
