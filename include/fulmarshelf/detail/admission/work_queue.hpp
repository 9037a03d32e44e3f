#ifndef FULMARSHELF_DETAIL_ADMISSION_WORK_QUEUE_HPP
#define FULMARSHELF_DETAIL_ADMISSION_WORK_QUEUE_HPP

#include "fulmarshelf/detail/base/ids.hpp"      // WorkId
#include "fulmarshelf/detail/base/time.hpp"     // TimePoint
#include "fulmarshelf/detail/wire/messages.hpp" // Rank, importanceOf

#include <map>           // map
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief Work that is queued for a slot of the backend server.
struct QueuedWork {
  WorkId Work_;
  Rank Rank_ = 0;
  TimePoint StartBy_; ///< latest start time; the work is evicted after it
  Micros ExpectedSlotTime_{0};
  bool Long_ = false; ///< the route is long compared with the other routes
  friend bool operator==(const QueuedWork &, const QueuedWork &) = default;
};

/// @brief Capacity that serves a queue.
struct QueueCapacity {
  unsigned Slots_ = 1;         ///< concurrent requests; 0 counts as 1
  std::optional<double> Rate_; ///< most requests a second; none: no limit
  Micros FirstDelay_{0};       ///< time until the rate admits the next request
  friend bool operator==(const QueueCapacity &,
                         const QueueCapacity &) = default;
};

/// @brief Queue with strict priority by importance; queued work that cannot
/// start in time is evicted.
///
/// Work is dequeued by importance. Within an importance, calls of requests that
/// are already running (committed) come first, then the work with the earliest
/// StartBy_. When more work is queued than can start in time, the work with the
/// lowest rank is evicted.
class WorkQueue {
public:
  /// @brief Adds work; O(log n).
  void push(const QueuedWork &Queued);

  /// @brief Removes work that was cancelled or revoked; O(log n).
  /// @return false when the work is not queued
  bool remove(WorkId Work);

  /// @brief Dequeues the next work to run.
  /// @param MayRun predicate on queued work: whether it may occupy a slot now
  /// @return nullopt when no queued work may run now; O(n) in the worst case,
  /// when work has to be skipped
  template <typename Predicate>
  std::optional<QueuedWork> pop(Predicate MayRun) {
    for (auto Entry = Queue_.begin(); Entry != Queue_.end(); ++Entry) {
      QueuedWork Queued = Entry->second;
      if (!MayRun(Queued))
        continue;
      erase(Entry);
      return Queued;
    }
    return std::nullopt;
  }

  /// @brief Evicts work until all remaining work can start in time.
  /// @return the evicted work, in order of eviction: work evicted for the same
  /// late work is ordered from the lowest rank up. O(n log n)
  std::vector<QueuedWork> evictInfeasible(TimePoint Now,
                                          const QueueCapacity &Capacity);

  /// @brief Expected queue delay of a new arrival; O(n).
  Micros predictedQueueDelay(Rank ArrivalRank,
                             const QueueCapacity &Capacity) const;

  /// @brief Expected slot time of all queued work together; O(n).
  Micros queuedSlotTime() const;

  /// @brief Work at the head of the queue, nullptr when empty; O(1).
  const QueuedWork *front() const {
    return Queue_.empty() ? nullptr : &Queue_.begin()->second;
  }

  std::size_t size() const { return Queue_.size(); }
  bool empty() const { return Queue_.empty(); }

private:
  // Dequeue order: highest Class_, then earliest StartBy_, then oldest.
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

  static Key keyOf(const QueuedWork &Queued);
  void erase(Table::iterator Entry);

  Table Queue_;
  std::unordered_map<WorkId, Key> Keys_;
};

} // namespace fulmarshelf

#endif
