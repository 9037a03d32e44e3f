#ifndef FULMARSHELF_DETAIL_SHELL_PEER_CODEC_HPP
#define FULMARSHELF_DETAIL_SHELL_PEER_CODEC_HPP

#include "fulmarshelf/detail/membership/gossip_message.hpp" // SyncMessage
#include "fulmarshelf/detail/shell/peer_session.hpp"        // PeerMessage
#include "fulmarshelf/detail/wire/messages.hpp"             // CallMessage

#include <variant> // variant

namespace fulmarshelf {

/// @brief First message on a connection; identifies the node that opened it.
struct HelloMessage {
  std::string Node_;
  Incarnation Incarnation_ = 0;
  friend bool operator==(const HelloMessage &, const HelloMessage &) = default;
};

/// @brief A request between nodes that could not be parsed.
struct MalformedMessage {};

/// @brief Any request from one node to another over a stream.
using PeerRequest = std::variant<MalformedMessage, HelloMessage, CallMessage,
                                 RevokeMessage, SyncMessage>;

/// @brief Encodes messages as HTTP/2 fields and a body. Fields of the original
/// request or response keep their values, with names in lower case; fields of
/// the protocol between nodes begin with `fs-`.
PeerMessage toPeer(const HelloMessage &Message);
PeerMessage toPeer(const CallMessage &Message);
PeerMessage toPeer(const RevokeMessage &Message);
PeerMessage toPeer(const SyncMessage &Message);
PeerMessage toPeer(const CallReply &Reply);
PeerMessage toPeer(const RevokeReply &Reply);
PeerMessage toPeer(const SyncReply &Reply);

/// @brief Builds the response to a HelloMessage.
PeerMessage helloReply(const HelloMessage &Self);

/// @brief Builds the response to a message that could not be parsed.
PeerMessage malformedReply();

/// @brief Parses a peer's request; returns MalformedMessage when the request
/// is invalid.
PeerRequest parsePeerRequest(const PeerMessage &Message);

/// @brief Parses a peer's response.
/// @return false when a field is missing or malformed; Result is unspecified
bool parseReply(const PeerMessage &Message, HelloMessage &Result);
bool parseReply(const PeerMessage &Message, CallReply &Result);
bool parseReply(const PeerMessage &Message, RevokeReply &Result);
bool parseReply(const PeerMessage &Message, SyncReply &Result);

} // namespace fulmarshelf

#endif
