#ifndef FULMARSHELF_DETAIL_SHELL_DIALECT_HPP
#define FULMARSHELF_DETAIL_SHELL_DIALECT_HPP

#include "fulmarshelf/detail/engine/actions.hpp"       // AnswerCaller
#include "fulmarshelf/detail/shell/backend_notice.hpp" // BackendNotice
#include "platform/platform_dialect.hpp"               // PlatformDialect

#include <variant> // variant

namespace fulmarshelf {

/// @brief The project's own interface towards callers, backend servers and
/// operators; docs/HTTP.md describes it.
struct NativeDialect {
  IncomingRequest decodeRequest(HttpRequest Request) const;
  HttpRequest encodeDispatch(const DispatchWork &Wanted) const;
  ResponseMetadata decodeAnswer(const HttpResponse &Response) const;
  /// @brief False when an answer is known to belong to another request.
  bool isAnswerTo(const HttpRequest &Request,
                  const HttpResponse &Response) const;
  HttpResponse encodeAnswer(const AnswerCaller &Wanted) const;
  /// @brief Reads what the backend server tells its node.
  BackendNotice decodeNotice(const HttpRequest &Request) const;
  /// @brief Answers a notice.
  HttpResponse encodeNoticeAnswer(const BackendNotice &Notice) const;
  /// @brief Page at which the node says whether it takes requests.
  std::string readinessPath() const { return "/ready"; }
};

/// @brief How this node speaks with everyone that is no node; every
/// alternative has the members of NativeDialect.
using Dialect = std::variant<NativeDialect, PlatformDialect>;

/// @brief The dialect that the node's settings name.
Dialect makeDialect(const NodeSettings &Settings);

} // namespace fulmarshelf

#endif
