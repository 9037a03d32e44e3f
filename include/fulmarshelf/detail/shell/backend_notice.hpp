#ifndef FULMARSHELF_DETAIL_SHELL_BACKEND_NOTICE_HPP
#define FULMARSHELF_DETAIL_SHELL_BACKEND_NOTICE_HPP

#include "fulmarshelf/detail/engine/inputs.hpp" // BackendAnnounced

#include <cstdint> // uint8_t
#include <string>  // string
#include <variant> // variant

namespace fulmarshelf {

/// @brief The backend server sent an ordinary request, not a notice.
struct NoNotice {};

/// @brief A notice that cannot be parsed; the node ignores it.
struct MalformedNotice {
  std::string Detail_;
};

/// @brief Message from a backend server to the node beside it.
using BackendNotice =
    std::variant<NoNotice, MalformedNotice, BackendAnnounced, BackendDeparted>;

/// @brief What a node does with a notice.
enum class NoticeResult : std::uint8_t {
  Taken,
  Malformed,
  NotRecorded, ///< it takes effect, but is lost when all nodes end together
};

} // namespace fulmarshelf

#endif
