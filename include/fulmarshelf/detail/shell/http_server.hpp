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
/// across connections and in turn within one.
class HttpServer {
public:
  struct Handlers {
    std::function<void(CallerKey, HttpRequest)> OnRequest_;
    std::function<void(CallerKey)> OnGone_; ///< before the answer
  };

  /// @param KeySpace tells the keys of several services apart, 0 to 255
  /// @param MaxConnections further connections are closed at once
  /// @throw boost::system::system_error when the address cannot be bound
  HttpServer(boost::asio::io_context &Context, const Endpoint &Place,
             std::uint64_t KeySpace, std::size_t MaxConnections,
             const HttpLimits &Limits, Handlers Calls);

  /// @brief Answers a request; ignored when its caller is gone.
  void respond(CallerKey Caller, const HttpResponse &Response);

  /// @brief Bounds of requests, and how long connections may be idle or take
  /// for one request; checked about every second.
  void setLimits(const HttpLimits &Limits,
                 std::chrono::milliseconds IdleTimeout,
                 std::chrono::milliseconds RequestTimeout);

  /// @brief From now on each answer announces the end of its connection.
  void closeAfterAnswers();

  /// @brief Takes no new connections; the open ones go on.
  void stopAccepting();

  std::size_t connections() const { return Connections_.size(); }

private:
  struct Exchange {
    HttpServerSession Http_;
    std::optional<CallerKey> Caller_;
    std::chrono::steady_clock::time_point QuietSince_; ///< answer or accept
    std::chrono::steady_clock::time_point ReadingSince_;
    bool Reading_ = false; ///< part of a request is here
  };

  void accept(boost::asio::ip::tcp::socket Socket);
  void onBytes(ConnectionId Source, std::string_view Bytes);
  void onClosed(ConnectionId Source);
  void advance(ConnectionId Source);
  void noteReading(Exchange &Entry);
  void sweep();
  void armSweep();

  HttpLimits Limits_;
  Handlers Calls_;
  std::size_t MaxConnections_;
  std::uint64_t LastKey_;
  ConnectionTable Connections_;
  Listener Listener_;
  boost::asio::steady_timer SweepTimer_;
  std::chrono::milliseconds IdleTimeout_{0}; ///< 0: none
  std::chrono::milliseconds RequestTimeout_{0};
  bool Closing_ = false;
  std::unordered_map<ConnectionId, Exchange> Exchanges_;
  std::unordered_map<CallerKey, ConnectionId> Callers_;
};

} // namespace fulmarshelf

#endif
