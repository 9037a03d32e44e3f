#ifndef FULMARSHELF_DETAIL_ENGINE_PARENT_SEARCH_HPP
#define FULMARSHELF_DETAIL_ENGINE_PARENT_SEARCH_HPP

#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState
#include "fulmarshelf/detail/engine/tables.hpp"     // Work, Request

namespace fulmarshelf {

/// @brief Finds the running work of this VM that made a call which names no
/// parent. A call has its parent's deadline or, if the call has a shorter
/// timeout, arrives just after its parent started or received an answer.
///
/// Among several matches, work without an open call is preferred, then work
/// whose route makes such calls most often, then the work that received an
/// answer last.
/// @return nullptr when no work matches or the route's requests come from
/// callers
Work *findMatchingParent(NodeState &Node, const Request &NewRequest);

/// @brief Timeout that is sent to the backend server with work, in whole
/// milliseconds. With a route table it is shortened by a few milliseconds where
/// needed, so that no other running work has nearly the same deadline.
Micros distinctTimeout(const NodeState &Node, const Work &Running);

/// @brief Adds work that starts to the index of deadlines.
void addRunningDeadline(NodeState &Node, Work &Running, Micros Timeout);
/// @brief Removes work that ends from the index of deadlines.
void removeRunningDeadline(NodeState &Node, const Work &Running);
/// @brief Counts a call that work made.
void onCallStarted(NodeState &Node, Work &Parent);
/// @brief Counts the answer to a call that was matched to its parent.
void onCallEnded(NodeState &Node, const Request &Ended);

} // namespace fulmarshelf

#endif
