#ifndef FULMARSHELF_DETAIL_SHELL_PEER_HEAD_HPP
#define FULMARSHELF_DETAIL_SHELL_PEER_HEAD_HPP

#include "fulmarshelf/detail/shell/peer_session.hpp" // PeerMessage

#include <cstddef>  // size_t
#include <optional> // optional

namespace fulmarshelf {

/// @brief Header lists up to this size, names and values in bytes, are sent as
/// HTTP/2 fields. HTTP/2 libraries refuse lists and fields above 64 KiB; the
/// fields of a larger list are sent at the start of the body.
inline constexpr std::size_t MaxPlainHeadBytes = std::size_t{32} * 1024;

/// @brief Maximum size of a header list at the start of a body, in bytes: the
/// largest head that the operator may allow to callers, and the encoding of its
/// fields.
inline constexpr std::size_t MaxPackedHeadBytes = std::size_t{2} * 1024 * 1024;

/// @brief Moves a large header list to the start of the body; a message with a
/// small one is returned unchanged.
/// @param Message with pseudo header fields
/// @throw std::bad_alloc
PeerMessage packRequest(const PeerMessage &Message);
PeerMessage packResponse(const PeerMessage &Message);

/// @brief Undoes packRequest() and packResponse().
/// @return nullopt when the start of the body is not a header list
std::optional<PeerMessage> unpackHead(PeerMessage Received);

} // namespace fulmarshelf

#endif
