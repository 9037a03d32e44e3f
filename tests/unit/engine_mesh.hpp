#ifndef FULMARSHELF_TESTS_UNIT_ENGINE_MESH_HPP
#define FULMARSHELF_TESTS_UNIT_ENGINE_MESH_HPP

#include "fulmarshelf/detail/engine/engine.hpp" // Engine

#include <map>      // map
#include <memory>   // unique_ptr
#include <optional> // optional
#include <random>   // mt19937_64
#include <set>      // set
#include <string>   // string
#include <vector>   // vector

namespace fulmarshelf::test {

/// @brief How the store treats calls that it does not serve.
enum class Refusal : std::uint8_t { Reset, Silence };

/// @brief Answer of a node to a caller.
struct CallerAnswer {
  TimePoint At_;
  std::size_t Node_ = 0;
  CallReply Reply_;
};

/// @brief A request that a node sent to its backend server.
struct ServerRequest {
  TimePoint At_;
  std::string RequestId_;
  std::string Tenant_;
  Rank Rank_ = 0;
};

/// @brief Engines of several nodes with a route table, a store, a network and
/// backend servers that answer at once, in one process and in virtual time.
class EngineMesh {
public:
  /// @param Nodes number of nodes, spread evenly over the failure domains
  /// @param Bounds limits of the platform
  /// @param Tenancy INI text of the tenants, added to the route table
  explicit EngineMesh(std::size_t Nodes, std::size_t Domains = 3,
                      const MeshBounds &Bounds = {}, std::string Tenancy = {});

  /// @brief Handles all events of a span of virtual time.
  void run(Micros Duration);

  /// @brief Writes the next version of the route table to the store.
  std::uint64_t writeTable();
  /// @brief The same with other tenants.
  std::uint64_t writeTenancy(std::string Text);

  /// @brief Sends a request to a node.
  /// @param Credential empty: none
  /// @return id of the request
  std::string ask(std::size_t Node, const std::string &Credential,
                  const std::string &Path = "/a/1");

  /// @brief All answers to callers, by request id.
  const std::map<std::string, CallerAnswer> &answers() const {
    return Answers_;
  }
  /// @brief All requests that reached backend servers, in order.
  const std::vector<ServerRequest> &served() const { return Served_; }

  /// @brief Stops the clock and the inputs of a node for a time, as a suspended
  /// machine does. What arrives meanwhile is handled afterwards.
  void suspend(std::size_t Node, Micros Duration);

  /// @brief Delivers the datagrams to a node later than usual.
  void delayDatagrams(std::size_t Node, Micros Delay) { Delays_[Node] = Delay; }
  TimePoint now() const { return Now_; }

  /// @brief The store turns away these nodes from now on, and no others.
  void turnAway(const std::set<std::size_t> &Nodes, Refusal How);

  /// @brief The nodes of this set reach only each other, until heal().
  void isolate(const std::set<std::size_t> &Nodes) { Isolated_ = Nodes; }
  void heal() { Isolated_.clear(); }

  /// @brief Drops each datagram with this probability.
  void loseDatagrams(double Share) { LossShare_ = Share; }

  /// @brief Ends a node without notice and starts it again.
  void restart(std::size_t Node);

  /// @brief Ends a node without notice.
  void stop(std::size_t Node);

  /// @brief Ends all nodes at one moment and starts them again.
  void restartAll();

  /// @brief Sends a notice of its backend server to a node.
  /// @return whether the node has taken it; nullopt: no answer in this time
  std::optional<bool> notify(std::size_t Node, Input Notice,
                             Micros Patience = millis(1000));

  /// @brief The records of nodes in the store, by node. A test may return them
  /// to an older copy.
  std::map<std::string, StoredRecord> &records() { return Records_; }

  /// @brief Records that nodes have written to the store.
  std::uint64_t recordWrites() const { return RecordRevision_; }

  /// @brief Gives an input to a node.
  void handle(std::size_t Node, const Input &Event);

  /// @brief Nodes whose watch of the route table waits at the store.
  std::set<std::size_t> watchers() const;

  /// @brief Version of the route table in force on a node; 0: none.
  std::uint64_t version(std::size_t Node) const;
  const NodeState &state(std::size_t Node) const;
  std::size_t size() const { return Engines_.size(); }

  /// @brief Lists and watches that nodes have requested.
  std::size_t storeCalls() const { return StoreCalls_; }
  /// @brief Events of one kind that nodes have logged.
  std::size_t logged(EventNumber Event) const;
  /// @brief Bytes of all datagrams, without their UDP and IP headers.
  std::size_t datagramBytes() const { return DatagramBytes_; }

private:
  struct ActionVisitor;
  struct Event {
    std::size_t Node_ = 0;
    std::uint64_t Start_ = 0; ///< events of an ended process are dropped
    Input Input_;
  };
  struct Watch {
    std::size_t Node_ = 0;
    Collection Collection_ = Collection::Teams;
    std::uint64_t Since_ = 0;
    TimePoint EndsAt_;
  };

  void start(std::size_t Node);
  void schedule(std::size_t Node, Micros Delay, Input Event);
  void carryOut(std::size_t Node);
  void endWatches();
  StoreListed listOf(Collection Kind) const;
  bool canReach(std::size_t From, std::size_t To) const;
  bool isTurnedAway(std::size_t Node) const {
    return TurnedAway_.contains(Node);
  }
  EngineConfig configOf(std::size_t Node) const;
  std::optional<std::size_t> nodeAt(const Endpoint &Peer) const;

  std::size_t Domains_;
  TimePoint localTime(std::size_t Node) const;
  TimePoint nextTimer(std::size_t Node) const;

  MeshBounds Bounds_;
  std::string Tenancy_;
  std::map<std::string, CallerAnswer> Answers_;
  std::map<std::uint64_t, std::string> IdOfCaller_;
  std::uint64_t LastCaller_ = 0;
  std::vector<ServerRequest> Served_;
  std::map<std::size_t, Micros> Delays_;
  std::map<std::size_t, Micros> Suspended_;         ///< total, by node
  std::map<std::size_t, TimePoint> SuspendedUntil_; ///< by node
  struct Call {
    std::size_t Node_ = 0;
    LinkId Link_;
    std::uint64_t Sequence_ = 0;
  };
  std::map<std::uint64_t, Call> Calls_; ///< by stream
  std::vector<std::unique_ptr<Engine>> Engines_;
  std::vector<std::uint64_t> Starts_; ///< of each node
  std::mt19937_64 Random_{7};
  TimePoint Now_{millis(1'000'000)};
  std::multimap<TimePoint, Event> Events_;
  std::vector<Watch> Watches_;
  std::map<std::pair<std::size_t, std::uint64_t>, std::size_t> PeerOfLink_;
  std::map<std::uint64_t, std::pair<std::size_t, LinkId>> Syncs_; ///< by stream
  std::uint64_t LastStream_ = 0;
  std::uint64_t Version_ = 0;
  std::uint64_t Revision_ = 1;
  std::set<std::size_t> TurnedAway_;
  Refusal Refusal_ = Refusal::Reset;
  std::set<std::size_t> Isolated_;
  std::set<std::size_t> Stopped_;
  std::map<std::string, StoredRecord> Records_; ///< in the store
  std::map<std::string, TimePoint> RecordedAt_; ///< last change of a record
  std::uint64_t RecordRevision_ = 0;
  std::map<std::uint64_t, bool> Notices_; ///< whether taken, by exchange
  double LossShare_ = 0;
  std::size_t StoreCalls_ = 0;
  std::size_t DatagramBytes_ = 0;
  std::map<EventNumber, std::size_t> Logged_;
};

} // namespace fulmarshelf::test

#endif
