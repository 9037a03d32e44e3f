#ifndef FULMARSHELF_DETAIL_WIRE_HTTP_HPP
#define FULMARSHELF_DETAIL_WIRE_HTTP_HPP

#include "fulmarshelf/detail/base/time.hpp" // Micros

#include <cstdint>     // uint16_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace fulmarshelf {

/// @brief One header field; names are compared without regard to case.
struct Header {
  std::string Name_;
  std::string Value_;
  friend bool operator==(const Header &, const Header &) = default;
};

/// @brief A whole request.
struct HttpRequest {
  std::string Method_;
  std::string Target_;
  std::vector<Header> Headers_;
  std::string Body_;
  friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

/// @brief A whole answer.
struct HttpResponse {
  std::uint16_t Status_ = 0;
  std::vector<Header> Headers_;
  std::string Body_;
  friend bool operator==(const HttpResponse &, const HttpResponse &) = default;
};

/// @brief What a caller says of its request besides the request itself, decoded
/// from whichever interface it came in by.
struct RequestMetadata {
  std::string Host_;       ///< in lower case, without a port
  std::string CallerKind_; ///< kind of caller, or the service that calls
  std::optional<Micros> TimeLeft_; ///< how long the caller will wait
  std::string IdempotencyKey_;     ///< empty: none
  std::string Parent_;             ///< work that makes this call; empty: none
  std::string CallerRequestId_;    ///< the caller's own id; empty: none
  friend bool operator==(const RequestMetadata &,
                         const RequestMetadata &) = default;
};

/// @brief A request as it came in.
struct IncomingRequest {
  HttpRequest Http_;
  RequestMetadata Metadata_;
  friend bool operator==(const IncomingRequest &,
                         const IncomingRequest &) = default;
};

/// @brief What a node tells the backend server along with a request.
struct DispatchMetadata {
  std::string Parent_;        ///< by which its calls name this work
  Micros TimeLeft_{0};        ///< after which the answer is of no use
  std::string Instance_;      ///< incarnation that alone may run it; empty: any
  std::string CallerService_; ///< where the request began
  std::string CallerRequestId_; ///< as the caller gave it; empty: none
  friend bool operator==(const DispatchMetadata &,
                         const DispatchMetadata &) = default;
};

/// @brief Load that a backend server tells of itself.
struct BackendLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  std::uint32_t Slots_ = 0;
  std::uint32_t Slowness_ = 100; ///< time that work takes now, 100: as usual
  friend bool operator==(const BackendLoad &, const BackendLoad &) = default;
};

/// @brief What a backend server says of its answer besides the answer itself.
struct ResponseMetadata {
  bool NotExecuted_ = false;   ///< it says that it did not run the request
  bool OtherInstance_ = false; ///< another incarnation than was expected
  std::optional<BackendLoad> Load_;
  friend bool operator==(const ResponseMetadata &,
                         const ResponseMetadata &) = default;
};

/// @brief Header names of the edge protocol; docs/HTTP.md describes each.
namespace header {
inline constexpr std::string_view Caller = "Fulmarshelf-Caller";
inline constexpr std::string_view DeadlineMs = "Fulmarshelf-Deadline-Ms";
inline constexpr std::string_view RequestId = "Fulmarshelf-Request-Id";
inline constexpr std::string_view Parent = "Fulmarshelf-Parent";
inline constexpr std::string_view Outcome = "Fulmarshelf-Outcome";
inline constexpr std::string_view Error = "Fulmarshelf-Error";
inline constexpr std::string_view Ticket = "Fulmarshelf-Ticket";
inline constexpr std::string_view Replayed = "Fulmarshelf-Replayed";
inline constexpr std::string_view RetryAfterMs = "Fulmarshelf-Retry-After-Ms";
inline constexpr std::string_view Shed = "Fulmarshelf-Shed";
inline constexpr std::string_view IdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view RetryAfter = "Retry-After";
} // namespace header

/// @brief Compares two texts without regard to the case of ASCII letters.
bool equalsIgnoreCase(std::string_view Left, std::string_view Right);

/// @brief Value of the first header with this name.
/// @return nullptr when there is none; O(number of headers)
const std::string *findHeader(const std::vector<Header> &Headers,
                              std::string_view Name);

/// @brief Service that a target names: its first path segment.
/// @return an empty text when the target has none
std::string serviceOf(std::string_view Target);

/// @brief Path of a target without its query.
std::string_view pathOf(std::string_view Target);

/// @brief Name under which the time and the admission of a call are learned:
/// method and first two path segments, so that ids in a path do not count.
std::string routeKeyOf(const HttpRequest &Request);

} // namespace fulmarshelf

#endif
