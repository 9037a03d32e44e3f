#ifndef FULMARSHELF_DETAIL_WIRE_MESSAGES_HPP
#define FULMARSHELF_DETAIL_WIRE_MESSAGES_HPP

#include "fulmarshelf/detail/base/error.hpp" // ErrorCode
#include "fulmarshelf/detail/base/ids.hpp"   // AttemptId
#include "fulmarshelf/detail/base/time.hpp"  // Micros
#include "fulmarshelf/detail/wire/http.hpp"  // HttpRequest, HttpResponse

#include <array>       // array
#include <cstdint>     // uint32_t
#include <string>      // string
#include <string_view> // string_view

namespace fulmarshelf {

/// @brief What is known about a request that got its final answer.
enum class Outcome : std::uint8_t {
  Complete, ///< the backend server's own whole answer
  NotRun,   ///< proved that no backend server ran it
  Unknown,  ///< it may have run
};

/// @brief `complete`, `not-run` or `unknown`.
std::string_view outcomeName(Outcome Value);

/// @brief Reads the name of an outcome.
/// @return false when it is none
bool parseOutcome(std::string_view Name, Outcome &Result);

/// @brief Importance and place of a request in the order of shedding.
///
/// A higher rank is shed later. The parts from the top: importance (0 to 9),
/// whether the chain has already begun, and a hash of the root request, so
/// that every node sheds the same roots.
using Rank = std::uint32_t;

/// @brief Number of low bits that hold the hash of the root request.
inline constexpr unsigned RankHashBits = 16;

/// @brief Builds a rank.
/// @param Importance 0 to 9
/// @param Committed true for a call made on behalf of a running request
/// @param RootHash any hash of the root request's id
constexpr Rank makeRank(unsigned Importance, bool Committed,
                        std::uint64_t RootHash) {
  const Rank Mask = (1U << RankHashBits) - 1;
  return (Importance << (RankHashBits + 1)) |
         ((Committed ? 1U : 0U) << RankHashBits) |
         (static_cast<Rank>(RootHash) & Mask);
}

/// @brief Importance that a rank holds, 0 to 9.
constexpr unsigned importanceOf(Rank Value) {
  return Value >> (RankHashBits + 1);
}

/// @brief Number of importances.
inline constexpr std::size_t ImportanceLevels = 10;

/// @brief Share of the requests of each importance that fits, in parts of
/// FullShare.
using AdmittedShares = std::array<std::uint8_t, ImportanceLevels>;
inline constexpr std::uint8_t FullShare = 255;
inline constexpr AdmittedShares FullShares = {
    FullShare, FullShare, FullShare, FullShare, FullShare,
    FullShare, FullShare, FullShare, FullShare, FullShare};

/// @brief What fits at one owner.
struct OwnerShares {
  AdmittedShares Admitted_ = FullShares; ///< of all roots, admitted or not
  AdmittedShares Local_ = FullShares;    ///< of the own domain's calls
  AdmittedShares Remote_ = FullShares;   ///< of what other domains would send
  friend bool operator==(const OwnerShares &, const OwnerShares &) = default;
};

/// @brief The smaller share of each importance.
AdmittedShares minShares(const AdmittedShares &Left,
                         const AdmittedShares &Right);

/// @brief What a call inherits from the request at the root of its chain.
struct CallContext {
  std::string Root_;
  std::string Caller_; ///< kind of caller at the root, or the calling service
  std::string Route_;  ///< name under which its time is learned
  std::string CallerRequestId_; ///< the caller's own id; empty: none
  Rank Rank_ = 0;
  std::uint32_t Depth_ = 0;
  std::uint32_t Tokens_ = 0; ///< retries that this call may spend
  Micros TimeLeft_{0};       ///< time left until the caller gives up
  double DemandWeight_ = 1;  ///< requests of the root's kind that it stands for
  double PlacementWeight_ = 1; ///< calls that would have come to this owner
  bool InRootDomain_ = true;   ///< the whole chain is in the root's domain
  bool Idempotent_ = true;
  bool Repeat_ = false; ///< a backend server may have run it before
  friend bool operator==(const CallContext &, const CallContext &) = default;
};

/// @brief One attempt, sent from an entry to an owner or to a ticket's home.
struct CallMessage {
  AttemptId Attempt_;
  std::uint64_t Link_ = 0;        ///< the sender's number of the connection
  Incarnation ToIncarnation_ = 0; ///< the receiver that is meant
  CallContext Context_;
  std::string Ticket_; ///< set when the receiver is asked as the ticket's home
  HttpRequest Request_;
  friend bool operator==(const CallMessage &, const CallMessage &) = default;
};

/// @brief What an owner tells about itself on each answer.
struct LoadReport {
  Rank Level_ = 0; ///< lowest rank that is admitted now
  std::uint32_t InFlight_ = 0;
  std::uint32_t Queued_ = 0;
  std::uint32_t Limit_ = 0;
  bool Leaving_ = false;
  Micros QueueDelay_{0}; ///< until a call that comes now would start
  std::uint8_t FailureShare_ =
      0;               ///< calls that fail there, in parts of FullShare
  OwnerShares Shares_; ///< Admitted_ is that behind the answered route
  friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/// @brief Final answer to one attempt.
struct CallReply {
  Outcome Outcome_ = Outcome::Unknown;
  ErrorCode Error_ = ErrorCode::OutcomeUnknown; ///< unless Complete
  std::uint32_t TokensLeft_ = 0;
  Micros RetryAfter_{0};
  bool Replayed_ = false;
  Micros ServiceTime_{0}; ///< time at the backend server; 0: not known
  LoadReport Load_;
  HttpResponse Response_; ///< filled when Complete
  friend bool operator==(const CallReply &, const CallReply &) = default;
};

/// @brief Asks an owner what became of an attempt and to fence it off.
struct RevokeMessage {
  AttemptId Attempt_;
  std::uint64_t Link_ = 0; ///< connection on which the attempt was sent
  Incarnation ToIncarnation_ = 0;
  friend bool operator==(const RevokeMessage &,
                         const RevokeMessage &) = default;
};

/// @brief The owner's word about a revoked attempt; while the attempt runs,
/// the word is held back until its outcome is known.
enum class RevokeResult : std::uint8_t {
  NotStarted, ///< it did not run and never will
  Finished,   ///< it ran; the remembered reply comes along
  Unknown,    ///< the owner cannot tell
};

/// @brief Answer to a RevokeMessage.
struct RevokeReply {
  RevokeResult Result_ = RevokeResult::Unknown;
  CallReply Reply_; ///< filled when Finished
  friend bool operator==(const RevokeReply &, const RevokeReply &) = default;
};

} // namespace fulmarshelf

#endif
