#ifndef FULMARSHELF_DETAIL_REVOCATION_ATTEMPT_LEDGER_HPP
#define FULMARSHELF_DETAIL_REVOCATION_ATTEMPT_LEDGER_HPP

#include "fulmarshelf/detail/base/ids.hpp"      // AttemptId
#include "fulmarshelf/detail/wire/messages.hpp" // CallReply, RevokeReply

#include <cstdint> // uint64_t
#include <deque>   // deque
#include <map>     // map
#include <string>  // string

namespace fulmarshelf {

/// @brief Records which attempts reached an owner.
///
/// A sender numbers its connections and its attempts in increasing order and
/// sends the attempts of one connection in order. So the owner can prove from
/// these numbers alone that an attempt never arrived, without a clock or a
/// tombstone for each attempt: a revocation fences the connection, and attempts
/// that are still in transit on it are refused when they arrive.
class AttemptLedger {
public:
  /// @brief Records that an attempt has arrived.
  /// @param Link number of its connection at the sender
  /// @return false when its connection is fenced and the attempt must not
  /// start. O(log n)
  bool recordArrival(const AttemptId &Attempt, std::uint64_t Link);

  /// @brief Stores the final reply of an attempt that has ended.
  /// @param KeepBody false for idempotent work, which can be run again: a
  /// complete response is then stored as an unknown outcome
  void recordReply(const AttemptId &Attempt, const CallReply &Reply,
                   bool KeepBody);

  /// @brief Fences the connection and returns the known outcome of an attempt
  /// that is neither queued nor running here. O(log n)
  RevokeReply resolve(const AttemptId &Attempt, std::uint64_t Link);

  /// @brief Fences a connection and all older ones of the same sender.
  /// @param Attempt any attempt of the sender
  void fence(const AttemptId &Attempt, std::uint64_t Link);

  /// @brief Number of stored replies.
  std::size_t size() const { return Finished_.size(); }
  /// @brief Number of sender incarnations.
  std::size_t senders() const { return Senders_.size(); }

private:
  // One incarnation of one sending node.
  struct Sender {
    std::uint64_t FencedThrough_ = 0; ///< highest fenced connection
    /// Highest sequence number that arrived, by connection.
    std::map<std::uint64_t, std::uint64_t> LastArrived_;
    std::uint64_t DroppedThrough_ = 0; ///< last one dropped from LastArrived_
  };
  struct SenderKey {
    std::string Node_;
    Incarnation Incarnation_ = 0;
    friend auto operator<=>(const SenderKey &, const SenderKey &) = default;
  };

  Sender &senderOf(const AttemptId &Attempt);
  void dropOldIncarnations(std::map<SenderKey, Sender>::iterator Retained);
  void boundMemory();

  std::map<SenderKey, Sender> Senders_;
  std::map<AttemptId, CallReply> Finished_;
  std::deque<AttemptId> FinishedOrder_;
  std::size_t BodyBytes_ = 0;
};

} // namespace fulmarshelf

#endif
