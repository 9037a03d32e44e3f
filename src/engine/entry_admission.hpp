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

/// @brief Applies admission control to a new request: admits it while the
/// admitted share of its route is not used up. Calls are always admitted,
/// because their root was; so are requests of routes that may be calls.
/// @param NewRequest receives the inherited context of a call, or the demand
/// weight of an admitted request
/// @return nullopt when the request is admitted
std::optional<AdmissionRejection>
admitRequest(NodeState &Node, Request &NewRequest, const EffectiveRules &Rules);

} // namespace fulmarshelf

#endif
