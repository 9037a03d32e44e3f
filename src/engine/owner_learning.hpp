#ifndef FULMARSHELF_ENGINE_OWNER_LEARNING_HPP
#define FULMARSHELF_ENGINE_OWNER_LEARNING_HPP

#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState

#include <string> // string

namespace fulmarshelf::attempt_system {

/// @brief Learns from the reply to an attempt: the owner's speed and load, and
/// what fits behind the route.
void learnFromReply(NodeState &Node, const Attempt &Ended,
                    const Request &Target, const CallReply &Reply);

/// @brief Counts what a silent or failed owner held back as the time it took so
/// far.
void learnFromTimeout(NodeState &Node, const Attempt &Ended,
                      const std::string &Route);

} // namespace fulmarshelf::attempt_system

#endif
