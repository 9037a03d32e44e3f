#ifndef FULMARSHELF_DETAIL_WIRE_MESSAGES_HPP
#define FULMARSHELF_DETAIL_WIRE_MESSAGES_HPP

#include "fulmarshelf/detail/base/error.hpp"        // ErrorCode
#include "fulmarshelf/detail/base/ids.hpp"          // AttemptId
#include "fulmarshelf/detail/base/time.hpp"         // Micros
#include "fulmarshelf/detail/wire/http.hpp"         // HttpRequest, HttpResponse
#include "fulmarshelf/detail/wire/route_origin.hpp" // RouteOrigin

#include <array>       // array
#include <cstdint>     // uint32_t
#include <string>      // string
#include <string_view> // string_view

namespace fulmarshelf {

/// @brief Execution state of a request at its final answer.
enum class Outcome : std::uint8_t {
  Complete, ///< complete response from the backend server
  NotRun,   ///< proved that no backend server ran the request
  Unknown,  ///< a backend server may have run the request
};

/// @brief `complete`, `not-run` or `unknown`.
std::string_view outcomeName(Outcome Value);

/// @brief Reads the name of an outcome.
/// @return false when no outcome has this name
bool parseOutcome(std::string_view Name, Outcome &Value);

/// @brief Priority of a request in the shedding order; a higher rank is shed
/// later.
///
/// From the most significant bits down, a rank holds the importance (0 to 9),
/// whether the call belongs to a running request, and a hash of the root
/// request. The hash makes every node shed the same roots.
using Rank = std::uint32_t;

/// @brief Number of low bits that hold the hash of the root request.
inline constexpr unsigned RankHashBits = 16;

/// @brief Builds a rank.
/// @param Importance from 0 to 9
/// @param Committed true for a call made on behalf of a running request
/// @param RootHash any hash of the root request's id
constexpr Rank makeRank(unsigned Importance, bool Committed,
                        std::uint64_t RootHash) {
  const Rank Mask = (1U << RankHashBits) - 1;
  return (Importance << (RankHashBits + 1)) |
         ((Committed ? 1U : 0U) << RankHashBits) |
         (static_cast<Rank>(RootHash) & Mask);
}

/// @brief Importance in a rank, 0 to 9.
constexpr unsigned importanceOf(Rank Value) {
  return Value >> (RankHashBits + 1);
}

/// @brief Number of importance values.
inline constexpr std::size_t ImportanceCount = 10;

/// @brief Admitted share of the requests of each importance, in parts of
/// FullShare.
using AdmittedShares = std::array<std::uint8_t, ImportanceCount>;
inline constexpr std::uint8_t FullShare = 255;
inline constexpr AdmittedShares FullShares = {
    FullShare, FullShare, FullShare, FullShare, FullShare,
    FullShare, FullShare, FullShare, FullShare, FullShare};

/// @brief Admitted shares at one owner.
struct OwnerShares {
  /// Admitted share of all root requests, including those that were refused.
  AdmittedShares Admitted_ = FullShares;
  /// Admitted share of the calls from the local failure domain.
  AdmittedShares Local_ = FullShares;
  /// Admitted share of the calls that remote failure domains would send.
  AdmittedShares Remote_ = FullShares;
  friend bool operator==(const OwnerShares &, const OwnerShares &) = default;
};

/// @brief The smaller of two shares for each importance.
AdmittedShares minShares(const AdmittedShares &Left,
                         const AdmittedShares &Right);

/// @brief Context that a call inherits from the root request of its chain.
struct CallContext {
  std::string Root_;
  std::string Caller_; ///< caller kind or calling service of the root
  std::string Route_;  ///< key under which the service time is recorded
  std::string CallerRequestId_; ///< request id from the caller; empty: none
  std::string Tenant_; ///< tenant of the caller's credential; empty: none
  Rank Rank_ = 0;
  std::uint32_t Depth_ = 0;  ///< number of its ancestors in the chain of calls
  std::uint32_t Tokens_ = 0; ///< retries that this call may use
  Micros TimeLeft_{0};       ///< time until the caller's deadline
  double DemandWeight_ = 1;  ///< root requests that the call represents
  double PlacementWeight_ = 1; ///< calls to the owner that it represents
  bool InRootDomain_ = true;   ///< the whole chain is in the root's domain
  bool Idempotent_ = true;
  bool Repeat_ = false;  ///< a backend server may already have run this request
  bool Suspect_ = false; ///< a backend server lost its answer before
  friend bool operator==(const CallContext &, const CallContext &) = default;
};

/// @brief An attempt that an entry sends to an owner or to a ticket's home.
struct CallMessage {
  AttemptId Attempt_;
  std::uint64_t Link_ = 0;        ///< link id at the sender
  Incarnation ToIncarnation_ = 0; ///< incarnation of the intended receiver
  CallContext Context_;
  std::string Ticket_; ///< set when the receiver is the ticket's home
  HttpRequest Request_;
  friend bool operator==(const CallMessage &, const CallMessage &) = default;
};

/// @brief Load report that an owner sends with each answer.
struct LoadReport {
  Rank Level_ = 0; ///< lowest rank that is currently admitted
  std::uint32_t InFlight_ = 0;
  std::uint32_t Queued_ = 0;
  std::uint32_t Limit_ = 0;
  bool Leaving_ = false;
  Micros QueueDelay_{0}; ///< expected queue delay of a call that arrives now
  std::uint8_t FailureShare_ = 0; ///< failed calls, in parts of FullShare
  /// Smallest shares of this owner and of the routes that the answered route
  /// calls.
  OwnerShares Shares_;
  /// Origin of the answered route's requests, as the owner sees it.
  RouteOrigin RouteOrigin_ = RouteOrigin::Undecided;
  friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/// @brief Final answer to one attempt.
struct CallReply {
  Outcome Outcome_ = Outcome::Unknown;
  ErrorCode Error_ = ErrorCode::OutcomeUnknown; ///< not used when Complete
  std::uint32_t TokensLeft_ = 0;
  Micros RetryAfter_{0};
  bool Replayed_ = false;
  Micros ServiceTime_{0}; ///< at the backend server; 0: unknown
  LoadReport Load_;
  HttpResponse Response_; ///< set when Complete
  friend bool operator==(const CallReply &, const CallReply &) = default;
};

/// @brief Asks an owner to fence the connection of an attempt and to report the
/// outcome of the attempt.
struct RevokeMessage {
  AttemptId Attempt_;
  std::uint64_t Link_ = 0; ///< link on which the attempt was sent
  Incarnation ToIncarnation_ = 0;
  friend bool operator==(const RevokeMessage &,
                         const RevokeMessage &) = default;
};

/// @brief Outcome of a revoked attempt at its owner. The owner delays the
/// answer to a revocation while the attempt runs.
enum class RevokeResult : std::uint8_t {
  NotStarted, ///< the attempt did not run and never will
  Finished,   ///< the attempt has ended; its reply with the outcome is included
  Unknown,    ///< the owner does not know the outcome
};

/// @brief Answer to a RevokeMessage.
struct RevokeReply {
  RevokeResult Result_ = RevokeResult::Unknown;
  CallReply Reply_; ///< set when Finished
  friend bool operator==(const RevokeReply &, const RevokeReply &) = default;
};

} // namespace fulmarshelf

#endif
