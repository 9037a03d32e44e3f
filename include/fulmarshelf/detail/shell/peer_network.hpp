#ifndef FULMARSHELF_DETAIL_SHELL_PEER_NETWORK_HPP
#define FULMARSHELF_DETAIL_SHELL_PEER_NETWORK_HPP

#include "fulmarshelf/detail/engine/inputs.hpp"          // Input
#include "fulmarshelf/detail/shell/connection_table.hpp" // ConnectionTable
#include "fulmarshelf/detail/shell/listener.hpp"         // Listener
#include "fulmarshelf/detail/shell/peer_codec.hpp"       // HelloMessage
#include "fulmarshelf/detail/shell/peer_session.hpp"     // PeerSession

#include <functional>    // function
#include <unordered_map> // unordered_map

namespace fulmarshelf {

/// @brief HTTP/2 connections to and from other nodes.
class PeerNetwork {
public:
  using Handler = std::function<void(Input)>;

  /// @throw boost::system::system_error when the address cannot be bound
  PeerNetwork(boost::asio::io_context &Context, const Endpoint &ListenAddress,
              const HelloMessage &Self, Handler OnInput);

  /// @brief Opens a connection and sends a HelloMessage to the peer.
  void open(LinkId Link, const Endpoint &Peer);
  void close(LinkId Link);
  void ping(LinkId Link);

  /// @brief Sends messages over an open connection; when the connection is
  /// lost, the core receives LinkClosed.
  void send(LinkId Link, const CallMessage &Message);
  void send(LinkId Link, const RevokeMessage &Message);
  void send(LinkId Link, const SyncMessage &Message);
  void cancel(LinkId Link, std::uint64_t Sequence);

  /// @brief Sends the response on a stream; ignored when the stream has ended.
  void answer(StreamKey Stream, const PeerMessage &Message);

  /// @brief Number of connections that other nodes opened.
  std::size_t inbound() const { return Inbound_.size(); }

  /// @brief Size of all hello, revoke and sync requests that this node sent and
  /// of all sync responses that it received, in bytes.
  std::uint64_t controlBytes() const { return ControlBytes_; }

private:
  enum class Kind : std::uint8_t { Hello, Call, Revoke, Sync };
  struct PendingRequest {
    Kind Kind_ = Kind::Hello;
    std::uint64_t Sequence_ = 0;
  };
  struct Outbound {
    LinkId Link_;
    PeerSession Http_;
    std::unordered_map<std::int32_t, PendingRequest> PendingRequests_;
    std::unordered_map<std::uint64_t, std::int32_t> CallStreams_;
  };
  struct Inbound {
    PeerSession Http_;
    std::unordered_map<std::int32_t, StreamKey> Streams_;
  };
  struct StreamAddress {
    ConnectionId Connection_;
    std::int32_t Stream_ = 0;
  };

  void onOpen(ConnectionId Source);
  void onBytes(ConnectionId Source, std::string_view Bytes);
  void onClosed(ConnectionId Source);
  void receiveOutbound(ConnectionId Source, std::string_view Bytes);
  void receiveInbound(ConnectionId Source, std::string_view Bytes);
  void handleResponse(LinkId Link, const PendingRequest &Request,
                      const PeerMessage &Message);
  void handleStreamEnd(LinkId Link, const PendingRequest &Request,
                       bool Refused);
  void handleRequest(ConnectionId Source, std::int32_t Stream,
                     const PeerMessage &Message);
  void sendRequest(LinkId Link, const PendingRequest &Request,
                   const PeerMessage &Message);
  Outbound *find(LinkId Link);
  void flush(ConnectionId Target, PeerSession &Http);
  void dropInbound(ConnectionId Source);

  HelloMessage Self_;
  Handler OnInput_;
  ConnectionTable Connections_;
  Listener Listener_;
  std::unordered_map<ConnectionId, Outbound> Outbound_;
  std::unordered_map<ConnectionId, Inbound> Inbound_;
  std::unordered_map<LinkId, ConnectionId> Links_;
  std::unordered_map<StreamKey, StreamAddress> Streams_;
  std::uint64_t LastStream_ = 0;
  std::uint64_t ControlBytes_ = 0;
};

} // namespace fulmarshelf

#endif
