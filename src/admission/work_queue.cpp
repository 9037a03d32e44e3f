#include "fulmarshelf/detail/admission/work_queue.hpp"

#include <algorithm> // max
#include <queue>     // priority_queue

namespace fulmarshelf {

namespace {

struct LowestRankFirst {
  bool operator()(const QueuedWork &Left, const QueuedWork &Right) const {
    if (Left.Rank_ != Right.Rank_)
      return Left.Rank_ > Right.Rank_;
    return Left.Work_ < Right.Work_; // the younger of two equals goes first
  }
};

} // namespace

WorkQueue::Key WorkQueue::keyOf(const QueuedWork &Item) {
  return {Item.Rank_ >> RankHashBits, Item.StartBy_, Item.Work_};
}

void WorkQueue::push(const QueuedWork &Item) {
  Items_.emplace(keyOf(Item), Item);
  Keys_.emplace(Item.Work_, keyOf(Item));
}

void WorkQueue::erase(Table::iterator Entry) {
  Keys_.erase(Entry->second.Work_);
  Items_.erase(Entry);
}

bool WorkQueue::remove(WorkId Work) {
  auto Known = Keys_.find(Work);
  if (Known == Keys_.end())
    return false;
  erase(Items_.find(Known->second));
  return true;
}

// Walks the queue in the order of leaving and adds up the time that is ahead.
// Whenever an item cannot start in time, the lowest rank met so far goes, as
// in Moore and Hodgson's rule for late jobs but by rank in place of length.
std::vector<QueuedWork> WorkQueue::evictInfeasible(TimePoint Now,
                                                   unsigned Slots) {
  const auto SlotCount = static_cast<std::int64_t>(std::max(Slots, 1U));
  std::vector<QueuedWork> Evicted;
  std::priority_queue<QueuedWork, std::vector<QueuedWork>, LowestRankFirst>
      Kept;
  Micros Ahead{0};
  for (const std::pair<const Key, QueuedWork> &Entry : Items_) {
    const QueuedWork &Item = Entry.second;
    if (Item.StartBy_ < Now) {
      Evicted.push_back(Item);
      continue;
    }
    Kept.push(Item);
    bool Stays = true;
    while (Stays && Now + Ahead / SlotCount > Item.StartBy_) {
      QueuedWork Lowest = Kept.top();
      Kept.pop();
      Evicted.push_back(Lowest);
      Stays = Lowest.Work_ != Item.Work_;
      if (Stays)
        Ahead -= Lowest.Expected_;
    }
    if (Stays)
      Ahead += Item.Expected_;
  }
  for (const QueuedWork &Item : Evicted)
    remove(Item.Work_);
  return Evicted;
}

Micros WorkQueue::predictedWait(Rank Arrival, unsigned Slots) const {
  Micros Ahead{0};
  for (const std::pair<const Key, QueuedWork> &Entry : Items_) {
    if (Entry.first.Class_ < (Arrival >> RankHashBits))
      break;
    Ahead += Entry.second.Expected_;
  }
  return Ahead / static_cast<std::int64_t>(std::max(Slots, 1U));
}

} // namespace fulmarshelf
