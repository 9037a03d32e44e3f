#ifndef FULMARSHELF_DETAIL_ENGINE_TABLES_HPP
#define FULMARSHELF_DETAIL_ENGINE_TABLES_HPP

#include "fulmarshelf/detail/base/ids.hpp"             // ids
#include "fulmarshelf/detail/base/time.hpp"            // TimePoint
#include "fulmarshelf/detail/engine/inputs.hpp"        // Announcement
#include "fulmarshelf/detail/routing/owner_choice.hpp" // OwnerView
#include "fulmarshelf/detail/wire/messages.hpp"        // CallContext

#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <set>      // set
#include <string>   // string
#include <variant>  // variant
#include <vector>   // vector

namespace fulmarshelf {

/// @brief Who waits for the answer to a request: a caller on HTTP, or another
/// node that asked this one as a ticket's home.
using Waiter = std::variant<CallerKey, StreamKey>;

/// @brief A request at its entry or at its ticket's home.
struct Request {
  RequestId Id_;
  std::vector<Waiter> Waiters_;
  HttpRequest Http_;
  RequestMetadata Metadata_;
  CallContext Context_; ///< Tokens_ are those left for this request
  std::string Service_;
  std::string Route_;
  TimePoint Arrived_;
  TimePoint Deadline_;
  Micros LatencyTarget_{0}; ///< a good answer comes within it; 0: no such aim
  WorkId Parent_;           ///< 0 when it came from outside
  WorkId MatchedParent_;    ///< work that its end agrees with; 0: none
  bool ParentInRootDomain_ =
      true; ///< its root runs in the root's failure domain
  double RootPlacementWeight_ =
      1;                     ///< roots placed otherwise count with this one
  std::string ChildKey_;     ///< its key among the calls of its parent
  std::string JoinKey_;      ///< its key among the requests of outside callers
  std::uint64_t Ticket_ = 0; ///< sequence of the ticket homed here
  std::string ForwardedTicket_;      ///< ticket homed at another node
  std::set<std::uint64_t> Attempts_; ///< in progress or in doubt
  std::set<std::string> TriedOwners_;
  unsigned AttemptCount_ = 0;    ///< attempts that left for an owner
  bool NextAttemptPaid_ = false; ///< a token was spent for the next attempt
  bool MayHaveRun_ = false;      ///< an attempt ended without proof
  Micros RetryAfter_{0};
  ErrorCode LastError_ = ErrorCode::NoLiveOwner;
};

/// @brief Where an attempt stands.
enum class AttemptState : std::uint8_t {
  WaitingForLink, ///< not sent yet
  Sent,
  InDoubt, ///< its connection failed; the owner is being asked
};

/// @brief One attempt of a request at one node.
struct Attempt {
  std::uint64_t Sequence_ = 0;
  RequestId Request_;
  std::string Node_; ///< that runs it or is asked as home
  Incarnation PeerIncarnation_ = 0;
  LinkId Link_;       ///< on which it was sent
  LinkId RevokeLink_; ///< on which the owner is asked
  AttemptState State_ = AttemptState::WaitingForLink;
  TimePoint Started_;
  std::uint32_t Tokens_ = 0; ///< that it took along
  bool Hedge_ = false;
  bool Paid_ = false; ///< a token was spent for it
};

/// @brief Who waits for the reply to work: another node, or an attempt of this
/// node's own.
struct LocalAttempt {
  std::uint64_t Sequence_ = 0;
};
using WorkWaiter = std::variant<std::monostate, StreamKey, LocalAttempt>;

/// @brief What became of one call that running work made.
struct ChildCall {
  RequestId Request_; ///< 0 when it has ended
  bool Idempotent_ = true;
  CallReply Reply_; ///< of a non-idempotent call that has ended
};

/// @brief Where work stands.
enum class WorkState : std::uint8_t { Queued, Running };

/// @brief An attempt that this node runs on its backend server.
struct Work {
  WorkId Id_;
  AttemptId Attempt_;
  WorkWaiter Waiter_;
  std::vector<StreamKey> RevokeWaiters_;
  CallContext Context_; ///< Tokens_ are those left for its calls
  HttpRequest Http_;
  std::string Route_;
  WorkState State_ = WorkState::Queued;
  TimePoint Arrived_;
  TimePoint Dispatched_;
  TimePoint Deadline_;
  TimePoint StopAt_; ///< when it is stopped while it runs
  TimePoint
      BackendDeadline_; ///< end of the time that the backend server was given
  unsigned OpenCalls_ = 0; ///< matched to it and not answered yet
  TimePoint LastCallEnd_;  ///< answer of a matched call, or its own start
  bool Long_ = false;
  Rank ChildLevel_ = 0; ///< highest level met by its calls
  std::map<std::string, ChildCall> Calls_;
};

/// @brief This VM's backend server.
struct Backend {
  bool Announced_ = false;
  Announcement Announcement_;
  std::optional<AnnouncementOrder> Order_; ///< of the last announcement
  std::string DepartedInstance_; ///< incarnation that said it leaves for good
  TimePoint ColdUntil_;          ///< it says that it is slow so long
  bool ReplacedUnannounced_ = false; ///< another incarnation has its address
  TimePoint LastHeardAt_;
  TimePoint SuspectUntil_; ///< it refused a connection
};

/// @brief A connection that this node opened.
struct Link {
  LinkId Id_;
  std::string Node_; ///< expected at the other end
  Endpoint Peer_;
  bool Established_ = false;
  Incarnation Incarnation_ = 0;
  TimePoint OpenedAt_;
  TimePoint LastReceivedAt_;
  TimePoint LastUsedAt_;
  TimePoint NextCheck_; ///< of the timer that counts; others are passed over
  std::set<std::uint64_t> Attempts_; ///< waiting, sent, or being revoked on it
  bool WantsSync_ = false;
};

/// @brief What this node knows about a peer from its own calls.
struct PeerView {
  OwnerView Owner_;
  LinkId Link_;         ///< 0 when none is open
  TimePoint RetryLink_; ///< not before this time after a failure
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
};

/// @brief A moment at which a system wants to run; ids of entities that are
/// gone by then are passed over.
struct Timer {
  TimePoint When_;
  TimerKind Kind_ = TimerKind::QueueSweep;
  std::uint64_t Target_ = 0;
  friend auto operator<=>(const Timer &, const Timer &) = default;
};

} // namespace fulmarshelf

#endif
