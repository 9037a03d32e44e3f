#ifndef FULMARSHELF_DETAIL_WIRE_HTTP_HPP
#define FULMARSHELF_DETAIL_WIRE_HTTP_HPP

#include "fulmarshelf/detail/base/time.hpp" // Micros

#include <cstdint>     // uint16_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <variant>     // variant
#include <vector>      // vector

namespace fulmarshelf {

/// @brief One header field; names are case-insensitive.
struct Header {
  std::string Name_;
  std::string Value_;
  friend bool operator==(const Header &, const Header &) = default;
};

/// @brief An HTTP request with its complete body.
struct HttpRequest {
  std::string Method_;
  std::string Target_;
  std::vector<Header> Headers_;
  std::string Body_;
  friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

/// @brief An HTTP response with its complete body.
struct HttpResponse {
  std::uint16_t Status_ = 0;
  std::vector<Header> Headers_;
  std::string Body_;
  friend bool operator==(const HttpResponse &, const HttpResponse &) = default;
};

/// @brief Metadata that a caller sends with its request, in a form that does
/// not depend on the interface (native or platform).
struct RequestMetadata {
  std::string Host_;       ///< in lower case, without a port
  std::string CallerKind_; ///< kind of caller, or name of the calling service
  std::optional<Micros> TimeLeft_; ///< time until the caller's deadline
  std::string IdempotencyKey_;     ///< empty: none
  std::string Parent_; ///< id of the work that makes this call; empty: none
  std::string CallerRequestId_; ///< request id from the caller; empty: none
  /// contentDigest() of the caller's credential, empty when the request carries
  /// several different ones; nullopt: none.
  std::optional<std::string> CredentialDigest_;
  friend bool operator==(const RequestMetadata &,
                         const RequestMetadata &) = default;
};

/// @brief A request from a caller with its decoded metadata.
struct IncomingRequest {
  HttpRequest Http_;
  RequestMetadata Metadata_;
  friend bool operator==(const IncomingRequest &,
                         const IncomingRequest &) = default;
};

/// @brief Metadata that a node sends to the backend server with a request.
struct DispatchMetadata {
  std::string Parent_; ///< id that downstream calls of this work send as parent
  Micros TimeLeft_{0}; ///< time until the deadline
  std::string Instance_; ///< incarnation that must run the request; empty: any
  std::string CallerService_;   ///< service at which the root request started
  std::string CallerRequestId_; ///< request id from the caller; empty: none
  std::string Tenant_; ///< tenant of the caller's credential; empty: none
  friend bool operator==(const DispatchMetadata &,
                         const DispatchMetadata &) = default;
};

/// @brief Load that a backend server reports about itself.
struct BackendLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  std::uint32_t Slots_ = 0;
  /// Current service time in percent of the usual one, which is 100.
  std::uint32_t ServiceTimePercent_ = 100;
  friend bool operator==(const BackendLoad &, const BackendLoad &) = default;
};

/// @brief A rate limit that cannot be read.
struct MalformedRateLimit {
  std::string Detail_;
  friend bool operator==(const MalformedRateLimit &,
                         const MalformedRateLimit &) = default;
};

/// @brief Requests a second that a backend server accepts from all nodes
/// together, as named by one response. Holds monostate when the response names
/// no limit.
using NamedRateLimit = std::variant<std::monostate, double, MalformedRateLimit>;

/// @brief Parses the values of all fields of one response that name a rate
/// limit. A limit is a decimal number without sign or exponent. The smallest
/// one holds when a response names several.
/// @param Values field values; an empty list yields monostate
NamedRateLimit parseRateLimit(const std::vector<std::string_view> &Values);

/// @brief Metadata that a backend server sends with its response.
struct ResponseMetadata {
  bool NotExecuted_ = false;   ///< the backend server did not run the request
  bool OtherInstance_ = false; ///< answered by an unexpected incarnation
  std::optional<BackendLoad> Load_;
  NamedRateLimit RateLimit_;
  bool Leaving_ = false; ///< the backend server leaves permanently
  friend bool operator==(const ResponseMetadata &,
                         const ResponseMetadata &) = default;
};

/// @brief What a response says about the request that it answers.
enum class ResponseMatch : std::uint8_t {
  Request,      ///< it answers the request
  OtherRequest, ///< it answers another request
  Unnamed,      ///< it names no request
};

/// @brief What a client needs to know of a response before it takes it.
struct ResponseTraits {
  ResponseMatch Match_ = ResponseMatch::Request;
  bool Refuses_ = false; ///< the backend server did not run the request
  friend bool operator==(const ResponseTraits &,
                         const ResponseTraits &) = default;
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
inline constexpr std::string_view Leaving = "Fulmarshelf-Leaving";
inline constexpr std::string_view RateLimit = "Fulmarshelf-Rate-Limit";
inline constexpr std::string_view Shed = "Fulmarshelf-Shed";
inline constexpr std::string_view IdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view RetryAfter = "Retry-After";
} // namespace header

/// @brief Compares two texts, ignoring the case of ASCII letters.
bool equalsIgnoreCase(std::string_view Left, std::string_view Right);

/// @brief Value of the first header with this name.
/// @return nullptr when there is none; O(number of headers)
const std::string *findHeader(const std::vector<Header> &Headers,
                              std::string_view Name);

/// @brief Values of all headers with this name, in order; O(number of headers).
std::vector<std::string_view> findHeaders(const std::vector<Header> &Headers,
                                          std::string_view Name);

/// @brief Service name in a target: the first path segment.
/// @return an empty text when the target does not begin with a slash
std::string serviceOf(std::string_view Target);

/// @brief Path of a target without its query.
std::string_view pathOf(std::string_view Target);

/// @brief Key under which service times and admission levels of a call are
/// recorded: the method and the first two path segments. Ids in later segments
/// do not create separate keys.
std::string routeKeyOf(const HttpRequest &Request);

} // namespace fulmarshelf

#endif
