#ifndef FULMARSHELF_DETAIL_ENGINE_TABLES_HPP
#define FULMARSHELF_DETAIL_ENGINE_TABLES_HPP

#include "fulmarshelf/detail/base/ids.hpp"              // RequestId, WorkId
#include "fulmarshelf/detail/base/time.hpp"             // TimePoint
#include "fulmarshelf/detail/engine/inputs.hpp"         // Announcement
#include "fulmarshelf/detail/quarantine/quarantine.hpp" // Suspicion
#include "fulmarshelf/detail/routing/owner_choice.hpp"  // OwnerView
#include "fulmarshelf/detail/wire/messages.hpp"         // CallContext

#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <set>      // set
#include <string>   // string
#include <variant>  // variant
#include <vector>   // vector

namespace fulmarshelf {

/// @brief Recipient of the answer to a request: a caller on HTTP, or another
/// node that sent the request to this one as its ticket's home.
using Waiter = std::variant<CallerKey, StreamKey>;

/// @brief A request at its entry or at its ticket's home.
struct Request {
  RequestId Id_;
  std::vector<Waiter> Waiters_;
  HttpRequest Http_;
  RequestMetadata Metadata_;
  CallContext Context_; ///< Tokens_ are the request's remaining tokens
  std::string Service_;
  std::string Route_;
  TimePoint Arrived_;
  TimePoint Deadline_;
  Micros LatencyTarget_{0}; ///< latency target of the route; 0: none
  WorkId Parent_;           ///< work that it names as its parent; 0: none
  WorkId MatchedParent_;    ///< work matched as its parent; 0: none
  bool ParentInRootDomain_ = true; ///< its parent is in the root's domain
  double RootPlacementWeight_ = 1; ///< placement weight of its root
  std::string ChildKey_;           ///< key among the calls of its parent
  /// Expiry of the quota token that was spent on it; nullopt: none.
  std::optional<TimePoint> TokenExpiresAt_;
  std::string JoinKey_;         ///< key among the requests of outside callers
  std::uint64_t Ticket_ = 0;    ///< sequence of a ticket that this node issued
  std::string ForwardedTicket_; ///< ticket that another node issued
  std::set<std::uint64_t> Attempts_; ///< in progress or in doubt
  std::set<std::string> TriedOwners_;
  unsigned AttemptCount_ = 0; ///< attempts started at an owner or ticket home
  bool NextAttemptPaid_ = false; ///< a token was spent on the next attempt
  bool MayHaveRun_ = false;      ///< an ended attempt may have run
  unsigned LostAttempts_ = 0;    ///< attempts whose answer was lost
  /// Failure that a backend server answered before the request was repeated.
  std::optional<CallReply> AnsweredFailure_;
  Micros RetryAfter_{0};
  ErrorCode LastError_ = ErrorCode::NoLiveOwner;
};

/// @brief State of an attempt.
enum class AttemptState : std::uint8_t {
  WaitingForLink, ///< not sent yet
  Sent,
  InDoubt, ///< its connection failed; a revocation is pending
};

/// @brief One attempt of a request at one node.
struct Attempt {
  std::uint64_t Sequence_ = 0;
  RequestId Request_;
  std::string Node_;                ///< owner or ticket home that receives it
  Incarnation PeerIncarnation_ = 0; ///< incarnation of Node_ that received it
  LinkId Link_;                     ///< link on which the attempt is sent
  LinkId RevokeLink_;               ///< link on which the revocation is sent
  AttemptState State_ = AttemptState::WaitingForLink;
  TimePoint Started_;
  std::uint32_t Tokens_ = 0; ///< retry tokens sent with it
  bool Hedge_ = false;
  bool Paid_ = false; ///< a token was spent on it
};

/// @brief An attempt that this node made at its own backend server.
struct LocalAttempt {
  std::uint64_t Sequence_ = 0;
};
/// @brief Recipient of the reply to work: none, the stream of another node, or
/// an attempt of this node.
using WorkWaiter = std::variant<std::monostate, StreamKey, LocalAttempt>;

/// @brief State and reply of one call that names running work as its parent.
struct ChildCall {
  RequestId Request_; ///< 0 when it has ended
  bool Idempotent_ = true;
  CallReply Reply_; ///< of a non-idempotent call that has ended
};

/// @brief State of work.
enum class WorkState : std::uint8_t { Queued, Running };

/// @brief An attempt that this node runs on its backend server.
struct Work {
  WorkId Id_;
  AttemptId Attempt_;
  WorkWaiter Waiter_;
  std::vector<StreamKey> RevokeWaiters_;
  CallContext Context_; ///< Tokens_ are the tokens left for its calls
  HttpRequest Http_;
  std::string Route_;
  WorkState State_ = WorkState::Queued;
  TimePoint Arrived_;
  TimePoint Dispatched_;
  TimePoint Deadline_;
  TimePoint StopAt_;          ///< time at which running work is cancelled
  TimePoint BackendDeadline_; ///< deadline that was sent to the backend server
  unsigned OpenCalls_ = 0;    ///< matched calls without an answer
  TimePoint LastCallEnd_;     ///< last answer to a matched call, or the start
  bool Long_ = false;
  Rank ChildLevel_ = 0; ///< highest level reported to its calls
  /// Computed when there is evidence against any request.
  std::optional<RequestDigest> Digest_;
  Suspicion StartedAs_ = Suspicion::None; ///< suspicion at its dispatch
  std::map<std::string, ChildCall> Calls_;
};

/// @brief This VM's backend server.
struct Backend {
  bool Announced_ = false;
  Announcement Announcement_;
  std::optional<AnnouncementOrder> Order_; ///< order of the last announcement
  /// Until then, departures of incarnations with an unknown start count.
  TimePoint EstimatesCountUntil_;
  TimePoint ColdUntil_;              ///< end of its reported warm-up
  bool ReplacedUnannounced_ = false; ///< another incarnation has its address
  TimePoint LastHeardAt_;            ///< last announcement or answer
  TimePoint SuspectUntil_;     ///< end of the pause after a failed connection
  bool ProbePending_ = false;  ///< a check for a crash is due or in progress
  TimePoint IncarnationSince_; ///< first announcement of its incarnation
  TimePoint FirstDispatchAt_;  ///< first request sent to its incarnation
  bool HasAnswered_ = false;   ///< its incarnation has answered a request
};

/// @brief A connection that this node opened.
struct Link {
  LinkId Id_;
  std::string Node_; ///< expected peer
  Endpoint Peer_;
  bool Established_ = false;
  Incarnation Incarnation_ = 0;
  TimePoint OpenedAt_;
  TimePoint LastReceivedAt_;
  TimePoint LastUsedAt_;
  TimePoint NextCheck_; ///< due time of the valid timer; others are ignored
  std::set<std::uint64_t> Attempts_; ///< waiting, sent, or being revoked
  bool SyncRequested_ = false;
};

/// @brief State of a peer as learned from this node's calls to it.
struct PeerView {
  OwnerView Owner_;
  LinkId Link_;           ///< 0 when none is open
  TimePoint RetryLinkAt_; ///< earliest next connection attempt after a failure
  Micros Backoff_{0};
};

/// @brief Kinds of timers.
enum class TimerKind : std::uint8_t {
  RequestDeadline,
  RequestForget,
  Hedge,
  WorkDeadline,
  LinkCheck,
  QueueSweep,
  LevelWindow,
  Membership,
  BackendCheck,
  SettingsSync,
  TicketExpiry,
  LeaveCheck,
  QuarantineSpread,
  CrashProbe,
  StoreFollowing,
  ShareTimeMove,
  TokensAnswer,
  TokensRetry,
  HeldRequest,
  NoticeAnswer,
};

/// @brief A scheduled run of a system; timers of entities that no longer exist
/// are ignored.
struct Timer {
  TimePoint DueAt_;
  TimerKind Kind_ = TimerKind::QueueSweep;
  std::uint64_t Target_ = 0; ///< id of the timed entity; 0: none
  friend auto operator<=>(const Timer &, const Timer &) = default;
};

} // namespace fulmarshelf

#endif
