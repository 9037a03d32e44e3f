#ifndef FULMARSHELF_ENGINE_ENTRY_ADMISSION_HPP
#define FULMARSHELF_ENGINE_ENTRY_ADMISSION_HPP

#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState
#include "fulmarshelf/detail/engine/tables.hpp"     // Request

#include <optional> // optional
#include <string>   // string

namespace fulmarshelf {

/// @brief Why a request is not let in.
struct AdmissionRejection {
  CallReply Reply_;
  std::string Detail_;
};

/// @brief Lets a fresh request in if its share of what fits behind its route is
/// not used up. Calls are past the gate, their root was let in; so is what may
/// be a call as far as is known.
/// @param Fresh receives what it inherits, or the weight with which it counts
/// @return nullopt when it is let in
std::optional<AdmissionRejection> admitRequest(NodeState &Node, Request &Fresh,
                                               const EffectiveRules &Rules);

} // namespace fulmarshelf

#endif
