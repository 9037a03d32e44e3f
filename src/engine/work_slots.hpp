#ifndef FULMARSHELF_ENGINE_WORK_SLOTS_HPP
#define FULMARSHELF_ENGINE_WORK_SLOTS_HPP

#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState

// What the two files of the owner system share.
namespace fulmarshelf::owner_system {

/// @brief True for work that can be run again.
bool isIdempotent(const Work &Target);

/// @brief Level of the class of long or of short work.
AdmissionLevel &levelOf(NodeState &Node, bool Long);

/// @brief Refuses waiting work as not run.
void evict(NodeState &Node, const QueuedWork &Item, ErrorCode Why);

/// @brief Stops running work; whether it ran to its end is unknown.
void stopRunning(NodeState &Node, WorkId Id, ErrorCode Why);

} // namespace fulmarshelf::owner_system

#endif
