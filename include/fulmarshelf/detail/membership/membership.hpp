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

/// @brief Who is in the mesh, found by nodes probing each other (SWIM).
///
/// Each period one member is pinged, in a shuffled round; without an answer
/// three others are asked to ping it; without theirs it is suspected, and
/// declared dead unless it refutes in time. Reports ride on the pings. Nobody
/// asks the platform. The cost per node does not depend on the number of
/// nodes, but for the number of periods that news needs, which grows with its
/// logarithm.
class Membership {
public:
  /// @param Self this node; Version_ is raised when it changes or refutes
  /// @param Random source of randomness; must outlive the object
  Membership(const Member &Self, std::mt19937_64 &Random);

  /// @brief Changes what this node tells of itself.
  void setSelf(MemberStatus Status, const std::string &Service);
  const Member &self() const { return Self_; }

  /// @brief Adds reports from a datagram, a sync or the platform.
  void learn(TimePoint Now, const std::vector<Member> &Reports);

  /// @brief Handles a datagram and fills in answers.
  void receive(TimePoint Now, const Endpoint &From,
               const GossipMessage &Message);

  /// @brief Sends what is due; call at nextTimer() at the latest.
  void tick(TimePoint Now);
  TimePoint nextTimer() const;

  /// @brief Sends settings news to some members at once.
  void broadcast(const std::vector<SettingsVersion> &SettingsUpdate);

  /// @brief Members that may be asked for work: alive or suspected.
  std::vector<Member> available() const;
  /// @brief Every member ever met that is not forgotten.
  std::vector<Member> all() const;
  /// @brief A member by name, nullptr when unknown. O(log n)
  const Member *find(const std::string &Node) const;
  /// @brief Some random usable members other than this node.
  std::vector<Member> sample(std::size_t Count);
  /// @brief Equal on nodes that know the same members in the same state.
  std::uint64_t digest() const { return Digest_; }
  /// @brief Raised at each change of the table.
  std::uint64_t changes() const { return Changes_; }

  /// @brief Sets the digest of settings that datagrams carry.
  void setSettingsDigest(std::uint64_t Digest) { SettingsDigest_ = Digest; }

  /// @brief Takes the datagrams to send.
  std::vector<GossipSend> takeSends();
  /// @brief Takes the members whose state changed, in order.
  std::vector<Member> takeChanges();

private:
  struct Entry {
    Member Member_;
    TimePoint Since_;         ///< of the present status
    unsigned Broadcasts_ = 0; ///< times that the report may still ride along
  };
  struct Probe {
    std::string Target_;
    std::uint64_t Sequence_ = 0;
    TimePoint IndirectAt_;
    TimePoint EndsAt_;
    bool Indirect_ = false;
    bool Open_ = false;
  };
  struct IndirectProbe {
    Endpoint Requester_;
    std::uint64_t RequesterSequence_ = 0;
    std::string Target_;
    TimePoint EndsAt_;
  };

  bool applyReport(TimePoint Now, const Member &Report);
  void refute(const Member &Report);
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

  Member Self_;
  std::mt19937_64 &Random_;
  std::map<std::string, Entry> Entries_;
  std::vector<std::string> Round_;
  Probe Probe_;
  std::map<std::uint64_t, IndirectProbe> IndirectProbes_;
  std::uint64_t LastSequence_ = 0;
  unsigned SelfBroadcasts_ = 0;
  unsigned Periods_ = 0;
  TimePoint NextPeriod_;
  std::uint64_t Digest_ = 0;
  std::uint64_t Changes_ = 0;
  std::uint64_t SettingsDigest_ = 0;
  std::vector<SettingsVersion> SettingsUpdates_;
  std::vector<GossipSend> Sends_;
  std::vector<Member> Changed_;
};

} // namespace fulmarshelf

#endif
