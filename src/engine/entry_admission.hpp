#ifndef FULMARSHELF_ENGINE_ENTRY_ADMISSION_HPP
#define FULMARSHELF_ENGINE_ENTRY_ADMISSION_HPP

#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState
#include "fulmarshelf/detail/engine/tables.hpp"     // Request

#include <optional> // optional
#include <string>   // string

namespace fulmarshelf {

/// @brief Reply and log detail for a request that admission control rejects.
struct AdmissionRejection {
  CallReply Reply_;
  std::string Detail_;
};

/// @brief Applies admission control to a new request. A caller's request is
/// admitted while the admitted share of its route is not used up, or another
/// failure domain has spare capacity for it. A call is always admitted, because
/// its root was. Until a route is known to be requested by callers, its
/// requests may be calls and are admitted as well.
/// @param NewRequest receives the inherited context of a call, or the demand
/// weight of an admitted request
/// @return nullopt when the request is admitted
std::optional<AdmissionRejection>
admitRequest(NodeState &Node, Request &NewRequest, const EffectiveRules &Rules);

} // namespace fulmarshelf

#endif
