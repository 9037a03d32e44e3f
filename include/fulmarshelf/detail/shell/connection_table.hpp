#ifndef FULMARSHELF_DETAIL_SHELL_CONNECTION_TABLE_HPP
#define FULMARSHELF_DETAIL_SHELL_CONNECTION_TABLE_HPP

#include "fulmarshelf/detail/base/ids.hpp"               // Id
#include "fulmarshelf/detail/settings/node_settings.hpp" // Endpoint

#include <utility> // exchange, which Asio's coroutine headers need

#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/ip/tcp.hpp>       // tcp
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <array>         // array
#include <functional>    // function
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map

namespace fulmarshelf {

/// @brief One TCP connection of this process.
using ConnectionId = Id<struct ConnectionTag>;

/// @brief Reason for the end of a connection that this side did not close.
enum class CloseReason : std::uint8_t {
  PeerClosed, ///< the peer closed the connection without an error
  Refused,    ///< no process listens at the peer's address
  Failed,     ///< the connection was reset, timed out or never established
};

/// @brief TCP connections, addressed by id; independent of the protocol that
/// they carry.
///
/// An entry stays in the table until its last asynchronous operation has
/// ended, because the kernel may use its buffers until then. No handler is
/// called for a connection after this side has closed it.
class ConnectionTable {
public:
  /// @brief Callbacks for connection events, called from the io_context's
  /// thread.
  struct Handlers {
    std::function<void(ConnectionId)> OnOpen_;
    std::function<void(ConnectionId, std::string_view)> OnBytes_;
    /// The peer closed the connection, or an error ended it.
    std::function<void(ConnectionId, CloseReason)> OnClosed_;
  };

  ConnectionTable(boost::asio::io_context &Context, Handlers Callbacks);

  /// @brief Opens a connection; OnOpen_ or OnClosed_ follows later.
  /// @param Timeout time after which the connection attempt fails
  ConnectionId connect(const Endpoint &Peer, std::chrono::milliseconds Timeout);

  /// @brief Adds an accepted socket and starts to read from it.
  ConnectionId adopt(boost::asio::ip::tcp::socket Socket);

  /// @brief Queues bytes; O(length). Ignored when the connection is closed.
  void write(ConnectionId Id, std::string Bytes);

  /// @brief Closes without a handler call; queued bytes are lost.
  void close(ConnectionId Id);
  /// @brief Closes after the queued bytes are written. Until the peer closes,
  /// but for one second at most, incoming bytes are read and discarded: closing
  /// a socket with unread bytes resets the connection, which may discard the
  /// bytes that were written.
  void closeWhenWritten(ConnectionId Id);

  /// @brief Stops or resumes reading; the kernel buffers what the peer sends
  /// meanwhile, and a close by the peer is noticed only after reading resumes.
  /// A read in progress still delivers its bytes.
  void setReading(ConnectionId Id, bool Enabled);

  /// @brief Number of bytes queued or being written.
  std::size_t backlog(ConnectionId Id) const;

  /// @brief Number of connections that are being opened, open or closing.
  std::size_t size() const { return Connections_.size(); }

private:
  static constexpr std::size_t ReadSize = std::size_t{16} * 1024;

  struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket Open)
        : Socket_(std::move(Open)), Timer_(Socket_.get_executor()) {}

    boost::asio::ip::tcp::socket Socket_;
    boost::asio::steady_timer Timer_;
    std::array<char, ReadSize> Input_{};
    std::string Writing_;     ///< bytes of the write in progress
    std::string Pending_;     ///< bytes of the next write
    unsigned Operations_ = 0; ///< asynchronous operations in progress
    bool Open_ = false;       ///< connected; while false, bytes stay queued
    bool ReadEnabled_ = true;
    bool ReadInProgress_ = false;
    bool Closing_ = false;
    bool CloseWhenWritten_ = false;
    bool Lingering_ = false; ///< all bytes written; input is discarded
  };

  ConnectionId insert(boost::asio::ip::tcp::socket Socket);
  Connection *find(ConnectionId Id);
  bool endOperation(ConnectionId Id);
  void startRead(ConnectionId Id);
  void startWrite(ConnectionId Id);
  void fail(ConnectionId Id, CloseReason Reason);
  void linger(ConnectionId Id);

  boost::asio::io_context &Context_;
  Handlers Callbacks_;
  std::unordered_map<ConnectionId, Connection> Connections_;
  std::uint64_t LastId_ = 0;
};

/// @brief Converts an endpoint to Asio's type.
boost::asio::ip::tcp::endpoint toTcp(const Endpoint &Address);

} // namespace fulmarshelf

#endif
