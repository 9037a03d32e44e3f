#ifndef FULMARSHELF_DETAIL_ENGINE_PARENT_SEARCH_HPP
#define FULMARSHELF_DETAIL_ENGINE_PARENT_SEARCH_HPP

#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState
#include "fulmarshelf/detail/engine/tables.hpp"     // Work, Request

namespace fulmarshelf {

/// @brief Finds the running work of this VM that made a call which names no
/// parent: a call ends when its parent ends, or, where a limit of its own ends
/// it sooner, comes just after its parent started or got an answer.
///
/// Where several fit, work without an open call goes first, then work whose
/// route made such calls most often, then the one that heard an answer last.
/// @return nullptr when the request is a caller's, as far as is known
Work *findParentByDeadline(NodeState &Node, const Request &Target);

/// @brief Time to hand out with work, in whole milliseconds and shortened by a
/// few so that no other running work ends at the same moment.
Micros distinctTimeout(const NodeState &Node, const Work &Target);

/// @brief Keeps the index of ends while work runs.
void addRunningDeadline(NodeState &Node, Work &Target, Micros Handed);
void removeRunningDeadline(NodeState &Node, const Work &Target);
/// @brief Work made a call.
void onCallStarted(NodeState &Node, Work &Parent);
/// @brief A matched call was answered.
void onCallEnded(NodeState &Node, const Request &Ended);

} // namespace fulmarshelf

#endif
