#ifndef FULMARSHELF_DETAIL_ENGINE_SYSTEMS_HPP
#define FULMARSHELF_DETAIL_ENGINE_SYSTEMS_HPP

#include "fulmarshelf/detail/engine/inputs.hpp"     // CallArrived, ReplyArrived
#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState
#include "fulmarshelf/detail/tenancy/tenancy_message.hpp" // TokensRequested

#include <string> // string

namespace fulmarshelf {

/// @brief Receives requests and tracks them until they are answered.
namespace entry_system {

/// @brief Returns whether the unanswered request of a caller is idempotent;
/// false when the caller has none.
bool isIdempotentCaller(const NodeState &Node, CallerKey Caller);

/// @brief Returns whether the settings in force permit repeating a request.
bool isIdempotentRequest(const NodeState &Node, const IncomingRequest &Request);

void receive(NodeState &Node, const CallerArrived &Input);
/// @brief Goes on with a request that has got its quota token.
void resume(NodeState &Node, HeldRequest Held);
/// @brief Refuses a request that has got no quota token.
void refuseHeld(NodeState &Node, const HeldRequest &Held,
                const CallReply &Reply);
void dropCaller(NodeState &Node, CallerKey Caller);
/// @brief Runs a request that another node forwarded to this node as the home
/// of the request's ticket.
void receiveAsHome(NodeState &Node, StreamKey Stream,
                   const CallMessage &Message);
/// @brief Handles the end of the stream of a request that was forwarded to this
/// node as the home of its ticket.
void dropStream(NodeState &Node, StreamKey Stream);
/// @brief Cancels a request when its caller has disconnected or its parent work
/// has ended.
void cancel(NodeState &Node, RequestId Request);
void onDeadline(NodeState &Node, RequestId Request);
void onForget(NodeState &Node, RequestId Request);
} // namespace entry_system

/// @brief Runs the attempts of requests: owner selection, retries and hedges.
namespace attempt_system {
/// @brief Selects an owner and sends an attempt, or ends the request.
void startNextAttempt(NodeState &Node, RequestId Request);
/// @brief Sends a request with a ticket of another node to that node.
void sendToTicketHome(NodeState &Node, RequestId Request);
void onReply(NodeState &Node, std::uint64_t Sequence, const CallReply &Reply);
/// @brief Refunds the cost of an attempt that never left this node or is proved
/// to have reached no owner.
void onNeverSent(NodeState &Node, std::uint64_t Sequence);
/// @brief Handles the failure of the connection of a sent attempt, whose
/// outcome is now unknown.
void onInDoubt(NodeState &Node, std::uint64_t Sequence);
void onRevokeAnswer(NodeState &Node, const RevokeAnswered &Input);
void onHedge(NodeState &Node, RequestId Request);
/// @brief Cancels all attempts of a request.
/// @return true when each attempt is proved not to have run
bool cancelAttempts(NodeState &Node, Request &Owner);
} // namespace attempt_system

/// @brief Sends the final answer of a request and removes the request.
namespace answer_system {
void finish(NodeState &Node, RequestId Request, CallReply Reply);
/// @brief Answers the waiters of a request but keeps the request until its
/// attempts end.
void detach(NodeState &Node, RequestId Request, const CallReply &Reply);
/// @brief Answers one waiter of a request that is not in the tables.
void answer(NodeState &Node, const Waiter &To, const CallReply &Reply,
            const std::string &FreshTicket = {},
            const std::string &CallerRequestId = {});
} // namespace answer_system

/// @brief Admits and queues work and dispatches it to this node's backend
/// server.
namespace owner_system {
void receive(NodeState &Node, const CallArrived &Input);
/// @brief Accepts or refuses an attempt of this node or of another node.
void admit(NodeState &Node, const AttemptId &Attempt, WorkWaiter Waiter,
           const CallContext &Context, const HttpRequest &Http);
void runQueue(NodeState &Node);
void onAnswer(NodeState &Node, const BackendAnswered &Input);
void onFailure(NodeState &Node, WorkId Id, CallFailure Reason);
void onDeadline(NodeState &Node, WorkId Id);
/// @brief Cancels work whose answer is no longer needed. Non-idempotent running
/// work continues to its end.
/// @return true when the work is proved not to have run
bool cancel(NodeState &Node, WorkId Id);
void dropStream(NodeState &Node, StreamKey Stream);
/// @brief Fences the connection of an attempt and answers with the attempt's
/// outcome. The answer is delayed while the attempt runs here.
void revoke(NodeState &Node, const RevokeArrived &Input);
/// @brief Evicts all queued work, for example because the node leaves.
void refuseQueued(NodeState &Node, ErrorCode Error);
void onLevelWindow(NodeState &Node);
/// @brief Load report that this owner sends with an answer.
/// @param Long true when the route of the answered work is a long one
/// @param ChildLevel highest admission level in the replies to the calls of the
/// answered work
LoadReport loadReport(const NodeState &Node, bool Long, Rank ChildLevel);
/// @brief Lowest rank that is admitted. Long and short work have separate
/// levels, since some slots are reserved for short work.
Rank admissionLevel(const NodeState &Node, bool Long);
} // namespace owner_system

/// @brief Maintains the state of this node's backend server.
namespace backend_system {
void announce(NodeState &Node, const BackendAnnounced &Input);
/// @brief Records a request that was sent and lost its connection, and checks
/// soon whether the backend server has crashed.
void onRequestLost(NodeState &Node, const RequestDigest &Digest);
/// @brief Handles a connection that could not be opened: the backend server
/// gets no work for a short time.
/// @param Refused the address refused it, which confirms a suspected crash
void onConnectFailed(NodeState &Node, bool Refused);
/// @brief Requests the check for a crash, unless the backend server has
/// answered since.
void probe(NodeState &Node);
void onProbed(NodeState &Node, const BackendProbed &Input);
/// @brief Handles a sign that the backend server has ended unannounced: it
/// refuses connections, or another incarnation announces itself.
void onCrashConfirmed(NodeState &Node);
/// @brief Handles the leave notice of the backend server, which then receives
/// no new work.
void depart(NodeState &Node, const BackendDeparted &Input);
/// @brief Handles departures that an earlier process of this node had
/// acknowledged, as other nodes report them.
void onDeparturesLearned(NodeState &Node);
/// @brief Handles an answer from another incarnation at the address of the
/// backend server. That incarnation receives no work until it announces itself.
/// @param SentAt time at which the answered request was sent
void onOtherInstance(NodeState &Node, TimePoint SentAt);
/// @brief Applies what a response of the backend server says about the server.
/// @param SentAt time at which the answered request was sent
void onAnswer(NodeState &Node, TimePoint SentAt,
              const ResponseMetadata &Metadata);
void check(NodeState &Node);
/// @brief True when the backend server accepts new work.
bool isServing(const NodeState &Node);
} // namespace backend_system

/// @brief Keeps the departures of this node's backend servers in the store and
/// answers the notices of them.
///
/// A departure that is acknowledged binds all later processes of this node,
/// also when no process of the mesh is left that remembers it. The store is the
/// only place that outlives them, so a notice is answered when the store has
/// the departure. It takes effect on this node at once.
namespace departure_system {
/// @brief Answers a notice of a server that leaves as soon as the store keeps
/// its departure.
void answer(NodeState &Node, CallerKey Notice, const std::string &Instance);
/// @brief Handles this node's record as the store has acknowledged it.
void onRecorded(NodeState &Node, const NodeRecord &Recorded);
/// @brief Refuses a notice whose departure the store has not kept in time.
void onTimeout(NodeState &Node, CallerKey Notice);
/// @brief Learns the departures of all nodes from the store, and removes the
/// records of nodes that left long ago.
void onListed(NodeState &Node, const std::vector<StoredRecord> &Records);
/// @brief Writes this node's record when the store has another one.
void record(NodeState &Node);
/// @brief Removes this node's record, or its addresses where departures must
/// be kept.
void withdraw(NodeState &Node);
} // namespace departure_system

/// @brief Detects requests that crash backend servers and reports them to the
/// other nodes.
namespace quarantine_system {
/// @brief Records a crash of this node's backend server.
void onCrash(NodeState &Node, const std::vector<RequestDigest> &InProgress);
/// @brief The backend server answered a request.
void onServed(NodeState &Node, Work &Answered);
/// @brief Handles news from another node and passes on what is new.
void onNews(NodeState &Node, const QuarantineNews &News);
/// @brief Sends pending news to some members.
void spread(NodeState &Node);
/// @brief Handles the operator's release of a request.
void onReleased(NodeState &Node, const QuarantineReleased &Input);
/// @brief Suspicion against work, which includes that an answer to its request
/// was lost before.
Suspicion suspicionOf(const NodeState &Node, Work &Current);
/// @brief Suspicion against a request at its entry.
Suspicion suspicionOf(const NodeState &Node, const HttpRequest &Request);
/// @brief Counts a request that was refused because it is set aside.
void onRejected(NodeState &Node, const HttpRequest &Request);
} // namespace quarantine_system

/// @brief Maintains connections to peers and closes silent ones.
namespace link_system {
/// @brief Returns the connection to a member and opens one when there is none.
/// @return id 0 while a failed connection is backing off
LinkId connect(NodeState &Node, const Member &Peer);
/// @brief Queues an attempt on a connection. The attempt is sent once the
/// connection is established.
void enqueue(NodeState &Node, LinkId Id, std::uint64_t Sequence);
void release(NodeState &Node, LinkId Id, std::uint64_t Sequence);
void onEstablished(NodeState &Node, const LinkEstablished &Input);
void onClosed(NodeState &Node, LinkId Id);
void onActivity(NodeState &Node, LinkId Id);
void check(NodeState &Node, LinkId Id);
/// @brief Requests from a peer the settings and members that this node lacks.
void sync(NodeState &Node, const Member &Peer);
/// @brief Removes the data about nodes that are no longer members.
void removeFormerMembers(NodeState &Node);
} // namespace link_system

/// @brief Drives the membership protocol and logs its changes.
namespace membership_system {
void receive(NodeState &Node, const DatagramArrived &Input);
void tick(NodeState &Node);
void flush(NodeState &Node);
} // namespace membership_system

/// @brief Follows the eras of the store.
namespace store_era {

/// @brief Notes the era that an answer names. When a later one begins, the
/// calls in progress are given up and all settings are listed again.
/// @param Answered nullopt: the answer names none
void observe(NodeState &Node, const std::optional<std::uint64_t> &Answered);

/// @brief Writes this node's addresses again when another node reports a later
/// era: most nodes make no calls to the store that would show it.
void onReported(NodeState &Node, std::uint64_t Era);

/// @brief Whether a call was sent in an earlier era, and thus given up.
bool isSentEarlier(const NodeState &Node, const CallEras &Eras);

/// @brief Whether an answer describes the present era.
bool isCurrent(const NodeState &Node, const CallEras &Eras);

} // namespace store_era

/// @brief Follows the platform's store: lists and watches settings, and lists
/// and announces node addresses.
namespace store_system {
/// @brief Makes the calls that are due.
void call(NodeState &Node);
void onListed(NodeState &Node, const StoreListed &Input);
void onNodesListed(NodeState &Node, const StoreNodesListed &Input);
void onAnnounced(NodeState &Node, const StoreAnnounced &Input);
void onWatched(NodeState &Node, const StoreWatched &Input);
void onFailed(NodeState &Node, const StoreFailed &Input);
void onUnreadable(NodeState &Node, const StoreUnreadable &Input);
} // namespace store_system

/// @brief Decides which nodes follow the settings in the store.
///
/// Two elected nodes of each failure domain always do. Each answer of the store
/// to a follower is reported to all nodes. Where no answer becomes known for
/// some time, other nodes take over in an order by hash, of which each step
/// doubles their number.
namespace follow_system {
/// @brief Collection of the settings that must come into force in time.
Collection settingsCollection(const NodeState &Node);
/// @brief True when this node is one of the two elected in its failure domain.
bool isElected(const NodeState &Node);
/// @brief True when this node lists and watches the settings in the store.
bool follows(const NodeState &Node);
/// @brief True when another node of this failure domain follows the store.
bool isFollowedInLocalDomain(const NodeState &Node);
/// @brief Handles the start of service: the node has just got its settings.
void onServing(NodeState &Node);
/// @brief Time for which the next watch waits for a change.
Micros watchTime(const NodeState &Node);
/// @brief Reports an answer of the store to this node.
void onAnswered(NodeState &Node, Collection Answered);
/// @brief Notes and passes on an answer of the store to another node.
void onEvidence(NodeState &Node, const GossipMessage &Message);
/// @brief Handles a call for settings that the store did not answer.
void onFailed(NodeState &Node, Collection Failed);
void check(NodeState &Node);
} // namespace follow_system

/// @brief Applies settings and exchanges them with peers.
namespace settings_system {
void start(NodeState &Node);
void tick(NodeState &Node);
/// @brief Applies the offered versions that are newer than the known ones and
/// broadcasts their numbers to some members.
/// @param Source `store`, `watch` or `peer`, for the log
void applyAll(NodeState &Node, const std::vector<SubtreeVersion> &Offered,
              const std::string &Source);
/// @brief Serves from now on, unless the node needs a route table and has none.
/// @param Source `store` or `peer`, for the log
void beginServing(NodeState &Node, const std::string &Source);
/// @brief Logs an event about a version of a subtree.
void logSubtree(NodeState &Node, EventNumber Event,
                const SubtreeVersion &Subtree, const std::string &Source);
/// @brief Syncs with one more node or seed address on each call until this node
/// has peers and settings.
void syncWithNextPeer(NodeState &Node);
void onSyncArrived(NodeState &Node, const SyncArrived &Input);
void onSyncAnswered(NodeState &Node, const SyncAnswered &Input);
/// @brief Handles a gossip message with settings versions and with the digests
/// of all settings and members of its sender.
void onSettingsUpdate(NodeState &Node, const GossipMessage &Message);
SyncMessage syncMessage(const NodeState &Node);
} // namespace settings_system

/// @brief Proves that the settings in force are current, so that a revoked
/// credential is refused in time by every node, also by one that is cut off.
///
/// Load and failure pattern: the store turns some nodes away, answers late or
/// not at all, or a process is suspended. An answer of the store to a node that
/// follows it is a proof there; the other nodes ask nodes that have one.
namespace proof_system {
/// @brief The store has answered a list or watch of the settings.
void onStoreAnswered(NodeState &Node, Collection Answered);
/// @brief Asks the sender of evidence of a newer answer of the store.
void onEvidence(NodeState &Node, const std::string &Sender);
/// @brief Handles the return of the store from an older copy.
void onStoreRestored(NodeState &Node);
/// @brief A version of the settings came into force.
void onApplied(NodeState &Node);
void receive(NodeState &Node, const Endpoint &From,
             const ProofRequested &Message);
void receive(NodeState &Node, const ProofGiven &Message);
/// @brief Asks other nodes when the proof becomes old.
void tick(NodeState &Node);
/// @brief True when requests with a credential may be accepted.
bool isProved(const NodeState &Node);
/// @brief Time since the settings were last proved; nullopt: never.
std::optional<Micros> age(const NodeState &Node);
} // namespace proof_system

/// @brief Finds the tenant of a request.
namespace tenant_system {
/// @brief Reads the tenant of a request off its credential, and its importance.
/// @param Rules receives the importance of the tenant
/// @return the answer for a request that is refused
std::optional<CallReply> identify(const NodeState &Node, Request &NewRequest,
                                  EffectiveRules &Rules);
} // namespace tenant_system

/// @brief Keeps the requests of each tenant within its quota over all nodes.
namespace quota_system {
/// @brief True when the tenant of a request has a quota.
bool isLimited(const NodeState &Node, const Request &NewRequest);
/// @brief Spends a token on a request.
/// @return false when there is none here now
bool trySpend(NodeState &Node, Request &NewRequest);
/// @brief Refusal of a request whose tenant is known to have no token now.
/// @return nullopt when a token may be requested
std::optional<CallReply> refusal(NodeState &Node, const Request &NewRequest);
/// @brief Keeps a request until it gets a token or is refused.
void hold(NodeState &Node, HeldRequest Held);
/// @brief Removes a request whose caller has left.
/// @return false when it is not held
bool drop(NodeState &Node, RequestId Id);
/// @brief Returns the token of a request that no backend server has run.
void refund(NodeState &Node, const Request &Answered);
void onApplied(NodeState &Node);
/// @brief Handles a list of all nodes that the store knows.
void onNodesListed(NodeState &Node, std::size_t Count);
/// @brief Begins to move share time, unless it does already.
void startMoving(NodeState &Node);
void moveShareTime(NodeState &Node);
void onAnswerTimeout(NodeState &Node, std::uint64_t Question);
void onRetry(NodeState &Node, std::uint64_t Tenant);
void onHoldTimeout(NodeState &Node, RequestId Id);
void receive(NodeState &Node, const ShareTimeMoved &Message);
void receive(NodeState &Node, const Endpoint &From,
             const TokensRequested &Message);
void receive(NodeState &Node, const TokensGranted &Message);
} // namespace quota_system

/// @brief Graceful shutdown.
namespace leave_system {
void begin(NodeState &Node);
void check(NodeState &Node);
} // namespace leave_system

} // namespace fulmarshelf

#endif
