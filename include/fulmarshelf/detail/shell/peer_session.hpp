#ifndef FULMARSHELF_DETAIL_SHELL_PEER_SESSION_HPP
#define FULMARSHELF_DETAIL_SHELL_PEER_SESSION_HPP

#include "fulmarshelf/detail/wire/http.hpp" // Header

#include <cstdint>     // int32_t
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view
#include <variant>     // variant
#include <vector>      // vector

namespace fulmarshelf {

/// @brief A complete message on one HTTP/2 stream.
struct PeerMessage {
  std::vector<Header> Headers_; ///< pseudo header fields included
  std::string Body_;
  friend bool operator==(const PeerMessage &, const PeerMessage &) = default;
};

/// @brief A complete message was received.
struct PeerReceived {
  std::int32_t Stream_ = 0;
  PeerMessage Message_;
};

/// @brief A stream ended before its response was completely sent or received.
struct PeerStreamEnded {
  std::int32_t Stream_ = 0;
  bool Refused_ = false; ///< the peer did no work (REFUSED_STREAM, RFC 9113)
};

/// @brief Event decoded from the bytes of a peer.
using PeerEvent = std::variant<PeerReceived, PeerStreamEnded>;

/// @brief Side of a connection that a session implements.
enum class PeerRole : std::uint8_t { Client, Server };

/// @brief One HTTP/2 connection between nodes, driven by bytes in and out; it
/// has no socket.
class PeerSession {
public:
  explicit PeerSession(PeerRole Role);
  PeerSession(PeerSession &&) noexcept;
  PeerSession &operator=(PeerSession &&) noexcept;
  ~PeerSession();

  /// @brief Processes received bytes.
  /// @return false when the peer violated the protocol and the connection must
  /// be closed
  bool receive(std::string_view Bytes);

  /// @brief Takes the events since the last call, in order.
  std::vector<PeerEvent> takeEvents();

  /// @brief Opens a stream with a complete request (client side).
  /// @return the stream id, or a negative number when the session is closing
  std::int32_t request(const PeerMessage &Message);

  /// @brief Sends the response on a stream (server side); ignored when the
  /// stream has ended.
  void respond(std::int32_t Stream, const PeerMessage &Message);

  /// @brief Ends a stream with RST_STREAM(CANCEL).
  void cancel(std::int32_t Stream);

  /// @brief Queues a PING.
  void ping();

  /// @brief Takes the bytes to send.
  std::string takeOutput();

  /// @brief True when the session has nothing left to read or write.
  bool isFinished() const;

  /// @brief Maximum size of one message body in bytes: that of the largest
  /// response that an owner takes from its backend server.
  static constexpr std::size_t MaxMessageBytes = std::size_t{16} * 1024 * 1024;

  struct State; ///< accessed only by the nghttp2 callbacks

private:
  std::unique_ptr<State> State_;
};

} // namespace fulmarshelf

#endif
