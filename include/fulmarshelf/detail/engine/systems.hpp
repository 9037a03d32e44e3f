#ifndef FULMARSHELF_DETAIL_ENGINE_SYSTEMS_HPP
#define FULMARSHELF_DETAIL_ENGINE_SYSTEMS_HPP

#include "fulmarshelf/detail/engine/inputs.hpp"     // inputs
#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState

#include <string> // string

namespace fulmarshelf {

/// @brief Takes requests in, follows them and answers them.
namespace entry_system {
void receive(NodeState &Node, const CallerArrived &Input);
void dropCaller(NodeState &Node, CallerKey Caller);
/// @brief Another node asks this one to run a request as its ticket's home.
void receiveAsHome(NodeState &Node, StreamKey Stream,
                   const CallMessage &Message);
/// @brief The stream of a request that came for its ticket's home ended.
void dropStream(NodeState &Node, StreamKey Stream);
/// @brief The answer is not wanted any more, because the caller or the parent
/// work is gone.
void cancel(NodeState &Node, RequestId Request);
void onDeadline(NodeState &Node, RequestId Request);
void onForget(NodeState &Node, RequestId Request);
} // namespace entry_system

/// @brief Runs the attempts of requests: choice, retries, hedges.
namespace attempt_system {
/// @brief Chooses an owner and sends an attempt, or ends the request.
void startNextAttempt(NodeState &Node, RequestId Request);
/// @brief Sends a request that bears another node's ticket to that node.
void sendToTicketHome(NodeState &Node, RequestId Request);
void onReply(NodeState &Node, std::uint64_t Sequence, const CallReply &Reply);
/// @brief The attempt never left this node, or is proved to have reached no
/// owner: what it cost comes back.
void onNeverSent(NodeState &Node, std::uint64_t Sequence);
/// @brief The connection of a sent attempt failed.
void onInDoubt(NodeState &Node, std::uint64_t Sequence);
void onRevokeAnswer(NodeState &Node, const RevokeAnswered &Input);
void onHedge(NodeState &Node, RequestId Request);
/// @brief Ends all attempts of a request.
/// @return true when each of them is proved not run
bool cancelAttempts(NodeState &Node, Request &Owner);
} // namespace attempt_system

/// @brief Gives the final answer of a request and forgets it.
namespace answer_system {
void finish(NodeState &Node, RequestId Request, CallReply Reply);
/// @brief Answers the waiters but keeps the request until its attempts end.
void detach(NodeState &Node, RequestId Request, const CallReply &Reply);
/// @brief Answers one waiter of a request that has no entry in the tables.
void answer(NodeState &Node, const Waiter &To, const CallReply &Reply,
            const std::string &FreshTicket = {},
            const std::string &CallerRequestId = {});
} // namespace answer_system

/// @brief Admits, queues and dispatches work to the own backend server.
namespace owner_system {
void receive(NodeState &Node, const CallArrived &Input);
/// @brief Takes an attempt of this node's own or of another node.
void admit(NodeState &Node, const AttemptId &Attempt, WorkWaiter Waiter,
           const CallContext &Context, const HttpRequest &Http);
void runQueue(NodeState &Node);
void onAnswer(NodeState &Node, const BackendAnswered &Input);
void onFailure(NodeState &Node, WorkId Target, bool NeverSent);
void onDeadline(NodeState &Node, WorkId Target);
/// @brief Stops work whose answer is not wanted.
/// @return true when it is proved not run
bool cancel(NodeState &Node, WorkId Target);
void dropStream(NodeState &Node, StreamKey Stream);
void revoke(NodeState &Node, const RevokeArrived &Input);
/// @brief Refuses all that waits, for instance because the node leaves.
void refuseQueued(NodeState &Node, ErrorCode Why);
void onLevelWindow(NodeState &Node);
/// @brief What this owner tells about itself on an answer.
/// @param Long whether the answered work's route takes long
/// @param ChildLevel highest level that its calls have met
LoadReport loadReport(const NodeState &Node, bool Long, Rank ChildLevel);
/// @brief Lowest rank that is admitted now. Long and short work have levels of
/// their own, since short work has slots that long work cannot take.
Rank admissionLevel(const NodeState &Node, bool Long);
} // namespace owner_system

/// @brief Keeps the table of the own backend server.
namespace backend_system {
void announce(NodeState &Node, const BackendAnnounced &Input);
/// @brief The backend server leaves; it gets no new work.
void depart(NodeState &Node, const BackendDeparted &Input);
/// @brief Another incarnation answered at the address; it gets no work before
/// it has announced itself.
void onOtherInstance(NodeState &Node);
void check(NodeState &Node);
/// @brief True when the backend server takes new work.
bool isServing(const NodeState &Node);
} // namespace backend_system

/// @brief Keeps connections to peers and finds the silent ones.
namespace link_system {
/// @brief Connection to a member, opened when there is none.
/// @return id 0 while a failed connection is backing off
LinkId connect(NodeState &Node, const Member &Peer);
/// @brief Puts an attempt on a connection; it is sent when that is up.
void enqueue(NodeState &Node, LinkId Target, std::uint64_t Sequence);
void release(NodeState &Node, LinkId Target, std::uint64_t Sequence);
void onEstablished(NodeState &Node, const LinkEstablished &Input);
void onClosed(NodeState &Node, LinkId Target);
void onActivity(NodeState &Node, LinkId Target);
void check(NodeState &Node, LinkId Target);
/// @brief Asks a peer for what this node has missed.
void sync(NodeState &Node, const Member &Peer);
/// @brief Forgets what was learned about nodes that are no members any more.
void removeFormerMembers(NodeState &Node);
} // namespace link_system

/// @brief Lets the membership probe and reports its changes.
namespace membership_system {
void receive(NodeState &Node, const DatagramArrived &Input);
void tick(NodeState &Node);
void flush(NodeState &Node);
} // namespace membership_system

/// @brief Gets settings from the platform and from peers and puts them in
/// force.
namespace settings_system {
void start(NodeState &Node);
void tick(NodeState &Node);
void onListed(NodeState &Node, const StoreListed &Input);
void onNodesListed(NodeState &Node, const StoreNodesListed &Input);
void onAnnounced(NodeState &Node);
void onWatched(NodeState &Node, const StoreWatched &Input);
void onFailed(NodeState &Node, const StoreFailed &Input);
void onUnreadable(NodeState &Node, const StoreUnreadable &Input);
void onSyncArrived(NodeState &Node, const SyncArrived &Input);
void onSyncAnswered(NodeState &Node, const SyncAnswered &Input);
/// @brief A peer told of versions and of the digest of all of its own.
void onSettingsUpdate(NodeState &Node, const GossipMessage &Message);
/// @brief True when this node is one of those that watch the platform.
bool isWatcher(const NodeState &Node);
SyncMessage syncMessage(const NodeState &Node);
} // namespace settings_system

/// @brief Graceful shutdown.
namespace leave_system {
void begin(NodeState &Node);
void check(NodeState &Node);
} // namespace leave_system

} // namespace fulmarshelf

#endif
