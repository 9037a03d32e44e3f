#include "fulmarshelf/detail/wire/route_origin.hpp"

namespace fulmarshelf {

std::string_view originName(RouteOrigin Origin) {
  switch (Origin) {
  case RouteOrigin::Undecided:
    return "undecided";
  case RouteOrigin::Callers:
    return "callers";
  case RouteOrigin::Work:
    return "work";
  }
  return "undecided";
}

RouteOrigin parseOrigin(std::string_view Name) {
  for (RouteOrigin Origin : {RouteOrigin::Callers, RouteOrigin::Work})
    if (Name == originName(Origin))
      return Origin;
  return RouteOrigin::Undecided;
}

} // namespace fulmarshelf
