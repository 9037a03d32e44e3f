#ifndef FULMARSHELF_DETAIL_ADMISSION_WORK_QUEUE_HPP
#define FULMARSHELF_DETAIL_ADMISSION_WORK_QUEUE_HPP

#include "fulmarshelf/detail/base/ids.hpp"      // WorkId
#include "fulmarshelf/detail/base/time.hpp"     // TimePoint
#include "fulmarshelf/detail/wire/messages.hpp" // Rank

#include <map>           // map
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief Work that waits for a slot of the backend server.
struct QueuedWork {
  WorkId Work_;
  Rank Rank_ = 0;
  TimePoint StartBy_;  ///< later than this it is refused
  Micros Expected_{0}; ///< time that it will hold a slot
  bool Long_ = false;  ///< its route takes long in comparison
  friend bool operator==(const QueuedWork &, const QueuedWork &) = default;
};

/// @brief Queue in which importance is strict and everything that waits can
/// still start in time.
///
/// Work leaves in the order of importance, committed chains first, then by the
/// moment at which it must have started. When more waits than can start in
/// time, the work with the lowest rank is evicted.
class WorkQueue {
public:
  /// @brief Adds work; O(log n).
  void push(const QueuedWork &Item);

  /// @brief Removes work that was cancelled or revoked; O(log n).
  /// @return false when it does not wait here
  bool remove(WorkId Work);

  /// @brief Takes the next work to run.
  /// @param LongAllowed for an importance, whether long work may take a slot
  /// @return nullopt when nothing may run now; O(n) at worst when long work
  /// has to be passed over
  template <typename Predicate>
  std::optional<QueuedWork> pop(Predicate LongAllowed) {
    for (auto Entry = Items_.begin(); Entry != Items_.end(); ++Entry) {
      QueuedWork Item = Entry->second;
      if (Item.Long_ && !LongAllowed(importanceOf(Item.Rank_)))
        continue;
      erase(Entry);
      return Item;
    }
    return std::nullopt;
  }

  /// @brief Evicts until all work that remains can start in time.
  /// @param Now current time
  /// @param Slots slots that serve the queue, at least 1
  /// @return the evicted work, lowest rank first among those found together;
  /// O(n log n)
  std::vector<QueuedWork> evictInfeasible(TimePoint Now, unsigned Slots);

  /// @brief Time until a new arrival of a rank would start; O(n).
  Micros predictedWait(Rank Arrival, unsigned Slots) const;

  /// @brief Work that would leave next if any may, nullptr when empty; O(1).
  const QueuedWork *front() const {
    return Items_.empty() ? nullptr : &Items_.begin()->second;
  }

  std::size_t size() const { return Items_.size(); }
  bool empty() const { return Items_.empty(); }

private:
  // Order of leaving: class of rank from the top, then StartBy_, then age.
  struct Key {
    Rank Class_ = 0; ///< importance and committed bit
    TimePoint StartBy_;
    WorkId Work_;
    friend bool operator<(const Key &Left, const Key &Right) {
      if (Left.Class_ != Right.Class_)
        return Left.Class_ > Right.Class_;
      if (Left.StartBy_ != Right.StartBy_)
        return Left.StartBy_ < Right.StartBy_;
      return Left.Work_ < Right.Work_;
    }
  };
  using Table = std::map<Key, QueuedWork>;

  static Key keyOf(const QueuedWork &Item);
  void erase(Table::iterator Entry);

  Table Items_;
  std::unordered_map<WorkId, Key> Keys_;
};

} // namespace fulmarshelf

#endif
