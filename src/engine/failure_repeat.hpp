#ifndef FULMARSHELF_ENGINE_FAILURE_REPEAT_HPP
#define FULMARSHELF_ENGINE_FAILURE_REPEAT_HPP

#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState

namespace fulmarshelf {

/// @brief Returns whether a request that its backend server answered with a
/// failure should run again at another owner.
///
/// Load pattern: a backend server fails part of its requests while its health
/// check is good and others of its service are sound.
bool mayRepeatFailure(const NodeState &Node, const Request &Pending,
                      const CallReply &Reply);

/// @brief Bound on the repeats after such failures.
RepeatBound failureRepeatBound(const NodeState &Node);

} // namespace fulmarshelf

#endif
