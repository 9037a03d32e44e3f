#include "fulmarshelf/detail/admission/admission_level.hpp"   // AdmissionLevel
#include "fulmarshelf/detail/admission/concurrency_limit.hpp" // ConcurrencyLimit
#include "fulmarshelf/detail/admission/work_queue.hpp"        // WorkQueue

#include <random> // mt19937_64

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

namespace {

const TimePoint Zero{};

QueuedWork makeWork(std::uint64_t Id, unsigned Importance, Micros StartBy,
                    Micros SlotTime) {
  return {WorkId{Id}, makeRank(Importance, false, Id), Zero + StartBy, SlotTime,
          false};
}

Micros randomTime(std::mt19937_64 &Random, int MinMs, int MaxMs) {
  return millis(std::uniform_int_distribution<int>(MinMs, MaxMs)(Random));
}

bool allowLong(const QueuedWork &) { return true; }

} // namespace

TEST_GROUP(WorkQueue){};

TEST(WorkQueue, ImportantWorkIsDequeuedFirst) {
  WorkQueue Queue;
  Queue.push(makeWork(1, 3, millis(10), millis(1)));
  Queue.push(makeWork(2, 9, millis(90), millis(1)));
  Queue.push(makeWork(3, 3, millis(5), millis(1)));
  CHECK(Queue.pop(allowLong)->Work_ == WorkId{2});
  CHECK(Queue.pop(allowLong)->Work_ == WorkId{3});
  CHECK(Queue.pop(allowLong)->Work_ == WorkId{1});
  CHECK_FALSE(Queue.pop(allowLong).has_value());
}

TEST(WorkQueue, CommittedChainsPrecedeNewOnes) {
  WorkQueue Queue;
  Queue.push({WorkId{1}, makeRank(3, false, 0xffff), Zero, millis(1), false});
  Queue.push(
      {WorkId{2}, makeRank(3, true, 0), Zero + millis(9), millis(1), false});
  CHECK(Queue.pop(allowLong)->Work_ == WorkId{2});
}

TEST(WorkQueue, LowestRankIsEvictedForAnImportantArrival) {
  WorkQueue Queue;
  Queue.push(makeWork(1, 3, millis(10), millis(10)));
  Queue.push(makeWork(2, 9, millis(10), millis(10)));
  std::vector<QueuedWork> Evicted = Queue.evictInfeasible(Zero, {1});
  CHECK(Evicted.empty());
  Queue.push(makeWork(3, 9, millis(15), millis(10)));
  Evicted = Queue.evictInfeasible(Zero, {1});
  CHECK(Evicted.size() == 1);
  CHECK(Evicted.front().Work_ == WorkId{1});
}

TEST(WorkQueue, PassedStartTimesAreEvicted) {
  WorkQueue Queue;
  Queue.push(makeWork(1, 9, millis(5), millis(1)));
  CHECK(Queue.evictInfeasible(Zero + millis(6), {1}).size() == 1);
  CHECK(Queue.empty());
}

TEST(WorkQueue, LongWorkIsSkipped) {
  WorkQueue Queue;
  QueuedWork Long = makeWork(1, 3, millis(1), millis(50));
  Long.Long_ = true;
  Queue.push(Long);
  Queue.push(makeWork(2, 3, millis(9), millis(1)));
  CHECK(Queue.pop([](const QueuedWork &Queued) { return !Queued.Long_; })
            ->Work_ == WorkId{2});
  CHECK_FALSE(Queue.pop([](const QueuedWork &Queued) { return !Queued.Long_; })
                  .has_value());
}

// On random queues, all retained work can start in time. HighestEvicted is not
// checked: the test does not cover that no work is evicted while lower-ranked
// work ahead of late work is retained.
TEST(WorkQueue, EvictionIsStrictOnRandomQueues) {
  std::mt19937_64 Random(7);
  for (int Round = 0; Round < 300; ++Round) {
    WorkQueue Queue;
    for (std::uint64_t Id = 1; Id <= 40; ++Id)
      Queue.push(makeWork(Id, Random() % 10, randomTime(Random, 0, 59),
                          randomTime(Random, 1, 9)));
    std::vector<QueuedWork> Evicted = Queue.evictInfeasible(Zero, {2});
    unsigned HighestEvicted = 0;
    for (const QueuedWork &Work : Evicted)
      HighestEvicted = std::max(HighestEvicted, importanceOf(Work.Rank_));
    Micros TimeAhead{0};
    while (std::optional<QueuedWork> Retained = Queue.pop(allowLong)) {
      CHECK(Zero + TimeAhead / 2 <= Retained->StartBy_);
      TimeAhead += Retained->ExpectedSlotTime_;
    }
  }
}

TEST_GROUP(ConcurrencyLimit){};

TEST(ConcurrencyLimit, StartsAtTheAnnouncedSlots) {
  ConcurrencyLimit Limit;
  CHECK(Limit.limit() == 0);
  Limit.setSlots(15);
  CHECK(Limit.limit() == 15);
  Limit.setSlots(10);
  CHECK(Limit.limit() == 10);
}

TEST(ConcurrencyLimit, FallsWhenTheBackendServerSheds) {
  ConcurrencyLimit Limit;
  Limit.setSlots(20);
  Limit.onOverload(Zero + millis(1), 10);
  CHECK(Limit.limit() == 9);
  // Rejections within the minimum interval between decreases count once.
  Limit.onOverload(Zero + millis(2), 10);
  CHECK(Limit.limit() == 9);
}

TEST(ConcurrencyLimit, KeepsTheSlotsOfASlowButParallelServer) {
  ConcurrencyLimit Limit;
  Limit.setSlots(20);
  TimePoint Now = Zero;
  // Each call takes 200 ms instead of 20 ms: the rate is limit / 200 ms.
  for (int Answer = 0; Answer < 6000; ++Answer) {
    Now += millis(200) / Limit.limit();
    Limit.onAnswer(Now, millis(200), millis(20), Limit.limit());
    CHECK(Limit.limit() >= 18);
  }
}

TEST(ConcurrencyLimit, FindsTheConcurrencyOfAServerThatAnnouncesTooManySlots) {
  ConcurrencyLimit Limit;
  Limit.setSlots(100);
  TimePoint Now = Zero;
  // Only 10 calls of 20 ms run concurrently: the rate stays 500/s at any limit,
  // and the slot time grows with the limit.
  for (int Answer = 0; Answer < 10'000; ++Answer) {
    Micros SlotTime = millis(20) * std::max(10U, Limit.limit()) / 10;
    Now += millis(2);
    Limit.onAnswer(Now, SlotTime, millis(20), Limit.limit());
  }
  CHECK(Limit.limit() <= 30);
  CHECK(Limit.limit() >= 10);
}

TEST_GROUP(AdmissionLevel){};

TEST(AdmissionLevel, RisesToTheCapacityAndFallsAgain) {
  AdmissionLevel Level;
  TimePoint Now = Zero;
  std::mt19937_64 Random(1);
  for (int Window = 0; Window < 20; ++Window) {
    for (int Index = 0; Index < 100; ++Index) {
      Level.onArrival(makeRank(3, false, Random()));
      Index < 50 ? Level.onStart() : Level.onEviction();
    }
    Now += AdmissionLevel::Window;
    Level.update(Now);
  }
  CHECK(Level.level() > makeRank(3, false, 0x5000));
  CHECK(Level.level() < makeRank(3, false, 0xb000));
  for (int Window = 0; Window < 12; ++Window) {
    Now += AdmissionLevel::Window;
    Level.update(Now);
  }
  CHECK(Level.level() == 0);
}
