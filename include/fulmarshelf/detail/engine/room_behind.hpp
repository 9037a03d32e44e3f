#ifndef FULMARSHELF_DETAIL_ENGINE_ROOM_BEHIND_HPP
#define FULMARSHELF_DETAIL_ENGINE_ROOM_BEHIND_HPP

#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState

#include <string> // string

namespace fulmarshelf {

/// @brief What fits at this node's backend server and behind every route that
/// the work of a route calls.
OwnerShares sharesBehind(NodeState &Node, const std::string &Route);

} // namespace fulmarshelf

#endif
