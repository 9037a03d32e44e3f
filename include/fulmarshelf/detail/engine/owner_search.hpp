#ifndef FULMARSHELF_DETAIL_ENGINE_OWNER_SEARCH_HPP
#define FULMARSHELF_DETAIL_ENGINE_OWNER_SEARCH_HPP

#include "fulmarshelf/detail/engine/node_state.hpp"    // NodeState
#include "fulmarshelf/detail/engine/tables.hpp"        // Request
#include "fulmarshelf/detail/routing/owner_choice.hpp" // Candidate

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace fulmarshelf {

/// @brief Owners that may take a request, grouped by whether they admit its
/// rank now.
struct OwnerOptions {
  std::vector<Candidate> Accepting_;
  std::vector<std::string> Probes_; ///< refusing owners that may be probed
  unsigned Refusing_ = 0;           ///< number of refusing owners
  Rank LowestLevel_ = UINT32_MAX;   ///< lowest level of a refusing owner
};

/// @brief Finds the owners that may take a request and were not tried yet.
/// Owners that are not preferred are included only when no preferred owner
/// accepts. O(owners examined)
OwnerOptions findOwners(NodeState &Node, const Request &Pending);

/// @brief Largest share of such requests that an owner in another failure
/// domain admits, 0 to 1; only owners with spare slots count. O(owners)
double shareInOtherDomains(NodeState &Node, const Request &Pending);

/// @brief Stores the placement weight of a request and whether it is placed in
/// the root's failure domain, for the demand meters of the owners. Also records
/// that no local owner accepted the first attempt of a request.
void recordPlacement(NodeState &Node, Request &Pending,
                     const std::vector<Candidate> &Options,
                     const Placement &Picked);

/// @brief Chooses one of the accepting owners.
/// @return nullopt when there is none
std::optional<Placement> pickOwner(NodeState &Node, const Request &Pending,
                                   const std::vector<Candidate> &Options);

} // namespace fulmarshelf

#endif
