#ifndef FULMARSHELF_DETAIL_ENGINE_ACTIONS_HPP
#define FULMARSHELF_DETAIL_ENGINE_ACTIONS_HPP

#include "fulmarshelf/detail/base/event_log.hpp"            // LogRecord
#include "fulmarshelf/detail/base/ids.hpp"                  // CallerKey
#include "fulmarshelf/detail/base/time.hpp"                 // Micros
#include "fulmarshelf/detail/engine/inputs.hpp"             // Collection
#include "fulmarshelf/detail/membership/gossip_message.hpp" // SyncMessage
#include "fulmarshelf/detail/wire/messages.hpp"             // CallMessage

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <variant>  // variant

namespace fulmarshelf {

/// @brief Answer a caller.
struct AnswerCaller {
  CallerKey Caller_;
  CallReply Reply_;
  std::string Ticket_;          ///< new ticket to offer; empty: none
  std::string CallerRequestId_; ///< id given by the caller; empty: none
};

/// @brief Open a connection to a peer.
struct OpenLink {
  LinkId Link_;
  Endpoint Peer_;
};

/// @brief Close a connection immediately.
struct CloseLink {
  LinkId Link_;
};

/// @brief Send an HTTP/2 PING.
struct PingLink {
  LinkId Link_;
};

/// @brief Send an attempt.
struct SendCall {
  LinkId Link_;
  CallMessage Message_;
};

/// @brief Notify the peer that an attempt's answer is no longer needed.
struct SendCancel {
  LinkId Link_;
  std::uint64_t Sequence_ = 0;
};

/// @brief Revoke an attempt and ask the peer for its outcome.
struct SendRevoke {
  LinkId Link_;
  RevokeMessage Message_;
};

/// @brief Request the state that this node has missed from the peer.
struct SendSync {
  LinkId Link_;
  SyncMessage Message_;
};

/// @brief Answer an attempt.
struct AnswerCall {
  StreamKey Stream_;
  CallReply Reply_;
};

/// @brief Answer a revocation.
struct AnswerRevoke {
  StreamKey Stream_;
  RevokeReply Reply_;
};

/// @brief Answer a sync.
struct AnswerSync {
  StreamKey Stream_;
  SyncReply Reply_;
};

/// @brief Dispatch work to the backend server.
struct DispatchWork {
  WorkId Work_;
  Endpoint Backend_;
  HttpRequest Request_;
  DispatchMetadata Metadata_;
  bool NewConnection_ = false; ///< set when idle connections may be closing
};

/// @brief Cancel work at the backend server by closing its connection.
struct CancelWork {
  WorkId Work_;
};

/// @brief Check whether the backend server accepts connections.
struct ProbeBackend {
  Endpoint Backend_;
};

/// @brief Send a datagram.
struct SendDatagram {
  Endpoint To_;
  std::string Bytes_;
};

/// @brief Read all settings of one kind from the store.
struct StoreList {
  Collection Collection_ = Collection::Teams;
  std::optional<std::uint64_t> Era_; ///< era known at sending
};

/// @brief Read the addresses of all nodes from the platform.
struct StoreListNodes {
  std::optional<std::uint64_t> Era_; ///< era known at sending
};

/// @brief Wait for changes of settings after a revision.
struct StoreWatch {
  Collection Collection_ = Collection::Teams;
  std::uint64_t Since_ = 0;
  std::optional<std::uint64_t> Era_; ///< era known at sending
  Micros Wait_{0};                   ///< the watch ends without a change
};

/// @brief Write this node's record to the store. Departures that the store
/// already keeps for this node stay in it.
struct StoreAnnounce {
  std::optional<std::uint64_t> Era_; ///< era known at sending
  NodeRecord Record_;
};

/// @brief Remove this node's record from the store.
struct StoreWithdraw {};

/// @brief Remove the record of a node that has left from the store, unless it
/// has changed.
struct StoreRemove {
  std::string Node_;
  std::uint64_t Revision_ = 0; ///< revision that the record must still have
};

/// @brief Answer a notice of the backend server.
struct AnswerNotice {
  CallerKey Notice_;
  bool Taken_ = true; ///< false: the server must send it again
};

/// @brief Write a log line.
struct WriteLog {
  LogRecord Record_;
};

/// @brief Kinds of measured times.
enum class Measure : std::uint8_t {
  AnswerTime,  ///< from a request's arrival to its answer
  QueueTime,   ///< from work's arrival to its start
  ServiceTime, ///< from work's start to its end
};

/// @brief Record a measured time.
struct RecordTime {
  Measure Measure_ = Measure::AnswerTime;
  Micros Value_{0};
};

/// @brief All work is done after LeaveRequested; the process may end.
struct StopProcess {};

/// @brief All actions that the core requests from the shell.
using Action =
    std::variant<AnswerCaller, OpenLink, CloseLink, PingLink, SendCall,
                 SendCancel, SendRevoke, SendSync, AnswerCall, AnswerRevoke,
                 AnswerSync, DispatchWork, CancelWork, ProbeBackend,
                 SendDatagram, StoreList, StoreListNodes, StoreWatch,
                 StoreAnnounce, StoreWithdraw, StoreRemove, AnswerNotice,
                 WriteLog, RecordTime, StopProcess>;

} // namespace fulmarshelf

#endif
