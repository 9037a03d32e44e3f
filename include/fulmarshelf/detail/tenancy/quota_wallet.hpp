#ifndef FULMARSHELF_DETAIL_TENANCY_QUOTA_WALLET_HPP
#define FULMARSHELF_DETAIL_TENANCY_QUOTA_WALLET_HPP

#include "fulmarshelf/detail/base/time.hpp" // Micros, TimePoint

#include <deque>    // deque
#include <optional> // optional

namespace fulmarshelf {

/// @brief Tokens of one tenant that an entry has got from a pool and may spend
/// until they expire, and the rate at which it needs them.
///
/// Times are on the clock that also runs while the process is suspended. Tokens
/// expire a fixed time after they were requested: a token that was granted is
/// spent soon after or never, so that tokens of different times do not add up
/// within one quota window.
class QuotaWallet {
public:
  /// @brief Adds tokens that were granted.
  /// @param RequestedAt time at which they were requested
  void add(TimePoint RequestedAt, unsigned Tokens, Micros Lifetime);

  /// @brief Spends the token that expires first.
  /// @return its expiry; nullopt when there is none
  std::optional<TimePoint> spend(TimePoint Now);

  /// @brief Takes back the token of a request that no backend server has run.
  /// A token that has expired since is lost.
  void refund(TimePoint Now, TimePoint ExpiresAt);

  /// @brief Notes a request of the tenant.
  void onRequest(TimePoint Now);

  /// @brief Number of tokens to request in advance: those that the requests of
  /// the next PrefetchTime are expected to need.
  unsigned expectedNeed(TimePoint Now) const;

  /// @brief Valid tokens.
  unsigned tokens(TimePoint Now) const;

  /// @brief Time for which tokens are requested in advance.
  static constexpr Micros PrefetchTime = millis(250);
  /// @brief Largest number of tokens that are requested in advance.
  static constexpr unsigned MaxPrefetch = 64;

private:
  struct Batch {
    TimePoint ExpiresAt_;
    unsigned Tokens_ = 0;
  };

  std::deque<Batch> Batches_; ///< in order of their expiry
  double Rate_ = 0;           ///< requests a second, at RatedAt_
  TimePoint RatedAt_;
};

} // namespace fulmarshelf

#endif
