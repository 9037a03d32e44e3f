#ifndef FULMARSHELF_DETAIL_TENANCY_QUOTA_POOL_HPP
#define FULMARSHELF_DETAIL_TENANCY_QUOTA_POOL_HPP

#include "fulmarshelf/detail/base/time.hpp"                // Micros, TimePoint
#include "fulmarshelf/detail/settings/tenant.hpp"          // Quota
#include "fulmarshelf/detail/tenancy/tenant_directory.hpp" // TenantDirectory

#include <deque>         // deque
#include <string>        // string
#include <unordered_map> // unordered_map
#include <utility>       // pair

namespace fulmarshelf {

/// @brief Answer of a pool to a request for tokens.
struct QuotaGrant {
  unsigned Tokens_ = 0;
  Micros RoomIn_{0}; ///< time until the pool has another token
  /// Whether the pool had the whole quota, so that a missing token means that
  /// the tenant is over its quota.
  bool Complete_ = false;
  friend bool operator==(const QuotaGrant &, const QuotaGrant &) = default;
};

/// @brief Token bucket that keeps a quota in every window of a given length.
///
/// A quota permits its rate over the window plus its burst in each window. A
/// part of the burst is spread over the window and raises the rate, so that a
/// tenant that sends steadily is not refused what the quota permits; the rest
/// is the capacity of the bucket.
struct QuotaBucket {
  double RatePerSecond_ = 0;
  double Capacity_ = 0; ///< tokens
  friend bool operator==(const QuotaBucket &, const QuotaBucket &) = default;
};

/// @brief Bucket for a quota.
/// @param Window length of the windows
/// @param Slack tokens that are tolerated beyond the quota in each window; half
/// of them go to the capacity, so that a tenant of a low rate may send several
/// requests at once
QuotaBucket quotaBucket(const Quota &Limit, Micros Window, double Slack);

/// @brief Tokens of the tenants of one partition, as far as this node holds
/// them. One token permits one request.
///
/// Each node of the mesh owns an equal part of every quota and moves it to the
/// pool in the form of share time: the time that has passed for this node,
/// divided by the number of nodes. One microsecond of share time is worth one
/// microsecond of each tenant's rate. Tokens are moved and never copied, so two
/// nodes that both keep a pool of a partition, on the two sides of a cut, have
/// no more than one quota between them. A pool starts without tokens.
class QuotaPool {
public:
  /// @brief Adds share time that a node has moved to this pool.
  /// @param Window time over which all nodes move share time at least twice
  void onShareTime(TimePoint Now, Micros ShareTime, Micros Window);

  /// @brief Takes tokens of a tenant.
  /// @param Needed tokens for requests that wait
  /// @param Ahead tokens for requests that are expected; at most half of the
  /// remaining tokens is used for them, so that other entries find some
  /// @return tokens, and the time until the needed ones that are missing will
  /// be there, after those that were promised to earlier callers
  QuotaGrant take(TimePoint Now, const std::string &Tenant,
                  const QuotaBucket &Limit, unsigned Needed, unsigned Ahead);

  /// @brief Part of the whole quota that the nodes moved here recently, from 0
  /// to 1.
  double contribution(TimePoint Now) const;

  /// @brief Removes the tenants that are not in force any more.
  void retain(const TenantDirectory &InForce);

  std::size_t tenants() const { return Buckets_.size(); }

  /// @brief Bounds of the time until there is room.
  static constexpr Micros MinRoomDelay = millis(10);
  static constexpr Micros MaxRoomDelay = millis(3000);

private:
  struct Bucket {
    double Tokens_ = 0;
    Micros ShareTimeSeen_{0}; ///< of TotalShareTime_
    TimePoint NextRoomAt_;    ///< promised to the last caller without a token
  };

  void refill(TimePoint Now, const QuotaBucket &Limit, Bucket &Tenant) const;

  Micros TotalShareTime_{0};
  Micros Window_ = millis(1000);
  std::deque<std::pair<TimePoint, Micros>> Recent_; ///< moves within Window_
  std::unordered_map<std::string, Bucket> Buckets_;
};

} // namespace fulmarshelf

#endif
