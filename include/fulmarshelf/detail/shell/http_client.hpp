#ifndef FULMARSHELF_DETAIL_SHELL_HTTP_CLIENT_HPP
#define FULMARSHELF_DETAIL_SHELL_HTTP_CLIENT_HPP

#include "fulmarshelf/detail/shell/connection_table.hpp" // ConnectionTable
#include "fulmarshelf/detail/shell/http1_session.hpp"    // HttpClientSession

#include <chrono>        // milliseconds
#include <functional>    // function
#include <map>           // map
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <variant>       // variant
#include <vector>        // vector

namespace fulmarshelf {

/// @brief One HTTP call of this process.
using HttpCallId = Id<struct HttpCallTag>;

/// @brief A call ended without a whole answer.
struct HttpFailure {
  bool NeverSent_ = false; ///< no byte of the request left this process
};

/// @brief How a call ended.
using HttpResult = std::variant<HttpResponse, HttpFailure>;

/// @brief How a call is made.
struct HttpCallOptions {
  std::chrono::milliseconds ConnectTimeout_{1000};
  std::chrono::milliseconds Timeout_{0}; ///< 0: none
  bool NewConnection_ = false;           ///< no kept connection is used
  /// Whether an answer is the one to the request; empty: any is. One that is
  /// not belongs to an earlier request, and the right one may still follow.
  std::function<bool(const HttpRequest &, const HttpResponse &)> Matches_;
};

/// @brief HTTP/1.1 client that keeps connections for the next call.
class HttpClient {
public:
  using Handler = std::function<void(HttpCallId, const HttpResult &)>;

  /// @param MaxIdle connections kept for one address
  HttpClient(boost::asio::io_context &Context, const HttpLimits &Limits,
             std::size_t MaxIdle, Handler OnDone);

  /// @brief Starts a call; the handler is called once unless it is cancelled.
  HttpCallId call(const Endpoint &Peer, HttpRequest Request,
                  const HttpCallOptions &Options);

  /// @brief Ends a call by closing its connection; no handler call follows.
  void cancel(HttpCallId Target);

  /// @brief Calls in progress.
  std::size_t size() const { return Calls_.size(); }

private:
  struct Call {
    Endpoint Peer_;
    HttpRequest Request_;
    std::function<bool(const HttpRequest &, const HttpResponse &)> Matches_;
    ConnectionId Connection_;
    bool Sent_ = false;
    std::unique_ptr<boost::asio::steady_timer> Timer_;
  };
  struct Client {
    HttpClientSession Http_;
    HttpCallId Call_; ///< 0 while idle
    Endpoint Peer_;
    std::chrono::steady_clock::time_point IdleUntil_;
    bool Suspicious_ = false; ///< it carried an answer of another request
  };

  void send(HttpCallId Target);
  void onOpen(ConnectionId Source);
  void onBytes(ConnectionId Source, std::string_view Bytes);
  void onClosed(ConnectionId Source, ConnectionEnd How);
  std::optional<ConnectionId> takeIdle(const Endpoint &Peer);
  void drop(ConnectionId Target);
  void keep(ConnectionId Target);
  void finish(HttpCallId Target, const HttpResult &Result);

  boost::asio::io_context &Context_;
  HttpLimits Limits_;
  std::size_t MaxIdle_;
  Handler OnDone_;
  ConnectionTable Connections_;
  std::unordered_map<HttpCallId, Call> Calls_;
  std::unordered_map<ConnectionId, Client> Clients_;
  std::map<Endpoint, std::vector<ConnectionId>> Idle_;
  std::uint64_t Last_ = 0;
};

/// @brief Makes one call and waits for it; for command-line tools.
HttpResult fetch(const Endpoint &Peer, const HttpRequest &Request,
                 std::chrono::milliseconds Timeout);

} // namespace fulmarshelf

#endif
