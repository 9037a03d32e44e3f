#ifndef FULMARSHELF_ENGINE_WORK_SLOTS_HPP
#define FULMARSHELF_ENGINE_WORK_SLOTS_HPP

#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState

// Functions that owner_system.cpp and work_slots.cpp share.
namespace fulmarshelf::owner_system {

/// @brief True for work that is safe to run more than once.
bool isIdempotent(const Work &Current);

/// @brief Admission level of long or of short work.
AdmissionLevel &levelOf(NodeState &Node, bool Long);

/// @brief Evicts queued work and replies that it did not run.
void evict(NodeState &Node, const QueuedWork &Queued, ErrorCode Error);

/// @brief Cancels running work and replies that its outcome is unknown.
void stopRunning(NodeState &Node, WorkId Id, ErrorCode Error);

} // namespace fulmarshelf::owner_system

#endif
