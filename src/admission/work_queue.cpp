#include "fulmarshelf/detail/admission/work_queue.hpp"

#include <algorithm> // max
#include <queue>     // priority_queue

namespace fulmarshelf {

namespace {

// Order of a priority_queue whose top is the work with the lowest rank.
struct LowestRankFirst {
  bool operator()(const QueuedWork &Left, const QueuedWork &Right) const {
    if (Left.Rank_ != Right.Rank_)
      return Left.Rank_ > Right.Rank_;
    return Left.Work_ < Right.Work_; // equal ranks: the younger work first
  }
};

// Time until a request starts that has others ahead of it in the queue.
Micros startDelay(const QueueCapacity &Capacity, Micros SlotTimeAhead,
                  std::size_t RequestsAhead) {
  Micros BySlots =
      SlotTimeAhead / static_cast<std::int64_t>(std::max(Capacity.Slots_, 1U));
  if (!Capacity.Rate_)
    return BySlots;
  constexpr double MicrosPerSecond = 1e6;
  double SpacingMicros = MicrosPerSecond / *Capacity.Rate_;
  Micros ByRate = Capacity.FirstDelay_ +
                  Micros(static_cast<Micros::rep>(
                      static_cast<double>(RequestsAhead) * SpacingMicros));
  return std::max(BySlots, ByRate);
}

} // namespace

WorkQueue::Key WorkQueue::keyOf(const QueuedWork &Queued) {
  return {Queued.Rank_ >> RankHashBits, Queued.StartBy_, Queued.Work_};
}

void WorkQueue::push(const QueuedWork &Queued) {
  Queue_.emplace(keyOf(Queued), Queued);
  Keys_.emplace(Queued.Work_, keyOf(Queued));
}

void WorkQueue::erase(Table::iterator Entry) {
  Keys_.erase(Entry->second.Work_);
  Queue_.erase(Entry);
}

bool WorkQueue::remove(WorkId Work) {
  auto Existing = Keys_.find(Work);
  if (Existing == Keys_.end())
    return false;
  erase(Queue_.find(Existing->second));
  return true;
}

// Walks the queue in dequeue order and adds up the slot time of the work ahead.
// While the visited work cannot start in time, the lowest-ranked work visited
// so far is evicted, as in Moore and Hodgson's rule for late jobs but by rank
// instead of length.
std::vector<QueuedWork>
WorkQueue::evictInfeasible(TimePoint Now, const QueueCapacity &Capacity) {
  std::vector<QueuedWork> Evicted;
  std::priority_queue<QueuedWork, std::vector<QueuedWork>, LowestRankFirst>
      Retained;
  Micros TimeAhead{0};
  std::size_t RequestsAhead = 0;
  for (const std::pair<const Key, QueuedWork> &Entry : Queue_) {
    const QueuedWork &Queued = Entry.second;
    if (Queued.StartBy_ < Now) {
      Evicted.push_back(Queued);
      continue;
    }
    Retained.push(Queued);
    bool IsRetained = true;
    while (IsRetained && Now + startDelay(Capacity, TimeAhead, RequestsAhead) >
                             Queued.StartBy_) {
      QueuedWork LowestRanked = Retained.top();
      Retained.pop();
      Evicted.push_back(LowestRanked);
      IsRetained = LowestRanked.Work_ != Queued.Work_;
      if (IsRetained) {
        TimeAhead -= LowestRanked.ExpectedSlotTime_;
        --RequestsAhead;
      }
    }
    if (IsRetained) {
      TimeAhead += Queued.ExpectedSlotTime_;
      ++RequestsAhead;
    }
  }
  for (const QueuedWork &Queued : Evicted)
    remove(Queued.Work_);
  return Evicted;
}

Micros WorkQueue::predictedQueueDelay(Rank ArrivalRank,
                                      const QueueCapacity &Capacity) const {
  Micros TimeAhead{0};
  std::size_t RequestsAhead = 0;
  for (const std::pair<const Key, QueuedWork> &Entry : Queue_) {
    if (Entry.first.Class_ < (ArrivalRank >> RankHashBits))
      break;
    TimeAhead += Entry.second.ExpectedSlotTime_;
    ++RequestsAhead;
  }
  return startDelay(Capacity, TimeAhead, RequestsAhead);
}

Micros WorkQueue::queuedSlotTime() const {
  Micros Sum{0};
  for (const std::pair<const Key, QueuedWork> &Entry : Queue_)
    Sum += Entry.second.ExpectedSlotTime_;
  return Sum;
}

} // namespace fulmarshelf
