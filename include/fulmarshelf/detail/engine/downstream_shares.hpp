#ifndef FULMARSHELF_DETAIL_ENGINE_DOWNSTREAM_SHARES_HPP
#define FULMARSHELF_DETAIL_ENGINE_DOWNSTREAM_SHARES_HPP

#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState

#include <string> // string

namespace fulmarshelf {

/// @brief Smallest shares of this node's backend server and of every route that
/// the work of a route calls.
OwnerShares downstreamShares(NodeState &Node, const std::string &Route);

} // namespace fulmarshelf

#endif
