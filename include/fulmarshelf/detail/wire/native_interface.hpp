#ifndef FULMARSHELF_DETAIL_WIRE_NATIVE_INTERFACE_HPP
#define FULMARSHELF_DETAIL_WIRE_NATIVE_INTERFACE_HPP

#include "fulmarshelf/detail/wire/http.hpp" // RequestMetadata, DispatchMetadata

namespace fulmarshelf {

// The project's native interface to callers and backend servers; docs/HTTP.md
// describes it.

/// @brief Reads the metadata that a caller sends with its request.
RequestMetadata nativeRequestMetadata(const HttpRequest &Request);

/// @brief Builds the request that is sent to the backend server.
HttpRequest nativeDispatchRequest(const HttpRequest &Request,
                                  const DispatchMetadata &Metadata);

/// @brief Reads the metadata that a backend server sends with its response.
ResponseMetadata nativeResponseMetadata(const HttpResponse &Response);

} // namespace fulmarshelf

#endif
