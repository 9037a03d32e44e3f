#ifndef FULMARSHELF_DETAIL_MEMBERSHIP_MEMBER_HPP
#define FULMARSHELF_DETAIL_MEMBERSHIP_MEMBER_HPP

#include "fulmarshelf/detail/base/ids.hpp"               // Incarnation
#include "fulmarshelf/detail/membership/departure.hpp"   // Departure
#include "fulmarshelf/detail/settings/node_settings.hpp" // Endpoint

#include <cstdint>     // uint8_t, uint32_t, uint64_t
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace fulmarshelf {

/// @brief State of a node. Of two reports with equal incarnation and version,
/// the one whose status comes later in this list takes precedence.
enum class MemberStatus : std::uint8_t { Alive, Leaving, Suspect, Dead };

/// @brief Name of a status in lower case.
std::string_view statusName(MemberStatus Status);

/// @brief One node as the other nodes know it.
struct Member {
  std::string Node_;
  Incarnation Incarnation_ = 0;
  std::uint32_t Version_ = 0; ///< raised by the node itself at each change
  MemberStatus Status_ = MemberStatus::Alive;
  Endpoint Peer_;
  std::string Region_;
  std::string FailureDomain_;
  std::string Service_; ///< service of the backend server, empty without one
  /// Outlives the node's process in the reports that other nodes keep.
  std::vector<Departure> Departures_;
  friend bool operator==(const Member &, const Member &) = default;
};

/// @brief True when a report about a node replaces the current entry.
bool supersedes(const Member &Report, const Member &Current);

/// @brief Weight of a node for a key; the node with the highest weight is
/// selected (rendezvous hashing), so that a change of membership reassigns few
/// keys.
std::uint64_t rendezvousWeight(const std::string &Key, const std::string &Node);

} // namespace fulmarshelf

#endif
