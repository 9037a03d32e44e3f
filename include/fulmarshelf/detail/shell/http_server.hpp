#ifndef FULMARSHELF_DETAIL_SHELL_HTTP_SERVER_HPP
#define FULMARSHELF_DETAIL_SHELL_HTTP_SERVER_HPP

#include "fulmarshelf/detail/shell/connection_table.hpp" // ConnectionTable
#include "fulmarshelf/detail/shell/http1_session.hpp"    // HttpServerSession
#include "fulmarshelf/detail/shell/listener.hpp"         // Listener

#include <chrono>        // milliseconds
#include <functional>    // function
#include <optional>      // optional
#include <unordered_map> // unordered_map

namespace fulmarshelf {

/// @brief HTTP/1.1 server at one address; requests are answered in any order
/// across connections and in order of arrival within one connection.
class HttpServer {
public:
  struct Handlers {
    std::function<void(CallerKey, HttpRequest)> OnRequest_;
    /// The connection ended before the response was sent.
    std::function<void(CallerKey)> OnDisconnected_;
  };

  /// @param KeySpace highest byte of this server's caller keys, from 0 to 255;
  /// differs between the servers of a process
  /// @param MaxConnections limit beyond which connections are closed at once
  /// @throw boost::system::system_error when the address cannot be bound
  HttpServer(boost::asio::io_context &Context, const Endpoint &ListenAddress,
             std::uint64_t KeySpace, std::size_t MaxConnections,
             const HttpLimits &Limits, Handlers Callbacks);

  /// @brief Responds to a request; ignored when its caller has disconnected.
  void respond(CallerKey Caller, const HttpResponse &Response);

  /// @brief Sets the size limits of requests, and the time for which a
  /// connection may be idle or may take to send one request; the times are
  /// checked about every second.
  void setLimits(const HttpLimits &Limits,
                 std::chrono::milliseconds IdleTimeout,
                 std::chrono::milliseconds RequestTimeout);

  /// @brief Makes each later response announce the end of its connection.
  void closeAfterResponses();

  /// @brief Stops accepting connections; open ones stay open.
  void stopAccepting();

  std::size_t connections() const { return Connections_.size(); }

private:
  /// A connection and the request that it carries.
  struct Exchange {
    HttpServerSession Http_;
    std::optional<CallerKey> Caller_;
    /// Time of the last response, or of the accept before the first response.
    std::chrono::steady_clock::time_point IdleSince_;
    std::chrono::steady_clock::time_point ReadingSince_;
    bool Reading_ = false; ///< part of an incomplete request was received
  };

  void accept(boost::asio::ip::tcp::socket Socket);
  void onBytes(ConnectionId Source, std::string_view Bytes);
  void onClosed(ConnectionId Source);
  void advance(ConnectionId Source);
  void updateReading(Exchange &Entry);
  void sweep();
  void armSweep();

  HttpLimits Limits_;
  Handlers Callbacks_;
  std::size_t MaxConnections_;
  std::uint64_t LastKey_;
  ConnectionTable Connections_;
  Listener Listener_;
  boost::asio::steady_timer SweepTimer_;
  std::chrono::milliseconds IdleTimeout_{0}; ///< 0: none
  std::chrono::milliseconds RequestTimeout_{0};
  bool Closing_ = false; ///< set by closeAfterResponses()
  std::unordered_map<ConnectionId, Exchange> Exchanges_;
  std::unordered_map<CallerKey, ConnectionId> Callers_;
};

} // namespace fulmarshelf

#endif
