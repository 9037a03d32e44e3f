#ifndef FULMARSHELF_DETAIL_ENGINE_INPUTS_HPP
#define FULMARSHELF_DETAIL_ENGINE_INPUTS_HPP

#include "fulmarshelf/detail/base/ids.hpp"                  // ids
#include "fulmarshelf/detail/membership/gossip_message.hpp" // SyncMessage
#include "fulmarshelf/detail/settings/registry.hpp"         // SubtreeVersion
#include "fulmarshelf/detail/wire/http.hpp"                 // HttpRequest
#include "fulmarshelf/detail/wire/messages.hpp"             // CallMessage

#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <variant>     // variant
#include <vector>      // vector

namespace fulmarshelf {

/// @brief A whole request came in over HTTP.
struct CallerArrived {
  CallerKey Caller_;
  bool FromBackend_ = false; ///< came from this VM's own backend server
  IncomingRequest Request_;
};

/// @brief The caller closed its connection before the answer.
struct CallerDisconnected {
  CallerKey Caller_;
};

/// @brief An attempt came in from another node.
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
  bool Refused_ = false; ///< the peer's HTTP/2 layer says it did no work
};

/// @brief Another node revokes an attempt.
struct RevokeArrived {
  StreamKey Stream_;
  RevokeMessage Message_;
};

/// @brief An owner's word about an attempt that this node revoked.
struct RevokeAnswered {
  LinkId Link_;
  std::uint64_t Sequence_ = 0;
  RevokeReply Reply_;
};

/// @brief Another node asks for what it has missed.
struct SyncArrived {
  StreamKey Stream_;
  SyncMessage Message_;
};

/// @brief A peer tells what this node has missed.
struct SyncAnswered {
  LinkId Link_;
  SyncReply Reply_;
};

/// @brief A connection is open and the peer has told who it is.
struct LinkEstablished {
  LinkId Link_;
  std::string Node_;
  Incarnation Incarnation_ = 0;
};

/// @brief A connection could not be opened or has ended.
struct LinkClosed {
  LinkId Link_;
};

/// @brief Bytes came in over a connection.
struct LinkActivity {
  LinkId Link_;
};

/// @brief State that a backend server tells of itself.
enum class BackendState : std::uint8_t { Serving, Draining };

/// @brief A backend server's announcement, repeated every second or so.
struct Announcement {
  std::string Service_;
  Endpoint Address_;
  unsigned Slots_ = 0;       ///< calls that it runs at a time
  unsigned Connections_ = 0; ///< connections that it accepts
  BackendState State_ = BackendState::Serving;
  std::string Instance_; ///< names the incarnation; empty: it tells none
  friend bool operator==(const Announcement &, const Announcement &) = default;
};

/// @brief Place of an announcement among all of one VM's backend servers; a
/// later one replaces what an earlier one said, in whichever order they come.
struct AnnouncementOrder {
  std::uint64_t StartedMs_ = 0; ///< start of the incarnation, ms since 1970
  std::uint64_t Sequence_ = 0;  ///< rises with each announcement
  friend auto operator<=>(const AnnouncementOrder &,
                          const AnnouncementOrder &) = default;
};

/// @brief The backend server announced itself.
struct BackendAnnounced {
  Announcement Announcement_;
  std::optional<AnnouncementOrder> Order_; ///< none: in order of arrival
  Micros ColdFor_{0}; ///< it says that it stays slow for so long
};

/// @brief The backend server said that it leaves for good.
struct BackendDeparted {
  std::string Instance_;
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
  bool NeverSent_ = false; ///< no byte of the request left this node
};

/// @brief A datagram came in.
struct DatagramArrived {
  Endpoint From_;
  std::string Bytes_;
};

/// @brief A node as it wrote itself into the platform.
struct NodeSeed {
  std::string Node_;
  Endpoint Peer_;
  friend bool operator==(const NodeSeed &, const NodeSeed &) = default;
};

/// @brief Kinds of settings that lie in the store.
enum class Collection : std::uint8_t { Teams, Routes };

/// @brief `teams` or `routes`.
std::string_view collectionName(Collection Value);

/// @brief All settings of one kind that the store holds.
struct StoreListed {
  Collection Collection_ = Collection::Teams;
  std::uint64_t Revision_ = 0;
  std::vector<SubtreeVersion> Subtrees_;
};

/// @brief All nodes that the platform holds, for the first contact.
struct StoreNodesListed {
  std::vector<NodeSeed> Nodes_;
};

/// @brief Changes after the revision that a watch began at.
struct StoreWatched {
  Collection Collection_ = Collection::Teams;
  std::uint64_t Revision_ = 0;
  std::vector<SubtreeVersion> Changes_;
};

/// @brief This node's own address is written.
struct StoreAnnounced {};

/// @brief A settings object that cannot be read; what is in force stays.
struct StoreUnreadable {
  Collection Collection_ = Collection::Teams;
  std::uint64_t Revision_ = 0; ///< of the store when it was read
  std::string Detail_;
};

/// @brief Calls to the store.
enum class StoreCall : std::uint8_t { List, Watch, Nodes, Announce, Withdraw };

/// @brief `list`, `watch`, `nodes`, `announce` or `withdraw`.
std::string_view storeCallName(StoreCall Value);

/// @brief A call to the store failed; its effect is not known.
struct StoreFailed {
  StoreCall Call_ = StoreCall::List;
  Collection Collection_ = Collection::Teams; ///< of a list or a watch
};

/// @brief The process was asked to stop.
struct LeaveRequested {};

/// @brief Everything that can happen to a node, but for time passing.
using Input = std::variant<
    CallerArrived, CallerDisconnected, CallArrived, CallStreamClosed,
    ReplyArrived, AttemptStreamClosed, RevokeArrived, RevokeAnswered,
    SyncArrived, SyncAnswered, LinkEstablished, LinkClosed, LinkActivity,
    BackendAnnounced, BackendDeparted, BackendAnswered, BackendFailed,
    DatagramArrived, StoreListed, StoreUnreadable, StoreNodesListed,
    StoreWatched, StoreAnnounced, StoreFailed, LeaveRequested>;

} // namespace fulmarshelf

#endif
