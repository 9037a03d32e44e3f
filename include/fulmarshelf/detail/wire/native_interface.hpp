#ifndef FULMARSHELF_DETAIL_WIRE_NATIVE_INTERFACE_HPP
#define FULMARSHELF_DETAIL_WIRE_NATIVE_INTERFACE_HPP

#include "fulmarshelf/detail/wire/http.hpp" // RequestMetadata, DispatchMetadata

namespace fulmarshelf {

// The project's own interface towards callers and backend servers, which
// docs/HTTP.md describes.

/// @brief Reads what a caller says of its request.
RequestMetadata nativeRequestMetadata(const HttpRequest &Request);

/// @brief The request as the backend server gets it.
HttpRequest nativeDispatchRequest(const HttpRequest &Request,
                                  const DispatchMetadata &Facts);

/// @brief Reads what a backend server says of its answer.
ResponseMetadata nativeResponseMetadata(const HttpResponse &Response);

} // namespace fulmarshelf

#endif
