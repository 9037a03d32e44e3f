#ifndef FULMARSHELF_DETAIL_ENGINE_INPUTS_HPP
#define FULMARSHELF_DETAIL_ENGINE_INPUTS_HPP

#include "fulmarshelf/detail/base/ids.hpp"                  // CallerKey
#include "fulmarshelf/detail/membership/gossip_message.hpp" // SyncMessage
#include "fulmarshelf/detail/quarantine/request_digest.hpp" // RequestDigest
#include "fulmarshelf/detail/settings/registry.hpp"         // SubtreeVersion
#include "fulmarshelf/detail/wire/call_failure.hpp"         // CallFailure
#include "fulmarshelf/detail/wire/http.hpp"                 // HttpRequest
#include "fulmarshelf/detail/wire/messages.hpp"             // CallMessage

#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <variant>     // variant
#include <vector>      // vector

namespace fulmarshelf {

/// @brief A complete request arrived over HTTP.
struct CallerArrived {
  CallerKey Caller_;
  bool FromBackend_ = false; ///< sent by this VM's backend server
  IncomingRequest Request_;
};

/// @brief The caller closed its connection before the answer.
struct CallerDisconnected {
  CallerKey Caller_;
};

/// @brief An attempt arrived from another node.
struct CallArrived {
  StreamKey Stream_;
  CallMessage Message_;
};

/// @brief The stream of an attempt ended before its answer.
struct CallStreamClosed {
  StreamKey Stream_;
};

/// @brief A reply to an attempt that this node sent.
struct ReplyArrived {
  LinkId Link_;
  std::uint64_t Sequence_ = 0;
  CallReply Reply_;
};

/// @brief The stream of a sent attempt ended without a reply.
struct AttemptStreamClosed {
  LinkId Link_;
  std::uint64_t Sequence_ = 0;
  bool Refused_ = false; ///< the peer's HTTP/2 layer reports no work done
};

/// @brief Another node revokes an attempt.
struct RevokeArrived {
  StreamKey Stream_;
  RevokeMessage Message_;
};

/// @brief An owner answered the revocation of an attempt.
struct RevokeAnswered {
  LinkId Link_;
  std::uint64_t Sequence_ = 0;
  RevokeReply Reply_;
};

/// @brief Another node requests the state that it has missed.
struct SyncArrived {
  StreamKey Stream_;
  SyncMessage Message_;
};

/// @brief A peer sent the state that this node has missed.
struct SyncAnswered {
  LinkId Link_;
  SyncReply Reply_;
};

/// @brief A connection is open and the peer has identified itself.
struct LinkEstablished {
  LinkId Link_;
  std::string Node_;
  Incarnation Incarnation_ = 0;
};

/// @brief A connection could not be opened or has ended.
struct LinkClosed {
  LinkId Link_;
};

/// @brief Bytes arrived on a connection.
struct LinkActivity {
  LinkId Link_;
};

/// @brief State that a backend server reports.
enum class BackendState : std::uint8_t { Serving, Draining };

/// @brief A backend server's announcement, repeated every second or so.
struct Announcement {
  std::string Service_;
  Endpoint Address_;
  unsigned Slots_ = 0;       ///< calls that it runs concurrently
  unsigned Connections_ = 0; ///< connections that it accepts
  BackendState State_ = BackendState::Serving;
  std::string Instance_; ///< identifies the incarnation; empty: not reported
  friend bool operator==(const Announcement &, const Announcement &) = default;
};

/// @brief Order of an announcement among those of all backend servers of one
/// VM. A later announcement replaces an earlier one, whichever arrives first.
struct AnnouncementOrder {
  std::uint64_t StartedMs_ = 0; ///< start of the incarnation, ms since 1970
  std::uint64_t Sequence_ = 0;  ///< rises with each announcement
  friend auto operator<=>(const AnnouncementOrder &,
                          const AnnouncementOrder &) = default;
};

/// @brief The backend server announced itself.
struct BackendAnnounced {
  Announcement Announcement_;
  std::optional<AnnouncementOrder> Order_; ///< none: arrival order counts
  Micros ColdFor_{0};                      ///< reported duration of its warm-up
  CallerKey Notice_; ///< exchange to answer with AnswerNotice; 0: none
};

/// @brief The backend server reported its permanent departure.
struct BackendDeparted {
  std::string Instance_;
  std::uint64_t ReceivedMs_ = 0; ///< time of receipt, ms since 1970
  CallerKey Notice_; ///< exchange to answer with AnswerNotice; 0: none
};

/// @brief The backend server answered.
struct BackendAnswered {
  WorkId Work_;
  HttpResponse Response_;
  ResponseMetadata Metadata_;
};

/// @brief The backend server did not answer.
struct BackendFailed {
  WorkId Work_;
  CallFailure Reason_ = CallFailure::NotSent;
};

/// @brief The check that ProbeBackend requested has ended.
struct BackendProbed {
  bool Refused_ = false; ///< no process listens at the backend server's address
};

/// @brief A datagram arrived.
struct DatagramArrived {
  Endpoint From_;
  std::string Bytes_;
};

/// @brief A node as announced on the platform.
struct NodeSeed {
  std::string Node_;
  Endpoint Peer_;
  friend bool operator==(const NodeSeed &, const NodeSeed &) = default;
};

/// @brief Kinds of settings in the store.
enum class Collection : std::uint8_t { Teams, Routes };

/// @brief `teams` or `routes`.
std::string_view collectionName(Collection Kind);

/// @brief Eras of the store around one call. An era begins each time the store
/// returns from an older copy; revisions are then given out again.
struct CallEras {
  std::optional<std::uint64_t> Sent_;     ///< known to the node at sending
  std::optional<std::uint64_t> Answered_; ///< named by the answer
  friend bool operator==(const CallEras &, const CallEras &) = default;
};

/// @brief All settings of one kind that the store holds.
struct StoreListed {
  Collection Collection_ = Collection::Teams;
  std::uint64_t Revision_ = 0;
  std::vector<SubtreeVersion> Subtrees_;
  CallEras Eras_;
};

/// @brief Record of a node in the store.
struct StoredRecord {
  std::string Node_;
  std::uint64_t Revision_ = 0; ///< store revision of its last change
  NodeRecord Record_;
  friend bool operator==(const StoredRecord &, const StoredRecord &) = default;
};

/// @brief All nodes that the platform lists, for the first contact.
struct StoreNodesListed {
  std::vector<NodeSeed> Nodes_;
  CallEras Eras_;
  std::vector<StoredRecord> Records_; ///< those with departures
};

/// @brief Changes after the start revision of a watch.
struct StoreWatched {
  Collection Collection_ = Collection::Teams;
  std::uint64_t Revision_ = 0;
  std::vector<SubtreeVersion> Changes_;
  CallEras Eras_;
};

/// @brief This node's record has been written to the store.
struct StoreAnnounced {
  CallEras Eras_;
  NodeRecord Record_; ///< as written, with the departures that it held before
};

/// @brief A settings object, or some entries of it, cannot be read. The
/// settings in force stay unless the readable entries replace them.
struct StoreUnreadable {
  Collection Collection_ = Collection::Teams;
  std::uint64_t Revision_ = 0; ///< store revision of the read
  std::string Detail_;
  bool Partly_ = false; ///< the other entries of the object can be read
};

/// @brief Calls to the store.
enum class StoreCall : std::uint8_t {
  List,
  Watch,
  Nodes,
  Announce,
  Withdraw,
  Remove,
};

/// @brief `list`, `watch`, `nodes`, `announce`, `withdraw` or `remove`.
std::string_view storeCallName(StoreCall Call);

/// @brief A call to the store failed; its effect is unknown.
struct StoreFailed {
  StoreCall Call_ = StoreCall::List;
  Collection Collection_ = Collection::Teams; ///< for a list or a watch
  std::string Detail_; ///< status of the answer, or why there is none
  CallEras Eras_;
};

/// @brief The operator releases a request that is set aside.
struct QuarantineReleased {
  RequestDigest Digest_;
};

/// @brief Total time for which the process was suspended, during which the
/// node's monotonic clock did not run.
struct SuspensionObserved {
  Micros Total_{0};
};

/// @brief The process was asked to stop.
struct LeaveRequested {};

/// @brief All inputs of a node except the passing of time.
using Input =
    std::variant<CallerArrived, CallerDisconnected, CallArrived,
                 CallStreamClosed, ReplyArrived, AttemptStreamClosed,
                 RevokeArrived, RevokeAnswered, SyncArrived, SyncAnswered,
                 LinkEstablished, LinkClosed, LinkActivity, BackendAnnounced,
                 BackendDeparted, BackendAnswered, BackendFailed, BackendProbed,
                 DatagramArrived, StoreListed, StoreUnreadable,
                 StoreNodesListed, StoreWatched, StoreAnnounced, StoreFailed,
                 QuarantineReleased, SuspensionObserved, LeaveRequested>;

} // namespace fulmarshelf

#endif
