#ifndef FULMARSHELF_DETAIL_WIRE_OWN_INTERFACE_HPP
#define FULMARSHELF_DETAIL_WIRE_OWN_INTERFACE_HPP

#include "fulmarshelf/detail/wire/http.hpp" // RequestFacts, DispatchFacts

namespace fulmarshelf {

// The project's own interface towards callers and backend servers, which
// docs/HTTP.md describes.

/// @brief Reads what a caller says of its request.
RequestFacts ownRequestFacts(const HttpRequest &Request);

/// @brief The request as the backend server gets it.
HttpRequest ownDispatch(const HttpRequest &Request, const DispatchFacts &Facts);

/// @brief Reads what a backend server says of its answer.
AnswerFacts ownAnswerFacts(const HttpResponse &Response);

} // namespace fulmarshelf

#endif
