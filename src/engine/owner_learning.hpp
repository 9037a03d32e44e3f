#ifndef FULMARSHELF_ENGINE_OWNER_LEARNING_HPP
#define FULMARSHELF_ENGINE_OWNER_LEARNING_HPP

#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState

#include <string> // string

namespace fulmarshelf::attempt_system {

/// @brief Updates the recorded speed and load of the owner and the downstream
/// shares of the route from the reply to an attempt.
void learnFromReply(NodeState &Node, const Attempt &Ended,
                    const Request &Pending, const CallReply &Reply);

/// @brief Counts an attempt without a reply as one that took the time since its
/// start, so that a silent or failed owner is seen as slow.
void learnFromTimeout(NodeState &Node, const Attempt &Ended,
                      const std::string &Route);

} // namespace fulmarshelf::attempt_system

#endif
