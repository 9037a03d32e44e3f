#ifndef FULMARSHELF_DETAIL_SHELL_HTTP1_SESSION_HPP
#define FULMARSHELF_DETAIL_SHELL_HTTP1_SESSION_HPP

#include "fulmarshelf/detail/wire/http.hpp" // HttpRequest, HttpResponse

#include <chrono>      // milliseconds
#include <cstdint>     // uint64_t
#include <memory>      // unique_ptr
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace fulmarshelf {

/// @brief Maximum sizes of one message from a peer.
struct HttpLimits {
  std::uint32_t HeaderBytes_ = 16 * 1024;
  std::uint64_t BodyBytes_ = std::uint64_t{1024} * 1024;
  friend bool operator==(const HttpLimits &, const HttpLimits &) = default;
};

/// @brief Server side of one HTTP/1.1 connection: parses received bytes into
/// requests and serializes responses. It has no socket, so that tests and
/// fuzzers can drive it.
class HttpServerSession {
public:
  explicit HttpServerSession(const HttpLimits &Limits);
  HttpServerSession(HttpServerSession &&) noexcept;
  HttpServerSession &operator=(HttpServerSession &&) noexcept;
  ~HttpServerSession();

  /// @brief Buffers received bytes; they are not parsed while a request is
  /// unanswered.
  void receive(std::string_view Bytes);

  /// @brief Takes the next complete request.
  /// @return false when there is none, or while the previous one is unanswered
  bool nextRequest(HttpRequest &Request);

  /// @brief Sets the limits for requests that begin after this call.
  void setLimits(const HttpLimits &Limits);

  /// @brief Makes the next response announce the end of the connection.
  void closeAfterResponse();

  /// @brief Responds to the request that was taken last.
  void respond(const HttpResponse &Response);

  /// @brief Takes the bytes to send.
  std::string takeOutput();

  /// @brief True when the connection must be closed after the output is
  /// written: the peer requested it, or sent bytes that are not valid HTTP.
  bool wantsClose() const;

  /// @brief True when part of an incomplete request has been received.
  bool isReading() const;

  /// @brief True while a request has been taken and not answered.
  bool isBusy() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

/// @brief State of the current request of a client session.
enum class ClientResult : std::uint8_t {
  Waiting,
  Answered,
  Broken, ///< the bytes received are not a complete HTTP response
};

/// @brief Client side of one HTTP/1.1 connection, one request at a time.
class HttpClientSession {
public:
  explicit HttpClientSession(const HttpLimits &Limits);
  HttpClientSession(HttpClientSession &&) noexcept;
  HttpClientSession &operator=(HttpClientSession &&) noexcept;
  ~HttpClientSession();

  /// @brief Serializes a request; the session then waits for its response.
  /// @param Host value of the Host field if the request has no such field
  std::string send(const HttpRequest &Request, const std::string &Host);

  /// @brief Parses received bytes.
  ClientResult receive(std::string_view Bytes, HttpResponse &Response);

  /// @brief Discards the response last returned by receive() or skipResponse()
  /// and waits for the next one.
  ClientResult skipResponse(HttpResponse &Response);

  /// @brief Time for which the peer keeps the idle connection open, as its
  /// Keep-Alive field states, less a margin of one second for bytes in transit.
  /// Returns nullopt when the field states no time.
  std::optional<std::chrono::milliseconds> idleTime() const;

  /// @brief Handles the peer's close, which ends a response without a length.
  ClientResult end(HttpResponse &Response);

  /// @brief True when the connection may carry another request.
  bool isReusable() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace fulmarshelf

#endif
