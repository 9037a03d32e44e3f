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

/// @brief How a connection ended that this side did not close.
enum class ConnectionEnd : std::uint8_t {
  Finished, ///< the peer sent all it had and closed
  Broken,   ///< reset, timed out, or never opened
};

/// @brief TCP connections, addressed by ids; moves bytes and knows no protocol.
///
/// An entry stays in the table until its last asynchronous operation has
/// ended, so that no buffer is freed under the kernel's hands. No handler is
/// called for a connection after it was closed from this side.
class ConnectionTable {
public:
  /// @brief What happens to connections; called from the io_context's thread.
  struct Handlers {
    std::function<void(ConnectionId)> OnOpen_;
    std::function<void(ConnectionId, std::string_view)> OnBytes_;
    /// By the peer or by an error.
    std::function<void(ConnectionId, ConnectionEnd)> OnClosed_;
  };

  ConnectionTable(boost::asio::io_context &Context, Handlers Calls);

  /// @brief Opens a connection; OnOpen_ or OnClosed_ follows later.
  /// @param Timeout after which an attempt to connect counts as failed
  ConnectionId connect(const Endpoint &Peer, std::chrono::milliseconds Timeout);

  /// @brief Takes an accepted socket in; reading begins at once.
  ConnectionId adopt(boost::asio::ip::tcp::socket Socket);

  /// @brief Queues bytes; O(length). Ignored when the connection is gone.
  void write(ConnectionId Target, std::string Bytes);

  /// @brief Closes without a handler call; what is queued is lost.
  void close(ConnectionId Target);
  /// @brief Ends after the queued bytes are written, and takes in what the peer
  /// still sends for a while, since closing on unread bytes would reset the
  /// connection and with it what was written.
  void closeWhenWritten(ConnectionId Target);

  /// @brief Bytes that wait to be written.
  std::size_t backlog(ConnectionId Target) const;

  /// @brief Open connections, those that close included.
  std::size_t size() const { return Connections_.size(); }

private:
  static constexpr std::size_t ReadSize = std::size_t{16} * 1024;

  struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket Open)
        : Socket_(std::move(Open)), Timer_(Socket_.get_executor()) {}

    boost::asio::ip::tcp::socket Socket_;
    boost::asio::steady_timer Timer_;
    std::array<char, ReadSize> Input_{};
    std::string Writing_;
    std::string Pending_;
    unsigned Operations_ = 0;
    bool Open_ = false; ///< connected; bytes wait until then
    bool Closing_ = false;
    bool CloseWhenWritten_ = false;
    bool Lingering_ = false; ///< all is written; what comes in is passed over
  };

  ConnectionId insert(boost::asio::ip::tcp::socket Socket);
  Connection *find(ConnectionId Target);
  bool endOperation(ConnectionId Target);
  void startRead(ConnectionId Target);
  void startWrite(ConnectionId Target);
  void fail(ConnectionId Target, ConnectionEnd How);
  void linger(ConnectionId Target);

  boost::asio::io_context &Context_;
  Handlers Calls_;
  std::unordered_map<ConnectionId, Connection> Connections_;
  std::uint64_t Last_ = 0;
};

/// @brief Asio's form of an endpoint.
boost::asio::ip::tcp::endpoint toTcp(const Endpoint &Place);

} // namespace fulmarshelf

#endif
