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
  std::vector<std::string> Probes_; ///< refuse by level, probe allowed
  unsigned Refusing_ = 0;
  Rank LowestLevel_ = UINT32_MAX; ///< among those that refuse
};

/// @brief Finds the owners that may take a request and were not tried yet; the
/// ones that are not preferred only when no preferred one accepts.
/// O(owners looked at)
OwnerOptions findOwners(NodeState &Node, const Request &Target);

/// @brief True when an owner in another failure domain is known to have room
/// for a request that the own domain would shed. O(owners)
bool hasCapacityInOtherDomain(NodeState &Node, const Request &Target);

/// @brief Notes on a request what its placement says about those that were
/// placed otherwise, for the meters of the owners.
void recordPlacement(NodeState &Node, Request &Target,
                     const std::vector<Candidate> &Options,
                     const Placement &Picked);

/// @brief Chooses one of the accepting owners.
/// @return nullopt when there is none
std::optional<Placement> pickOwner(NodeState &Node, const Request &Target,
                                   const std::vector<Candidate> &Options);

} // namespace fulmarshelf

#endif
