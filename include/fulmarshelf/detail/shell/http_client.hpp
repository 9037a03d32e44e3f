#ifndef FULMARSHELF_DETAIL_SHELL_HTTP_CLIENT_HPP
#define FULMARSHELF_DETAIL_SHELL_HTTP_CLIENT_HPP

#include "fulmarshelf/detail/shell/connection_table.hpp" // ConnectionTable
#include "fulmarshelf/detail/shell/http1_session.hpp"    // HttpClientSession
#include "fulmarshelf/detail/wire/call_failure.hpp"      // CallFailure

#include <chrono>        // milliseconds
#include <functional>    // function
#include <limits>        // numeric_limits
#include <map>           // map
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <variant>       // variant
#include <vector>        // vector

namespace fulmarshelf {

/// @brief One HTTP call of this process.
using HttpCallId = Id<struct HttpCallTag>;

/// @brief A call ended without a complete response.
struct HttpFailure {
  CallFailure Reason_ = CallFailure::NotSent;
};

/// @brief Outcome of a call.
using HttpResult = std::variant<HttpResponse, HttpFailure>;

/// @brief Reads the traits of a response to a request.
using ResponseInspector =
    std::function<ResponseTraits(const HttpRequest &, const HttpResponse &)>;

/// @brief Options of a call.
struct HttpCallOptions {
  std::chrono::milliseconds ConnectTimeout_{1000};
  std::chrono::milliseconds Timeout_{0}; ///< 0: none
  bool NewConnection_ = false;           ///< use no idle connection
  /// Inspects a response; an empty function accepts any. A response to another
  /// request is skipped, since the one to this request may still follow. A
  /// refusal is the last response on its connection: a faulty server may write
  /// it again. A response that names no request is accepted on a new connection
  /// only.
  ResponseInspector Inspect_;
};

/// @brief HTTP/1.1 client that keeps idle connections for later calls.
class HttpClient {
public:
  using Handler = std::function<void(HttpCallId, const HttpResult &)>;

  /// @param MaxIdle maximum number of idle connections kept for one address
  HttpClient(boost::asio::io_context &Context, const HttpLimits &Limits,
             std::size_t MaxIdle, Handler OnDone);

  /// @brief Starts a call; the handler runs once unless the call is cancelled.
  HttpCallId call(const Endpoint &Peer, HttpRequest Request,
                  const HttpCallOptions &Options);

  /// @brief Ends a call by closing its connection; no handler call follows.
  void cancel(HttpCallId CallId);

  /// @brief Sets the size of all incomplete responses that the client holds.
  /// Beyond it, the call with the largest incomplete response fails.
  void setMaxMemory(std::uint64_t Bytes) { MaxMemory_ = Bytes; }

  /// @brief Size of the incomplete responses that the client holds.
  std::uint64_t memory() const { return Memory_; }

  /// @brief Number of calls in progress.
  std::size_t size() const { return Calls_.size(); }

private:
  struct Call {
    Endpoint Peer_;
    HttpRequest Request_;
    ResponseInspector Inspect_;
    ConnectionId Connection_;
    bool Sent_ = false;
    std::unique_ptr<boost::asio::steady_timer> Timer_;
  };
  struct Client {
    HttpClientSession Http_;
    HttpCallId Call_; ///< 0 while the connection is idle
    Endpoint Peer_;
    std::chrono::steady_clock::time_point IdleUntil_;
    bool ResponseMismatched_ = false; ///< received another request's response
    bool Reused_ = false;             ///< carried an earlier call
    std::uint64_t Memory_ = 0;        ///< its part of Memory_ of all
  };

  void send(HttpCallId CallId);
  void onOpen(ConnectionId Source);
  void onBytes(ConnectionId Source, std::string_view Bytes);
  void onClosed(ConnectionId Source, CloseReason Reason);
  std::optional<ConnectionId> takeIdle(const Endpoint &Peer);
  static ResponseTraits inspect(const Call &Current, bool Reused,
                                const HttpResponse &Response);
  void updateMemory(Client &Entry);
  void failLargest();
  void drop(ConnectionId Connection);
  void keepIdle(ConnectionId Connection);
  void finish(HttpCallId CallId, const HttpResult &Result);

  boost::asio::io_context &Context_;
  HttpLimits Limits_;
  std::size_t MaxIdle_;
  Handler OnDone_;
  ConnectionTable Connections_;
  std::unordered_map<HttpCallId, Call> Calls_;
  std::unordered_map<ConnectionId, Client> Clients_;
  std::map<Endpoint, std::vector<ConnectionId>> Idle_;
  std::uint64_t LastId_ = 0;
  std::uint64_t MaxMemory_ = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t Memory_ = 0;
};

/// @brief Makes one call and blocks until it ends; for command-line tools.
HttpResult fetch(const Endpoint &Peer, const HttpRequest &Request,
                 std::chrono::milliseconds Timeout);

} // namespace fulmarshelf

#endif
