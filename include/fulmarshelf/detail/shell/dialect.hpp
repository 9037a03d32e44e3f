#ifndef FULMARSHELF_DETAIL_SHELL_DIALECT_HPP
#define FULMARSHELF_DETAIL_SHELL_DIALECT_HPP

#include "fulmarshelf/detail/engine/actions.hpp"       // AnswerCaller
#include "fulmarshelf/detail/shell/backend_notice.hpp" // BackendNotice
#include "platform/platform_dialect.hpp"               // PlatformDialect

#include <variant> // variant

namespace fulmarshelf {

/// @brief The native interface to callers, backend servers and operators;
/// docs/HTTP.md describes it.
struct NativeDialect {
  IncomingRequest decodeRequest(HttpRequest Request) const;
  HttpRequest encodeDispatch(const DispatchWork &Dispatch) const;
  ResponseMetadata decodeResponse(const HttpResponse &Response) const;
  /// @brief Returns which request a response answers, and whether it refuses
  /// it.
  ResponseTraits inspectResponse(const HttpRequest &Request,
                                 const HttpResponse &Response) const;
  HttpResponse encodeResponse(const AnswerCaller &Answer) const;
  /// @brief Parses a notice from the backend server.
  BackendNotice decodeNotice(const HttpRequest &Request) const;
  /// @brief Builds the response to a notice.
  HttpResponse encodeNoticeResponse(NoticeResult Result) const;
  /// @brief Path at which the node reports whether it accepts requests.
  std::string readinessPath() const { return "/ready"; }
};

/// @brief Interface to callers, backend servers and operators; every
/// alternative has the members of NativeDialect.
using Dialect = std::variant<NativeDialect, PlatformDialect>;

/// @brief Creates the dialect that the node's settings select.
Dialect makeDialect(const NodeSettings &Settings);

} // namespace fulmarshelf

#endif
