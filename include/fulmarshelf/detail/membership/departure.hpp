#ifndef FULMARSHELF_DETAIL_MEMBERSHIP_DEPARTURE_HPP
#define FULMARSHELF_DETAIL_MEMBERSHIP_DEPARTURE_HPP

#include <compare> // strong_ordering
#include <cstdint> // uint64_t
#include <limits>  // numeric_limits
#include <string>  // string
#include <vector>  // vector

namespace fulmarshelf {

/// @brief An incarnation of a VM's backend server that has said that it leaves,
/// as this node or an earlier process of it has acknowledged.
struct Departure {
  /// Sequence number that makes all announcements of the incarnation outdated.
  static constexpr std::uint64_t Final =
      std::numeric_limits<std::uint64_t>::max();

  /// Start of the incarnation in ms since 1970; where that is not known, the
  /// time of its notice, which is later.
  std::uint64_t StartedMs_ = 0;
  std::string Instance_;
  std::uint64_t LastSequence_ = Final; ///< of its outdated announcements
  bool StartKnown_ = true;
  friend auto operator<=>(const Departure &, const Departure &) = default;
};

/// @brief What the store keeps of a node for the next process of that node, and
/// for the other nodes.
struct NodeRecord {
  bool Reachable_ = true; ///< whether it holds addresses of a running process
  std::vector<Departure> Departures_; ///< those that may be acknowledged
  friend bool operator==(const NodeRecord &, const NodeRecord &) = default;
};

/// @brief Whether a record holds nothing that must be kept.
bool isEmpty(const NodeRecord &Record);

/// @brief Finds the departure of an instance.
/// @return nullptr when the list has none
const Departure *findDeparture(const std::vector<Departure> &Departures,
                               const std::string &Instance);

/// @brief Adds departures to a list. Of two for one instance the later one
/// stays, and of all the four latest ones.
/// @return whether the list has changed
bool mergeDepartures(std::vector<Departure> &Into,
                     const std::vector<Departure> &Added);

/// @brief Whether an announcement comes from an incarnation that leaves, and is
/// not newer than its departure.
/// @param WithEstimates whether departures with an unknown start count
bool isDeparted(const std::vector<Departure> &Departures,
                const std::string &Instance, std::uint64_t StartedMs,
                std::uint64_t Sequence, bool WithEstimates);

} // namespace fulmarshelf

#endif
