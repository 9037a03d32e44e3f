#ifndef FULMARSHELF_DETAIL_ENGINE_OWNER_SEARCH_HPP
#define FULMARSHELF_DETAIL_ENGINE_OWNER_SEARCH_HPP

#include "fulmarshelf/detail/engine/node_state.hpp"    // NodeState
#include "fulmarshelf/detail/engine/tables.hpp"        // Request
#include "fulmarshelf/detail/routing/owner_choice.hpp" // Candidate

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace fulmarshelf {

/// @brief Owners for one request, by whether they admit its rank now.
struct OwnerOptions {
  std::vector<Candidate> Accepting_;
  std::vector<std::string> Probes_; ///< reject by level, but may be probed
  unsigned Refusing_ = 0;
  Rank LowestLevel_ = UINT32_MAX; ///< among the refusing owners
};

/// @brief Finds the owners that may take a request and were not tried yet.
/// Owners that are not preferred are included only when no preferred owner
/// accepts. O(owners examined)
OwnerOptions findOwners(NodeState &Node, const Request &Target);

/// @brief True when an owner in another failure domain reported spare capacity
/// for a request that the local failure domain would shed. O(owners)
bool hasCapacityInOtherDomain(NodeState &Node, const Request &Target);

/// @brief Stores the placement weight of a request and whether it is placed in
/// the root's failure domain, for the demand meters of the owners.
void recordPlacement(NodeState &Node, Request &Target,
                     const std::vector<Candidate> &Options,
                     const Placement &Picked);

/// @brief Chooses one of the accepting owners.
/// @return nullopt when there is none
std::optional<Placement> pickOwner(NodeState &Node, const Request &Target,
                                   const std::vector<Candidate> &Options);

} // namespace fulmarshelf

#endif
