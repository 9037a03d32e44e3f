#ifndef FULMARSHELF_DETAIL_ENGINE_DOWNSTREAM_SHARES_HPP
#define FULMARSHELF_DETAIL_ENGINE_DOWNSTREAM_SHARES_HPP

#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState

#include <string> // string

namespace fulmarshelf {

/// @brief For each importance, the smallest share among this node's backend
/// server and all routes that work of the given route calls.
OwnerShares downstreamShares(NodeState &Node, const std::string &Route);

} // namespace fulmarshelf

#endif
