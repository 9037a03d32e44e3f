#ifndef FULMARSHELF_DETAIL_MEMBERSHIP_MEMBERSHIP_HPP
#define FULMARSHELF_DETAIL_MEMBERSHIP_MEMBERSHIP_HPP

#include "fulmarshelf/detail/base/time.hpp"                 // TimePoint
#include "fulmarshelf/detail/membership/gossip_message.hpp" // GossipMessage

#include <map>    // map
#include <random> // mt19937_64
#include <string> // string
#include <vector> // vector

namespace fulmarshelf {

/// @brief One datagram to send.
struct GossipSend {
  Endpoint To_;
  GossipMessage Message_;
};

/// @brief Members of the mesh, detected by nodes that probe each other (SWIM).
///
/// Each period one member is pinged, in shuffled order. When it does not
/// answer, three or four other members are asked to ping it. A member that
/// answers none of these pings is suspected, and declared dead unless it
/// refutes the suspicion in time. Reports about members are piggybacked on the
/// datagrams; no node queries the platform. The cost per node does not depend
/// on the number of nodes, except that the number of periods until a report has
/// reached all nodes grows with the logarithm of the number of nodes.
class Membership {
public:
  /// @param Self this node; Version_ is raised when the node changes or refutes
  /// a report
  /// @param Random source of randomness; must outlive the object
  Membership(const Member &Self, std::mt19937_64 &Random);

  /// @brief Changes the status and service that this node reports for itself.
  void setSelf(MemberStatus Status, const std::string &Service);
  const Member &self() const { return Self_; }

  /// @brief Adds a departure of this VM's backend server to the report that
  /// this node gives of itself.
  void addDeparture(const Departure &Added);

  /// @brief Adds departures that an earlier process of this node has
  /// acknowledged.
  void learnOwnDepartures(const std::vector<Departure> &Earlier);

  /// @brief Adds the departures that the store keeps, by node. Nodes that
  /// cannot reach the store learn theirs from the reports of this node.
  void
  learnDepartures(const std::map<std::string, std::vector<Departure>> &Stored);

  /// @brief Returns whether departures that an earlier process of this node has
  /// reported became known since the last call.
  bool takeDeparturesLearned();

  /// @brief Adds reports from a datagram, a sync or the platform.
  void learn(TimePoint Now, const std::vector<Member> &Reports);

  /// @brief Handles a datagram and queues the answers for takeSends().
  void receive(TimePoint Now, const Endpoint &From,
               const GossipMessage &Message);

  /// @brief Runs the due probes and expiries. To be called no later than at
  /// nextTimer().
  void tick(TimePoint Now);
  TimePoint nextTimer() const;

  /// @brief Sends settings updates to some members immediately.
  void broadcast(const std::vector<SettingsVersion> &Updates);

  /// @brief Sends news about crashing requests to some members immediately.
  void broadcastNews(const QuarantineNews &News);

  /// @brief Sends evidence of an answer of the store to a member.
  void sendEvidence(const Endpoint &To, const StoreEvidence &Evidence);

  /// @brief Other members that can receive requests: alive or suspected.
  /// @return pointers that are valid until the table changes
  std::vector<const Member *> availableMembers() const;
  /// @brief Copies of availableMembers().
  std::vector<Member> available() const;
  /// @brief All other known members, including dead and leaving ones until they
  /// are removed.
  std::vector<Member> all() const;
  /// @brief Number of all(); O(1)
  std::size_t size() const { return Entries_.size(); }
  /// @brief Number of other members that have not announced that they leave,
  /// including those that count as dead.
  std::size_t staying() const;
  /// @brief Another member by name, nullptr when unknown. O(log members)
  const Member *find(const std::string &Node) const;
  /// @brief Random available members other than this node.
  /// @param Count maximum number of members
  std::vector<Member> sample(std::size_t Count);
  /// @brief Equal on nodes that know the same members in the same state.
  std::uint64_t digest() const { return Digest_; }
  /// @brief Counter that is raised at each change of the table.
  std::uint64_t changes() const { return Changes_; }

  /// @brief Sets the settings digest that datagrams carry.
  void setSettingsDigest(std::uint64_t Digest) { SettingsDigest_ = Digest; }

  /// @brief Sets the era of the store that datagrams carry.
  void setStoreEra(std::uint64_t Era) { StoreEra_ = Era; }

  /// @brief Removes and returns the datagrams to send.
  std::vector<GossipSend> takeSends();
  /// @brief Removes and returns the members whose state changed, in order.
  std::vector<Member> takeChanges();

private:
  struct Entry {
    Member Member_;
    TimePoint StatusSince_;            ///< start of the present status
    unsigned RemainingBroadcasts_ = 0; ///< datagrams still to carry Member_
  };
  struct Probe {
    std::string Target_;
    std::uint64_t Sequence_ = 0;
    TimePoint IndirectAt_; ///< time to request the indirect probes
    TimePoint ExpiresAt_;
    bool Indirect_ = false; ///< whether indirect probes were requested
    bool Pending_ = false;  ///< whether the probe is unanswered
  };
  /// Ping that this node sends on behalf of a requester.
  struct IndirectProbe {
    Endpoint Requester_;
    std::uint64_t RequesterSequence_ = 0;
    std::string Target_;
    TimePoint ExpiresAt_;
  };

  bool applyReport(TimePoint Now, const Member &Report);
  void refute(const Member &Report);
  bool mergeOwnDepartures(const std::vector<Departure> &Added);
  void store(TimePoint Now, const Member &Report);
  void suspect(TimePoint Now, const std::string &Node);
  void startProbe(TimePoint Now);
  void requestIndirectProbes(TimePoint Now);
  void expire(TimePoint Now);
  void probeDeadMember();
  void send(const Endpoint &To, GossipMessage Message);
  void attachReports(GossipMessage &Message);
  unsigned broadcastCount() const;
  std::string nextTarget();
  std::vector<Member> sampleSameDomain(std::size_t Count);
  std::vector<Member> broadcastTargets();

  Member Self_;
  std::mt19937_64 &Random_;
  std::map<std::string, Entry> Entries_;
  std::vector<std::string> ProbeOrder_;
  Probe Probe_;
  std::map<std::uint64_t, IndirectProbe> IndirectProbes_;
  std::uint64_t LastSequence_ = 0;
  unsigned RemainingSelfBroadcasts_ = 0;
  unsigned PeriodCount_ = 0;
  TimePoint NextPeriod_;
  std::uint64_t Digest_ = 0;
  std::uint64_t Changes_ = 0;
  std::uint64_t SettingsDigest_ = 0;
  std::uint64_t StoreEra_ = 0;
  std::vector<SettingsVersion> SettingsUpdates_;
  std::vector<GossipSend> Sends_;
  std::vector<Member> ChangedMembers_;
  bool DeparturesLearned_ = false;
  /// Departures in the store of nodes that are no members yet.
  std::map<std::string, std::vector<Departure>> StoredDepartures_;
};

} // namespace fulmarshelf

#endif
