#ifndef FULMARSHELF_DETAIL_WIRE_ROUTE_ORIGIN_HPP
#define FULMARSHELF_DETAIL_WIRE_ROUTE_ORIGIN_HPP

#include <cstdint>     // uint8_t
#include <string_view> // string_view

namespace fulmarshelf {

/// @brief Origin of the requests of a route.
enum class RouteOrigin : std::uint8_t {
  Undecided, ///< too little is known to decide
  Callers,   ///< sent by outside callers
  Work,      ///< calls made by running work
};

/// @brief `undecided`, `callers` or `work`.
std::string_view originName(RouteOrigin Origin);

/// @brief Inverse of originName(); Undecided for any other text.
RouteOrigin parseOrigin(std::string_view Name);

} // namespace fulmarshelf

#endif
