#ifndef FULMARSHELF_DETAIL_SHELL_HTTP1_SESSION_HPP
#define FULMARSHELF_DETAIL_SHELL_HTTP1_SESSION_HPP

#include "fulmarshelf/detail/wire/http.hpp" // HttpRequest, HttpResponse

#include <chrono>      // milliseconds
#include <cstdint>     // uint64_t
#include <memory>      // unique_ptr
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace fulmarshelf {

/// @brief Bounds on what a peer may send in one message.
struct HttpLimits {
  std::uint32_t HeaderBytes_ = 16 * 1024;
  std::uint64_t BodyBytes_ = std::uint64_t{1024} * 1024;
  friend bool operator==(const HttpLimits &, const HttpLimits &) = default;
};

/// @brief Server side of one HTTP/1.1 connection: bytes in, requests out, and
/// back. It has no socket, so that tests and fuzzers can drive it.
class HttpServerSession {
public:
  explicit HttpServerSession(const HttpLimits &Limits);
  HttpServerSession(HttpServerSession &&) noexcept;
  HttpServerSession &operator=(HttpServerSession &&) noexcept;
  ~HttpServerSession();

  /// @brief Takes bytes in; nothing is parsed while a request is unanswered.
  void receive(std::string_view Bytes);

  /// @brief Takes the next whole request.
  /// @return false when there is none, or one is still unanswered
  bool nextRequest(HttpRequest &Result);

  /// @brief Bounds of requests that begin from now on.
  void setLimits(const HttpLimits &Limits);

  /// @brief Announces the end of the connection with the next answer.
  void closeAfterAnswer();

  /// @brief Answers the request that was taken last.
  void respond(const HttpResponse &Response);

  /// @brief Takes the bytes to send.
  std::string takeOutput();

  /// @brief True when the connection has to end after the output: the peer
  /// asked for it, or sent something that is not HTTP.
  bool wantsClose() const;

  /// @brief True when bytes of a request that is not whole are here.
  bool isReading() const;

  /// @brief True while a request was taken and not answered.
  bool isBusy() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

/// @brief What became of the request of a client session.
enum class ClientResult : std::uint8_t {
  Waiting,
  Answered,
  Broken, ///< the peer sent something that is not a whole HTTP answer
};

/// @brief Client side of one HTTP/1.1 connection, one request at a time.
class HttpClientSession {
public:
  explicit HttpClientSession(const HttpLimits &Limits);
  HttpClientSession(HttpClientSession &&) noexcept;
  HttpClientSession &operator=(HttpClientSession &&) noexcept;
  ~HttpClientSession();

  /// @brief Bytes of a request; the session then waits for its answer.
  /// @param Host value of the Host field
  std::string send(const HttpRequest &Request, const std::string &Host);

  /// @brief Takes bytes in.
  ClientResult receive(std::string_view Bytes, HttpResponse &Result);

  /// @brief Passes over the answer that receive() or this just gave and waits
  /// for the next.
  ClientResult skipAnswer(HttpResponse &Result);

  /// @brief How long the peer says it keeps the connection when idle, less a
  /// margin for what is under way; nullopt when it does not say.
  std::optional<std::chrono::milliseconds> idleTime() const;

  /// @brief The peer closed; an answer without a length ends by that.
  ClientResult end(HttpResponse &Result);

  /// @brief True when the connection may carry another request.
  bool isReusable() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace fulmarshelf

#endif
