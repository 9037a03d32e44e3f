#ifndef FULMARSHELF_DETAIL_WIRE_CALL_FAILURE_HPP
#define FULMARSHELF_DETAIL_WIRE_CALL_FAILURE_HPP

#include <cstdint> // uint8_t

namespace fulmarshelf {

/// @brief How an HTTP call of this process ended without a complete response.
enum class CallFailure : std::uint8_t {
  Refused,        ///< not sent: no process listens at the peer's address
  NotSent,        ///< not sent for another reason, as a connection timeout
  ConnectionLost, ///< the peer closed or reset the connection
  Aborted,        ///< this process ended it: malformed, too large or too late
};

} // namespace fulmarshelf

#endif
