#ifndef FULMARSHELF_DETAIL_ENGINE_NODE_STATE_HPP
#define FULMARSHELF_DETAIL_ENGINE_NODE_STATE_HPP

#include "fulmarshelf/detail/admission/admission_controller.hpp" // AdmissionController
#include "fulmarshelf/detail/admission/admission_level.hpp"    // AdmissionLevel
#include "fulmarshelf/detail/admission/demand_meter.hpp"       // DemandMeter
#include "fulmarshelf/detail/admission/domain_share_table.hpp" // DomainShareTable
#include "fulmarshelf/detail/admission/failure_meter.hpp"      // FailureMeter
#include "fulmarshelf/detail/admission/rate_limiter.hpp"       // RateLimiter
#include "fulmarshelf/detail/admission/work_limit.hpp"         // WorkLimit
#include "fulmarshelf/detail/admission/work_queue.hpp"         // WorkQueue
#include "fulmarshelf/detail/engine/actions.hpp"               // Action
#include "fulmarshelf/detail/engine/store_followers.hpp"       // StoreFollowers
#include "fulmarshelf/detail/engine/tables.hpp"                // Request, Work
#include "fulmarshelf/detail/engine/tenancy_state.hpp"         // QuotaState
#include "fulmarshelf/detail/membership/membership.hpp"        // Membership
#include "fulmarshelf/detail/quarantine/crash_detector.hpp"    // CrashDetector
#include "fulmarshelf/detail/quarantine/quarantine.hpp"        // Quarantine
#include "fulmarshelf/detail/retry/repeat_window.hpp"          // RepeatWindow
#include "fulmarshelf/detail/retry/retry_budget.hpp"           // RetryBudget
#include "fulmarshelf/detail/revocation/attempt_ledger.hpp"    // AttemptLedger
#include "fulmarshelf/detail/routing/call_graph.hpp"           // CallGraph
#include "fulmarshelf/detail/routing/entry_distribution.hpp" // EntryDistribution
#include "fulmarshelf/detail/routing/route_times.hpp"        // RouteTimes
#include "fulmarshelf/detail/routing/service_index.hpp"      // ServiceIndex
#include "fulmarshelf/detail/routing/weighted_round_robin.hpp" // WeightedRoundRobin
#include "fulmarshelf/detail/settings/registry.hpp"   // SettingsRegistry
#include "fulmarshelf/detail/ticket/ticket_table.hpp" // TicketTable

#include <map>           // map
#include <optional>      // optional
#include <random>        // mt19937_64
#include <set>           // set
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief Parameters with which a node's core is started.
struct EngineConfig {
  NodeSettings Settings_;
  Incarnation Incarnation_ = 0;
  std::uint64_t Seed_ = 0;
  HashKey Secret_{};
};

/// @brief Lifecycle phases of a node.
enum class NodePhase : std::uint8_t { Starting, Serving, Leaving, Stopped };

/// @brief Name of a phase in lower case.
std::string_view phaseName(NodePhase Phase);

/// @brief Counts of admitted and shed requests of one importance, for status.
struct ImportanceCounts {
  std::uint64_t Admitted_ = 0;
  std::uint64_t Shed_ = 0;
};

/// @brief Progress of watching one kind of settings in the store.
struct CollectionSync {
  bool ListPending_ = false;
  bool WatchPending_ = false;
  bool Listed_ = false;
  std::uint64_t Revision_ = 0; ///< store revision of the known settings
  std::set<std::string>
      StoredPaths_; ///< subtrees seen in the store in this era
  TimePoint NextCallAt_;
  Micros Backoff_{0};
  TimePoint AskedAt_; ///< bootTime() of the call in progress
};

/// @brief Record in the store of a node that has left.
struct WithdrawnRecord {
  std::uint64_t Revision_ = 0;
  TimePoint SeenAt_; ///< when this revision of it was first listed
};

/// @brief Notice of departure that is answered once the store keeps it.
struct AwaitedNotice {
  CallerKey Notice_;
  Departure Departure_;
};

/// @brief Progress of fetching settings and addresses.
struct SettingsSync {
  std::map<Collection, CollectionSync> Collections_;
  std::optional<std::uint64_t> Era_; ///< era of the store; nullopt: not named
  std::uint64_t ReportedEra_ = 0;    ///< highest era that other nodes reported
  std::uint64_t Restores_ = 0;       ///< new eras that this node has seen begin
  bool AnnouncePending_ = false;
  bool Announced_ = false; ///< whether the store has this node's record
  NodeRecord Recorded_;    ///< the record, as the store has acknowledged it
  /// Records of nodes that have left, and when this node first saw them.
  std::map<std::string, WithdrawnRecord> Withdrawn_;
  bool NodesListPending_ = false;
  TimePoint NextStoreCallAt_; ///< next store call about addresses
  Micros StoreBackoff_{0};
  StoreFollowers Followers_;
  bool Substitute_ = false; ///< follows the store though it is not elected
  TimePoint SubstituteSince_;
  TimePoint NextTakeOverAt_;    ///< after the store has not answered
  TimePoint NextFollowerCheck_; ///< due time of the check of the followers
  std::vector<Endpoint> Seeds_; ///< from the node's settings
  std::size_t NextSeed_ = 0;
  std::vector<NodeSeed> UnknownNodes_; ///< listed nodes that no member reported
  TimePoint NextNodeListAt_;
  unsigned NodeListCount_ = 0;
  TimePoint NextDigestSync_;
  TimePoint NextMemberSync_;
  std::map<std::string, std::uint64_t> Rejected_; ///< invalid versions
  std::string Unreadable_; ///< read error of the newest routes; empty: none
  std::vector<SettingsVersion> Updates_; ///< repeated to some members
  unsigned UpdateRounds_ = 0; ///< rounds in which Updates_ is still repeated
  std::string AwaitedMember_; ///< member of another failure domain that
                              ///< reported newer settings; empty: none
  std::uint64_t AwaitedDigest_ = 0; ///< digest of that member's settings
  TimePoint SyncAt_; ///< time to request the settings from that member
};

/// @brief Counts of calls by the result of matching them to the work that made
/// them, for metrics.
struct ParentMatches {
  std::uint64_t Unique_ = 0;
  std::uint64_t Ambiguous_ = 0; ///< several matches for the call
  std::uint64_t None_ = 0; ///< no match, though the route's requests are calls
};

/// @brief Amount of running work that recently started or received an answer
/// and may be about to make its next call.
struct WorkBetweenCalls {
  double Mean_ = 0.5; ///< mean amount over the last second; the initial value
                      ///< delays the decision on a route's origin
  TimePoint UpdatedAt_;
};

/// @brief News about crashing requests that is still sent to other nodes.
struct QuarantineSpread {
  struct PendingNews {
    QuarantineNews News_;
    unsigned RemainingRounds_ = 0;
  };
  std::vector<PendingNews> Pending_;
  bool TimerSet_ = false;
};

/// @brief All tables of one node. The systems are functions over this state and
/// hold no other state.
struct NodeState {
  explicit NodeState(const EngineConfig &Config);

  EngineConfig Config_;
  std::mt19937_64 Random_;
  TimePoint Now_;
  NodePhase Phase_ = NodePhase::Starting;
  std::vector<Action> Actions_;
  std::set<Timer> Timers_;

  std::unordered_map<RequestId, Request> Requests_;
  std::unordered_map<std::uint64_t, Attempt> Attempts_;
  std::unordered_map<WorkId, Work> Works_;
  std::map<AttemptId, WorkId> WorkOfAttempt_;
  std::unordered_map<StreamKey, WorkId> WorkOfStream_;
  std::unordered_map<StreamKey, RequestId> RequestOfStream_;
  std::unordered_map<CallerKey, RequestId> RequestOfCaller_;
  std::unordered_map<std::string, RequestId> Joinable_;
  std::unordered_map<LinkId, Link> Links_;
  std::unordered_map<std::string, PeerView> Peers_;
  std::unordered_map<std::string, RetryBudget> Budgets_;
  std::unordered_map<std::string, RepeatWindow> Repeats_; ///< by service
  std::unordered_map<std::string, std::size_t> RoundRobin_;
  std::unordered_map<std::string, WeightedRoundRobin>
      ServiceSplits_; ///< by route
  Backend Backend_;
  std::vector<AwaitedNotice> Notices_; ///< of this node's backend server

  SettingsRegistry Settings_;
  SettingsSync Sync_;
  ProofSync Proof_;
  QuotaState Quotas_;
  Micros Suspended_{0}; ///< time during which Now_ did not advance
  Membership Membership_;
  ServiceIndex Owners_;
  WorkQueue Queue_;
  WorkLimit Limit_;
  RateLimiter Rate_;              ///< of requests to this node's backend server
  DemandMeter Demand_;            ///< demand for this node's backend server
  AdmissionController Admission_; ///< for requests at this entry
  FailureMeter Failures_;         ///< failures of this node's backend server
  CrashDetector Crashes_;         ///< of this node's backend server
  Quarantine Quarantine_;
  QuarantineSpread QuarantineSpread_;
  EntryDistribution Entries_; ///< of the routes that this VM's service serves
  TimePoint NextVmShares_;    ///< next count of the VMs for Entries_
  DomainShareTable DomainShares_; ///< shares of the local failure domain
  CallGraph Graph_;
  ParentMatches ParentMatches_;
  WorkBetweenCalls WorkBetweenCalls_;
  /// Running work by the deadline that was sent to the backend server.
  std::multimap<TimePoint, WorkId> RunningDeadlines_;
  AdmissionLevel ShortLevel_;
  AdmissionLevel LongLevel_; ///< for work of long routes
  TicketTable Tickets_;
  AttemptLedger Ledger_;
  RouteTimes CallTimes_; ///< call times measured at the entry
  RouteTimes WorkTimes_; ///< service times of the backend server
  std::array<ImportanceCounts, 10> Counts_{};
  std::array<TimePoint, 10>
      LastShortWorkAt_{}; ///< start of the last short work, by importance
  unsigned Running_ = 0;
  unsigned LongRunning_ = 0;
  unsigned RunningSuspects_ = 0;
  unsigned RunningStrongSuspects_ = 0;
  double MaxShortRunning_ = 0; ///< recent maximum number of running short work
  bool LevelTimerSet_ = false;
  bool SweepTimerSet_ = false;
  TimePoint LeaveStartedAt_; ///< when the process was asked to stop
  TimePoint LastArrival_;    ///< arrival of the last request over HTTP

  std::uint64_t Dispatches_ = 0; ///< requests sent to the backend server
  std::uint64_t LastRequest_ = 0;
  std::uint64_t LastAttempt_ = 0;
  std::uint64_t LastWork_ = 0;
  std::uint64_t LastLink_ = 0;
};

/// @brief Queues an action for the shell.
void emit(NodeState &Node, Action Requested);

/// @brief Writes a log line.
void log(NodeState &Node, EventNumber Event,
         std::initializer_list<LogField> Fields);

/// @brief Schedules a run of a system after a delay.
void setTimer(NodeState &Node, Micros Delay, TimerKind Kind,
              std::uint64_t EntityId = 0);

/// @brief Cancels the timer that was set for this time. O(log timers)
void clearTimer(NodeState &Node, TimePoint DueAt, TimerKind Kind,
                std::uint64_t EntityId);

/// @brief True when the node applies the full overload control policy, false
/// for the baseline policy.
bool hasFullPolicy(const NodeState &Node);

/// @brief Current time on the clock that also runs while the process is
/// suspended. Whatever must end in time for others is dated by it.
TimePoint bootTime(const NodeState &Node);

/// @brief True when requests are matched against the route table of the
/// platform, false when the first path segment names the service.
bool hasRouteTable(const NodeState &Node);

/// @brief This node's part of the bound on repeats of a service.
RepeatBound repeatBound(const NodeState &Node);

/// @brief This node's name.
const std::string &localNodeName(const NodeState &Node);

} // namespace fulmarshelf

#endif
