#ifndef FULMARSHELF_DETAIL_SHELL_HTTP1_SESSION_HPP
#define FULMARSHELF_DETAIL_SHELL_HTTP1_SESSION_HPP

#include "fulmarshelf/detail/base/error.hpp" // ErrorCode
#include "fulmarshelf/detail/base/time.hpp"  // Micros
#include "fulmarshelf/detail/wire/http.hpp"  // HttpRequest, HttpResponse

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

/// @brief Limits of the requests that one connection has in progress at a time
/// (HTTP/1.1 pipelining, RFC 9112 section 9.3.2).
struct PipelineLimits {
  std::uint32_t Requests_ = 1; ///< requests in progress; 1: no pipelining
  /// Size of the responses that wait for the response to an earlier request.
  std::uint64_t HeldBytes_ = std::uint64_t{1024} * 1024;
  friend bool operator==(const PipelineLimits &,
                         const PipelineLimits &) = default;
};

/// @brief Number of a request on its connection, from 1.
using RequestNumber = std::uint64_t;

/// @brief Server side of one HTTP/1.1 connection: parses received bytes into
/// requests and serializes responses in the order of the requests. It has no
/// socket and no clock, so that tests and fuzzers can drive it.
class HttpServerSession {
public:
  using Time = std::chrono::steady_clock::time_point;

  explicit HttpServerSession(const HttpLimits &Limits,
                             const PipelineLimits &Pipeline = {});
  HttpServerSession(HttpServerSession &&) noexcept;
  HttpServerSession &operator=(HttpServerSession &&) noexcept;
  ~HttpServerSession();

  /// @brief Buffers received bytes; they are not parsed while the pipeline
  /// limits are reached.
  /// @param At time at which the bytes were received
  void receive(std::string_view Bytes, Time At = {});

  /// @brief Parses the next request and leaves it in the session.
  /// @return nullptr when there is no complete request, or while the pipeline
  /// limits are reached; valid until nextRequest()
  const HttpRequest *peekRequest();

  /// @brief Takes the next complete request; its number is lastRequest().
  /// @return false where peekRequest() returns nullptr
  bool nextRequest(HttpRequest &Request);

  /// @brief Number of the request that was taken last; 0: none.
  RequestNumber lastRequest() const;

  /// @brief Time at which the last byte of the request taken last was received.
  Time receivedAt() const;

  /// @brief Sets the limits for requests that begin after this call.
  void setLimits(const HttpLimits &Limits);

  /// @brief Ends the connection after the response to the request that was
  /// taken last or, when all requests are answered, after the next response.
  /// Later requests are not taken.
  void closeAfterResponse();

  /// @brief Refuses the request that is being received and ends the connection
  /// after the refusal; ignored when no request is being received.
  void refuseIncomplete(ErrorCode Error, Micros RetryAfter);

  /// @brief Responds to a request. The response is held until all earlier
  /// requests are answered.
  void respond(RequestNumber Number, const HttpResponse &Response);

  /// @brief Responds to the oldest request without a response.
  void respond(const HttpResponse &Response);

  /// @brief Number of requests that were taken and whose responses are not in
  /// the output yet.
  std::size_t inProgress() const;

  /// @brief Takes the bytes to send.
  std::string takeOutput();

  /// @brief True when the connection must be closed after the output is
  /// written: the peer requested it, or sent bytes that are not valid HTTP.
  bool wantsClose() const;

  /// @brief True when part of an incomplete request has been received.
  bool isReading() const;

  /// @brief True while a request has been taken and not answered.
  bool isBusy() const;

  /// @brief True when bytes were received that belong to requests which were
  /// not taken yet.
  bool hasInput() const;

  /// @brief True when no more bytes should be read before a response is sent.
  bool isFull() const;

  /// @brief Size of the received bytes that belong to no taken request.
  std::size_t bufferedBytes() const;

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

  /// @brief Size of the received part of an incomplete response.
  std::size_t bufferedBytes() const;

  /// @brief True when the connection may carry another request.
  bool isReusable() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace fulmarshelf

#endif
