#ifndef FULMARSHELF_DETAIL_SHELL_BACKEND_NOTICE_HPP
#define FULMARSHELF_DETAIL_SHELL_BACKEND_NOTICE_HPP

#include "fulmarshelf/detail/engine/inputs.hpp" // BackendAnnounced

#include <string>  // string
#include <variant> // variant

namespace fulmarshelf {

/// @brief The backend server's call is no notice but a request like others.
struct NoNotice {};

/// @brief A notice that cannot be read; it changes nothing.
struct MalformedNotice {
  std::string Detail_;
};

/// @brief What a backend server tells the node beside it.
using BackendNotice =
    std::variant<NoNotice, MalformedNotice, BackendAnnounced, BackendDeparted>;

} // namespace fulmarshelf

#endif
