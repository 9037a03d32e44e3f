#ifndef FULMARSHELF_DETAIL_ENGINE_STORE_FOLLOWERS_HPP
#define FULMARSHELF_DETAIL_ENGINE_STORE_FOLLOWERS_HPP

#include "fulmarshelf/detail/base/time.hpp" // Micros, TimePoint

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map>     // map
#include <string>  // string

namespace fulmarshelf {

/// @brief Nodes that follow the settings in the store, and the last answer that
/// each of them got from it.
///
/// Followers watch in turn, so that the store answers one of them in every
/// EvidenceInterval while it answers all of them.
class StoreFollowers {
public:
  /// @brief Time between two answers of the store to any follower, while there
  /// are few enough followers for MaxWatchTime.
  static constexpr Micros EvidenceInterval = millis(300);
  /// @brief Longest period of one follower's watches.
  static constexpr Micros MaxWatchTime = millis(3000);
  /// @brief Time after its last answer for which a node counts as a follower.
  static constexpr Micros Lifetime = MaxWatchTime + millis(1500);

  /// @brief Notes an answer of the store to a follower.
  /// @param Elected whether the node is one of the watchers of its failure
  /// domain
  /// @return false when the answer is not newer than the one known, by a
  /// millisecond at least
  bool onAnswer(TimePoint At, const std::string &Node, bool Elected);

  /// @brief Notes an answer of the store to a node that does not follow it.
  void onOtherAnswer(TimePoint At);

  /// @brief Time of the newest answer that is known.
  TimePoint newest() const { return Newest_; }

  /// @brief Whether a node has got an answer within Lifetime.
  bool isFollowing(TimePoint Now, const std::string &Node) const;

  /// @brief Number of other followers that take precedence over a node which is
  /// not elected: elected ones, and those with a greater weight.
  std::size_t preceding(TimePoint Now, const std::string &Node) const;

  /// @brief Time for which the next watch of a follower waits for a change.
  /// @param MaxPeriod longest period of one follower's watches
  /// @return EvidenceInterval to MaxPeriod + EvidenceInterval
  Micros watchTime(TimePoint Now, const std::string &Node,
                   Micros MaxPeriod = MaxWatchTime) const;

  /// @brief Weight of a node in the order in which nodes become followers.
  static std::uint64_t weight(const std::string &Node);

private:
  struct Follower {
    TimePoint AnsweredAt_;
    bool Elected_ = false;
  };

  std::map<std::string, Follower> Followers_;
  TimePoint Newest_;
};

} // namespace fulmarshelf

#endif
