#ifndef FULMARSHELF_DETAIL_SHELL_PEER_CODEC_HPP
#define FULMARSHELF_DETAIL_SHELL_PEER_CODEC_HPP

#include "fulmarshelf/detail/membership/gossip_message.hpp" // SyncMessage
#include "fulmarshelf/detail/shell/peer_session.hpp"        // PeerMessage
#include "fulmarshelf/detail/wire/messages.hpp"             // CallMessage

#include <variant> // variant

namespace fulmarshelf {

/// @brief First message on a connection: who opened it.
struct HelloMessage {
  std::string Node_;
  Incarnation Incarnation_ = 0;
  friend bool operator==(const HelloMessage &, const HelloMessage &) = default;
};

/// @brief A request between nodes that could not be understood.
struct MalformedMessage {};

/// @brief Everything that one node asks of another over a stream.
using PeerRequest = std::variant<MalformedMessage, HelloMessage, CallMessage,
                                 RevokeMessage, SyncMessage>;

/// @brief Writes messages as HTTP/2 fields and a body. The original request's
/// fields travel as they are; the system's own begin with `fs-`.
PeerMessage toPeer(const HelloMessage &Message);
PeerMessage toPeer(const CallMessage &Message);
PeerMessage toPeer(const RevokeMessage &Message);
PeerMessage toPeer(const SyncMessage &Message);
PeerMessage toPeer(const CallReply &Reply);
PeerMessage toPeer(const RevokeReply &Reply);
PeerMessage toPeer(const SyncReply &Reply);

/// @brief Answer to a HelloMessage.
PeerMessage helloReply(const HelloMessage &Self);

/// @brief Answer to a message that could not be understood.
PeerMessage malformedReply();

/// @brief Reads what a peer asks; never fails, see MalformedMessage.
PeerRequest parsePeerRequest(const PeerMessage &Message);

/// @brief Reads a peer's answers.
/// @return false when a field is missing or malformed; Result is unspecified
bool parseReply(const PeerMessage &Message, HelloMessage &Result);
bool parseReply(const PeerMessage &Message, CallReply &Result);
bool parseReply(const PeerMessage &Message, RevokeReply &Result);
bool parseReply(const PeerMessage &Message, SyncReply &Result);

} // namespace fulmarshelf

#endif
