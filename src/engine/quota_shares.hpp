#ifndef FULMARSHELF_ENGINE_QUOTA_SHARES_HPP
#define FULMARSHELF_ENGINE_QUOTA_SHARES_HPP

#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState

#include <cstdint> // uint32_t
#include <string>  // string

namespace fulmarshelf {

/// @brief Partition of the tenants to which a tenant belongs.
std::uint32_t quotaPartitionOf(const std::string &Tenant);

/// @brief Node that keeps the pool of a partition, as this node sees it: the
/// one with the greatest weight among those that are alive and answer.
const std::string &quotaPoolNode(NodeState &Node, std::uint32_t Partition);

/// @brief Uses other pools than those of this node for some time, since it does
/// not answer.
void avoidQuotaPool(NodeState &Node, const std::string &PoolNode);

} // namespace fulmarshelf

#endif
