#ifndef FULMARSHELF_DETAIL_ADMISSION_RATE_LIMITER_HPP
#define FULMARSHELF_DETAIL_ADMISSION_RATE_LIMITER_HPP

#include "fulmarshelf/detail/base/time.hpp" // Micros, TimePoint

#include <optional> // optional

namespace fulmarshelf {

/// @brief Token bucket for the requests a second that a backend server accepts.
///
/// Load pattern: a backend server that needs relief names a rate, while its
/// slots stay free. All requests for it pass through the node on its VM, so one
/// bucket there bounds the requests of all nodes together. The bucket is empty
/// when a limit begins, since the requests in progress already use the rate.
class RateLimiter {
public:
  /// @brief A response of the backend server names a limit.
  /// @param Rate requests a second, at least 0
  void onNamed(TimePoint Now, double Rate);

  /// @brief A response of the backend server names no limit. The limit ends
  /// once it has not been named for EndDelay.
  /// @param SentAt time at which the answered request was sent; a response to a
  /// request that was sent before the limit was last named says nothing
  void onNotNamed(TimePoint Now, TimePoint SentAt);

  /// @brief True when a request may be sent now.
  bool mayAcquire(TimePoint Now) const;

  /// @brief Takes the token of a request that is sent now; mayAcquire() was
  /// true.
  void acquire(TimePoint Now);

  /// @brief Time until the next request may be sent.
  Micros nextDelay(TimePoint Now) const;

  /// @brief Limit that the backend server named, in requests a second; nullopt
  /// when none is in force.
  std::optional<double> namedRate() const { return NamedRate_; }

  /// @brief Requests a second that are sent; nullopt when no limit is in force.
  /// It is at least MinRate, since only responses show the end of a limit.
  std::optional<double> rate() const;

  /// @brief Time without a response that names the limit after which it ends.
  static constexpr Micros EndDelay = millis(1000);
  /// @brief Lower bound of the rate, in requests a second.
  static constexpr double MinRate = 0.5;
  /// @brief Time for which unused tokens are kept.
  static constexpr Micros BurstTime = millis(250);

private:
  double tokens(TimePoint Now) const;

  std::optional<double> NamedRate_;
  TimePoint LastNamedAt_;
  double Tokens_ = 0; ///< at UpdatedAt_
  TimePoint UpdatedAt_;
};

} // namespace fulmarshelf

#endif
