#include "fulmarshelf/detail/routing/entry_distribution.hpp" // EntryDistribution
#include "fulmarshelf/detail/routing/origin_test.hpp"        // OriginTest

#include <random> // mt19937_64

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

TEST_GROUP(EntryDistribution) {
  EntryDistribution Entries_;
  std::mt19937_64 Random_{3};
  TimePoint Now_{millis(1000)};

  void setup() override {
    Entries_.setVmShares(
        {{"front", 0.25}, {"middle", 0.25}, {"deep", 0.25}, {"other", 0.25}});
  }

  void arrive(const std::string &Route,
              const std::vector<std::string> &Services) {
    Now_ += millis(1);
    Entries_.onArrival(Now_, Route, Services[Random_() % Services.size()]);
  }
};

// Load pattern: a deep service at the crest of its demand. Its owner serves the
// calls of one service and the requests of callers at all services.
TEST(EntryDistribution, CallsEnterOnlyAtTheServicesThatMakeThem) {
  for (int Round = 0; Round < 200; ++Round) {
    for (int Call = 0; Call < 10; ++Call)
      arrive("called", {"middle"});
    arrive("from-callers", {"front", "middle", "deep", "other"});
  }
  CHECK(Entries_.origin(Now_, "called") == RouteOrigin::Work);
  CHECK(Entries_.origin(Now_, "from-callers") == RouteOrigin::Callers);
}

// At the same load the entry's own test stays undecided: nineteen of twenty
// requests match some running work by chance, and not all calls match.
TEST(EntryDistribution, DecidesWhereMatchesByChanceAreFrequent) {
  OriginTest AtEntry;
  for (int Call = 0; Call < 2000; ++Call)
    AtEntry.onCompared(Random_() % 100 < 94, 0.95);
  CHECK(AtEntry.verdict() != RouteOrigin::Work);
  for (int Call = 0; Call < 100; ++Call) {
    arrive("called", {"middle", "front"});
    arrive("from-callers", {"front", "middle", "deep", "other"});
  }
  CHECK(Entries_.origin(Now_, "called") == RouteOrigin::Work);
}

// Placement can give an owner nothing but the requests of its own VM. This says
// nothing about the origin of its routes.
TEST(EntryDistribution, EntryThatPrefersThisOwnerAloneDecidesNothing) {
  for (int Round = 0; Round < 500; ++Round) {
    arrive("a", {"front"});
    arrive("b", {"front"});
  }
  CHECK(Entries_.origin(Now_, "a") == RouteOrigin::Undecided);
  CHECK(Entries_.origin(Now_, "b") == RouteOrigin::Undecided);
}

TEST(EntryDistribution, FewArrivalsDecideNothing) {
  for (int Round = 0; Round < 50; ++Round) {
    arrive("called", {"middle"});
    arrive("from-callers", {"front", "middle", "deep", "other"});
  }
  CHECK(Entries_.origin(Now_, "called") == RouteOrigin::Undecided);
  CHECK(Entries_.origin(Now_, "never-seen") == RouteOrigin::Undecided);
}

// The services of a mesh may have very different numbers of VMs.
TEST(EntryDistribution, ServiceWithFewVmsIsNotTakenForAbsent) {
  std::vector<std::string> Services(20, "front");
  Services.emplace_back("rare");
  Entries_.setVmShares({{"front", 20.0 / 21}, {"rare", 1.0 / 21}});
  for (int Round = 0; Round < 3000; ++Round) {
    arrive("a", Services);
    arrive("b", Services);
    arrive("called", {"rare"});
    CHECK(Entries_.origin(Now_, "a") != RouteOrigin::Work);
    CHECK(Entries_.origin(Now_, "b") != RouteOrigin::Work);
  }
}

TEST(EntryDistribution, OldArrivalsAreForgotten) {
  for (int Round = 0; Round < 200; ++Round) {
    arrive("called", {"middle"});
    arrive("from-callers", {"front", "middle", "deep", "other"});
  }
  CHECK(Entries_.origin(Now_, "called") == RouteOrigin::Work);
  CHECK(Entries_.origin(Now_ + millis(60'000), "called") ==
        RouteOrigin::Undecided);
}
