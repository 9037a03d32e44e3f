#ifndef FULMARSHELF_DETAIL_ENGINE_PARENT_SEARCH_HPP
#define FULMARSHELF_DETAIL_ENGINE_PARENT_SEARCH_HPP

#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState
#include "fulmarshelf/detail/engine/tables.hpp"     // Work, Request

namespace fulmarshelf {

/// @brief Finds the running work of this VM that made a call which names no
/// parent. A call has its parent's deadline or, where its own timeout ends
/// sooner, arrives just after its parent started or received an answer.
///
/// Among several matches, work without an open call is preferred, then work
/// whose route makes such calls most often, then the work that received an
/// answer last.
/// @return nullptr when no work matches or the route's requests come from
/// callers
Work *findParentByDeadline(NodeState &Node, const Request &Target);

/// @brief Timeout that is sent with work, in whole milliseconds and shortened
/// by a few, so that no other running work has the same deadline.
Micros distinctTimeout(const NodeState &Node, const Work &Target);

/// @brief Add and remove work in the index of deadlines while it runs.
void addRunningDeadline(NodeState &Node, Work &Target, Micros Timeout);
void removeRunningDeadline(NodeState &Node, const Work &Target);
/// @brief Counts a call that work made.
void onCallStarted(NodeState &Node, Work &Parent);
/// @brief Counts the answer to a call that was matched to its parent.
void onCallEnded(NodeState &Node, const Request &Ended);

} // namespace fulmarshelf

#endif
