#ifndef FULMARSHELF_DETAIL_SHELL_HTTP_SERVER_HPP
#define FULMARSHELF_DETAIL_SHELL_HTTP_SERVER_HPP

#include "fulmarshelf/detail/shell/connection_table.hpp" // ConnectionTable
#include "fulmarshelf/detail/shell/http1_session.hpp"    // HttpServerSession
#include "fulmarshelf/detail/shell/listener.hpp"         // Listener

#include <chrono>        // milliseconds
#include <deque>         // deque
#include <functional>    // function
#include <limits>        // numeric_limits
#include <unordered_map> // unordered_map

namespace fulmarshelf {

/// @brief Counts of the requests that one server received.
struct HttpServerCounts {
  std::uint64_t Pipelined_ = 0; ///< started while an earlier one was unanswered
  std::uint64_t HeldResponses_ = 0; ///< waited for an earlier response
  /// Held until after the time by which the caller needed them.
  std::uint64_t LateHeldResponses_ = 0;
  std::uint64_t RefusedForMemory_ = 0; ///< refused while being received
  friend bool operator==(const HttpServerCounts &,
                         const HttpServerCounts &) = default;
};

/// @brief HTTP/1.1 server at one address; requests are answered in any order
/// across connections and in order of arrival within one connection.
class HttpServer {
public:
  using Clock = std::chrono::steady_clock;

  struct Handlers {
    std::function<void(CallerKey, HttpRequest)> OnRequest_;
    /// The connection ended before the response was sent.
    std::function<void(CallerKey)> OnDisconnected_;
    /// Returns whether a request may run while an earlier one of its connection
    /// is unanswered; an empty function permits it for no request.
    std::function<bool(CallerKey, const HttpRequest &)> MayOverlap_ = {};
  };

  /// @param KeySpace highest byte of this server's caller keys, from 0 to 255;
  /// differs between the servers of a process
  /// @param MaxConnections limit beyond which connections are closed at once
  /// @throw boost::system::system_error when the address cannot be bound
  HttpServer(boost::asio::io_context &Context, const Endpoint &ListenAddress,
             std::uint64_t KeySpace, std::size_t MaxConnections,
             const HttpLimits &Limits, Handlers Callbacks);

  /// @brief Sets the pipeline limits of connections accepted from now on, and
  /// the size of all requests that the server holds, from the first byte of a
  /// request to its response. Beyond that size, requests with a body that is
  /// not complete are refused as not run.
  void setCapacity(const PipelineLimits &Pipeline,
                   std::uint64_t MaxRequestMemory);

  /// @brief Responds to a request; ignored when its caller has disconnected.
  void respond(CallerKey Caller, const HttpResponse &Response);

  /// @brief Time since the request of a caller was received; above zero when it
  /// waited for earlier requests of its connection.
  std::chrono::microseconds age(CallerKey Caller);

  /// @brief Sets the time by which a caller needs its response, for the counts.
  void setDeliverBy(CallerKey Caller, Clock::time_point DeliverBy);

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

  const HttpServerCounts &counts() const { return Counts_; }

  /// @brief Size of the requests that the server holds.
  std::uint64_t requestMemory() const { return RequestMemory_; }

private:
  /// A request without a sent response.
  struct PendingRequest {
    CallerKey Caller_;
    RequestNumber Number_ = 0;
    Clock::time_point ReceivedAt_;
    std::size_t BodyBytes_ = 0;
    bool Answered_ = false;
    bool Held_ = false; ///< its response waits for an earlier one
    Clock::time_point DeliverBy_ = Clock::time_point::max();
  };

  /// A connection and the requests that it carries.
  struct Exchange {
    HttpServerSession Http_;
    std::deque<PendingRequest> Pending_; ///< in the order of the requests
    /// Time of the last response, or of the accept before the first response.
    Clock::time_point IdleSince_;
    Clock::time_point ReadingSince_;
    bool Reading_ = false;     ///< part of an incomplete request was received
    bool Advancing_ = false;   ///< advance() is in progress
    std::uint64_t Memory_ = 0; ///< its part of RequestMemory_
  };

  void accept(boost::asio::ip::tcp::socket Socket);
  void onBytes(ConnectionId Source, std::string_view Bytes);
  void onClosed(ConnectionId Source);
  void advance(ConnectionId Source);
  bool startNext(ConnectionId Source, Exchange &Entry);
  bool mayStart(const Exchange &Entry, const HttpRequest &Next) const;
  void dropSent(Exchange &Entry);
  void sendResponses(ConnectionId Target, Exchange &Entry);
  static PendingRequest *findPending(Exchange &Entry, CallerKey Caller);
  void updateReading(Exchange &Entry);
  void updateMemory(Exchange &Entry);
  void erase(ConnectionId Target);
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
  PipelineLimits Pipeline_;
  std::uint64_t MaxRequestMemory_ = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t RequestMemory_ = 0;
  HttpServerCounts Counts_;
  boost::asio::io_context &Context_;
  std::unordered_map<ConnectionId, Exchange> Exchanges_;
  std::unordered_map<CallerKey, ConnectionId> Callers_;
};

} // namespace fulmarshelf

#endif
