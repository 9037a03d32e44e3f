#ifndef FULMARSHELF_DETAIL_MEMBERSHIP_GOSSIP_MESSAGE_HPP
#define FULMARSHELF_DETAIL_MEMBERSHIP_GOSSIP_MESSAGE_HPP

#include "fulmarshelf/detail/base/time.hpp"               // Micros
#include "fulmarshelf/detail/membership/member.hpp"       // Member
#include "fulmarshelf/detail/quarantine/crash_report.hpp" // CrashReport
#include "fulmarshelf/detail/settings/registry.hpp"       // SubtreeVersion

#include <cstdint> // uint8_t, uint64_t
#include <string>  // string
#include <vector>  // vector

namespace fulmarshelf {

/// @brief Kinds of datagrams between nodes.
enum class GossipKind : std::uint8_t {
  Ping,           ///< requests an Ack
  Ack,            ///< answers a Ping
  PingRequest,    ///< requests a Ping of Target_ on behalf of the sender
  SettingsUpdate, ///< announces a settings version; expects no answer
  Quarantine,     ///< news about crashing requests; expects no answer
  StoreEvidence,  ///< an answer of the store; expects no answer
};

/// @brief Version of a settings subtree, without its text.
struct SettingsVersion {
  std::string Path_;
  std::uint64_t Version_ = 0;
  friend bool operator==(const SettingsVersion &,
                         const SettingsVersion &) = default;
};

/// @brief An answer of the store to a node that follows it.
struct StoreEvidence {
  std::string Node_;     ///< node that the store answered; empty: no evidence
  bool Elected_ = false; ///< whether it is a watcher of its failure domain
  Micros Age_{0};        ///< time since the answer
  std::string Root_;     ///< node from which it spreads in the failure domain
  friend bool operator==(const StoreEvidence &,
                         const StoreEvidence &) = default;
};

/// @brief One datagram.
struct GossipMessage {
  GossipKind Kind_ = GossipKind::Ping;
  std::uint64_t Sequence_ = 0; ///< pairs an Ack with its Ping
  std::string From_;
  std::string Target_;  ///< member that the receiver of a PingRequest pings
  Endpoint TargetPeer_; ///< address of that member
  std::uint64_t SettingsDigest_ = 0;
  std::uint64_t MembersDigest_ = 0;
  std::vector<Member> Members_;
  std::vector<SettingsVersion> SettingsUpdates_;
  QuarantineNews Quarantine_;
  std::uint64_t StoreEra_ = 0; ///< era of the store; 0: not known
  StoreEvidence Evidence_;
  friend bool operator==(const GossipMessage &,
                         const GossipMessage &) = default;
};

/// @brief Requests the members and settings that the peer has and the requester
/// lacks.
struct SyncMessage {
  Member From_;
  std::uint64_t MembersDigest_ = 0;
  std::vector<SettingsVersion> Settings_;
  friend bool operator==(const SyncMessage &, const SyncMessage &) = default;
};

/// @brief Answer to a SyncMessage.
struct SyncReply {
  bool Serving_ = false; ///< whether the peer serves, with settings loaded
  std::vector<Member> Members_; ///< empty when the members digests agree
  /// Subtrees of which the peer has a newer version than the requester.
  std::vector<SubtreeVersion> Subtrees_;
  std::vector<CrashEvidence> Evidence_; ///< against crashing requests
  friend bool operator==(const SyncReply &, const SyncReply &) = default;
};

/// @brief CBOR codecs; decoding checks every type and bound.
/// @return for decode: false on a malformed message, Decoded is then unchanged
std::string encode(const GossipMessage &Message);
bool decode(const std::string &Bytes, GossipMessage &Decoded);
std::string encode(const SyncMessage &Message);
bool decode(const std::string &Bytes, SyncMessage &Decoded);
std::string encode(const SyncReply &Message);
bool decode(const std::string &Bytes, SyncReply &Decoded);

} // namespace fulmarshelf

#endif
