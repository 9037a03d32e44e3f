#ifndef FULMARSHELF_SRC_ENGINE_OWNER_CAPACITY_HPP
#define FULMARSHELF_SRC_ENGINE_OWNER_CAPACITY_HPP

#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState

namespace fulmarshelf::owner_system {

/// @brief Requests that the backend server may run at a time.
unsigned concurrencyLimit(const NodeState &Node);

/// @brief Capacity that serves the work queue.
QueueCapacity queueCapacity(const NodeState &Node);

/// @brief True when work may be sent to the backend server now.
bool mayDispatch(const NodeState &Node);

/// @brief Time until work that arrives now is sent to the backend server.
Micros queueDelay(const NodeState &Node, Rank WorkRank);

/// @brief Concurrent requests that the backend server can be given, with regard
/// to its rate limit; at least 1, or 0 while the node has no backend server.
unsigned usableSlots(const NodeState &Node);

} // namespace fulmarshelf::owner_system

#endif
