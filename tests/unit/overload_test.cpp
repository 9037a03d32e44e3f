#include "fulmarshelf/detail/admission/admission_controller.hpp" // AdmissionController
#include "fulmarshelf/detail/admission/demand_meter.hpp"         // DemandMeter
#include "fulmarshelf/detail/admission/failure_meter.hpp"        // FailureMeter
#include "fulmarshelf/detail/admission/work_limit.hpp"           // WorkLimit
#include "fulmarshelf/detail/retry/repeat_window.hpp"            // RepeatWindow
#include "fulmarshelf/detail/routing/call_graph.hpp"             // CallGraph
#include "fulmarshelf/detail/routing/owner_choice.hpp" // chooseByCompletion

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

namespace {

constexpr TimePoint Zero{millis(1000)};

// Feeds a steady demand into a meter: every millisecond one arrival of each
// given kind.
void feed(DemandMeter &Meter, TimePoint &Now, Micros Length,
          const std::vector<DemandArrival> &Kinds, double Slots) {
  for (TimePoint End = Now + Length; Now < End; Now += millis(1)) {
    for (const DemandArrival &Arrival : Kinds)
      Meter.onArrival(Arrival);
    Meter.update(Now, Slots, Micros(0));
  }
}

double shareOf(std::uint8_t Share) {
  return static_cast<double>(Share) / FullShare;
}

Candidate candidate(const char *Name, bool Near, Micros Service, Micros Wait,
                    double Share) {
  Candidate Result;
  Result.Node_ = Name;
  Result.SameDomain_ = Near;
  Result.ServiceTime_ = Service;
  Result.QueueDelay_ = Wait;
  Result.Share_ = Share;
  return Result;
}

// Part of many choices that fall on a candidate of another domain.
double crossing(const std::vector<Candidate> &Options,
                const CrossDomainRule &Rule) {
  std::mt19937_64 Random(3);
  int Crossed = 0;
  for (int Round = 0; Round < 10'000; ++Round)
    Crossed +=
        Options[chooseByCompletion(Options, Rule, Random)->Index_].SameDomain_
            ? 0
            : 1;
  return Crossed / 10'000.0;
}

} // namespace

TEST_GROUP(Overload) { TimePoint Now_ = Zero; };

// Important work takes 6 of 10 slots, lesser work asks for 10: of the lesser
// work the part fits that is left of the usable slots.
TEST(Overload, SharesFollowImportance) {
  DemandMeter Meter;
  feed(Meter, Now_, millis(3000),
       {{9, millis(6), 1, 1, true}, {7, millis(10), 1, 1, true}}, 10);
  CHECK(Meter.shares().Admitted_[9] == FullShare);
  DOUBLES_EQUAL(0.32, shareOf(Meter.shares().Admitted_[7]), 0.02);
}

// What the gates hold back counts as if it had come, so that the share does not
// change because it is applied.
TEST(Overload, SharesDoNotDependOnWhatIsShed) {
  DemandMeter Meter;
  feed(Meter, Now_, millis(3000),
       {{9, millis(6), 1, 1, true}, {7, millis(2), 5, 1, true}}, 10);
  DOUBLES_EQUAL(0.32, shareOf(Meter.shares().Admitted_[7]), 0.02);
}

TEST(Overload, BacklogIsWorkedOff) {
  DemandMeter Meter;
  feed(Meter, Now_, millis(3000), {{7, millis(8), 1, 1, true}}, 10);
  CHECK(Meter.shares().Admitted_[7] == FullShare);
  Meter.onArrival({7, millis(800), 1, 1, true});
  Now_ += DemandMeter::Interval;
  Meter.update(Now_, 10, millis(2000));
  CHECK(shareOf(Meter.shares().Admitted_[7]) < 0.75);
}

TEST(Overload, OwnDomainGoesBeforeForeignDemand) {
  DemandMeter Meter;
  feed(Meter, Now_, millis(3000),
       {{7, millis(6), 1, 1, true}, {7, millis(10), 1, 1, false}}, 10);
  CHECK(Meter.shares().Local_[7] == FullShare);
  DOUBLES_EQUAL(0.25, shareOf(Meter.shares().Remote_[7]), 0.03);
}

TEST(Overload, TrickleStaysOpen) {
  DemandMeter Meter;
  feed(Meter, Now_, millis(3000),
       {{9, millis(50), 1, 1, true}, {7, millis(10), 1, 1, true}}, 10);
  CHECK(shareOf(Meter.shares().Admitted_[7]) > 0.01);
  CHECK(shareOf(Meter.shares().Admitted_[7]) < 0.03);
}

TEST(Overload, GateLetsInJustTheShare) {
  AdmissionController Gate;
  AdmittedShares Half = FullShares;
  Half[7] = FullShare / 2;
  for (std::int64_t Round = 0; Round < 100; ++Round)
    Gate.learn(Now_ + millis(Round * 10), "r", Half);
  TimePoint Later = Now_ + millis(1000);
  int Admitted = 0;
  for (int Round = 0; Round < 1000; ++Round) {
    Admitted += Gate.decide(Later, "r", 7).Admitted_ ? 1 : 0;
    CHECK(Gate.decide(Later, "r", 9).Admitted_);
    CHECK(Gate.decide(Later, "other", 7).Admitted_);
  }
  DOUBLES_EQUAL(500, Admitted, 10);
}

// The trigger has passed and nobody says anything any more.
TEST(Overload, GateOpensWithinTwoSecondsOfSilence) {
  AdmissionController Gate;
  AdmittedShares Shut{};
  for (std::int64_t Round = 0; Round < 100; ++Round)
    Gate.learn(Now_ + millis(Round * 10), "r", Shut);
  CHECK_FALSE(Gate.decide(Now_ + millis(1000), "r", 7).Admitted_);
  CHECK(Gate.shares(Now_ + millis(2500), "r") == FullShares);
}

// Hits by chance do not make a call, and a request that outlives all work is
// none at all.
TEST(Overload, CallsAreToldFromCallersRequests) {
  CallGraph Graph;
  for (int Round = 0; Round < 20; ++Round) {
    Graph.onDeadlineCompared("called", Round % 10 != 0, 0.3);
    Graph.onParentFound("called", "parent");
    Graph.onDeadlineCompared("by-chance", Round % 3 == 0, 0.3);
    Graph.onCallerRequest("from-callers");
  }
  CHECK(Graph.origin("called") == RouteOrigin::Work);
  CHECK(Graph.origin("by-chance") == RouteOrigin::Callers);
  CHECK(Graph.origin("from-callers") == RouteOrigin::Callers);
  CHECK(Graph.origin("never-seen") == RouteOrigin::Undecided);
  CHECK(Graph.calledRoutes("parent") == std::vector<std::string>{"called"});
}

// A slow backend server takes longer than usual between its calls, so fewer of
// them come at the expected moment, and on a busy VM many moments are expected.
TEST(Overload, CallsOfSlowWorkAreTold) {
  std::mt19937_64 Random(7);
  OriginTest Called;
  OriginTest ByChance;
  for (int Round = 0; Round < 300; ++Round) {
    Called.onCompared(Random() % 100 < 72, 0.5);
    ByChance.onCompared(Random() % 100 < 50, 0.5);
    CHECK(Called.verdict() != RouteOrigin::Callers);
    CHECK(ByChance.verdict() != RouteOrigin::Work);
  }
  CHECK(Called.verdict() == RouteOrigin::Work);
  CHECK(ByChance.verdict() == RouteOrigin::Callers);
}

// Calls with a limit of their own, drawn anew for each, end when no work ends.
TEST(Overload, CallsWithALimitOfTheirOwnAreToldByTheirMoment) {
  CallGraph Graph;
  for (int Round = 0; Round < 20; ++Round) {
    Graph.onDeadlineCompared("limited", Round % 5 == 0, 0.2);
    Graph.onArrivalTimeCompared("limited", Round % 10 != 0, 0.3);
    Graph.onDeadlineCompared("from-callers", Round % 5 == 0, 0.2);
    Graph.onArrivalTimeCompared("from-callers", Round % 3 == 0, 0.3);
  }
  CHECK(Graph.origin("limited") == RouteOrigin::Work);
  CHECK_FALSE(Graph.deadlinesMatchCalls("limited"));
  CHECK(Graph.origin("from-callers") == RouteOrigin::Callers);
}

// One call in a hundred is a probe, so nothing is ever quite 0.
TEST(Overload, SomewhatFasterIsNotWorthACrossing) {
  std::vector<Candidate> Options = {
      candidate("near", true, millis(43), millis(0), 1),
      candidate("far", false, millis(20), millis(0), 1)};
  CHECK(crossing(Options, {millis(30), millis(0)}) < 0.02);
}

TEST(Overload, SlowServerOfTheOwnDomainIsLeft) {
  std::vector<Candidate> Options = {
      candidate("near", true, millis(120), millis(0), 1),
      candidate("far", false, millis(30), millis(0), 1)};
  CHECK(crossing(Options, {millis(30), millis(0)}) == 1);
}

TEST(Overload, FasterServerIsNotWorthACrossingWhileTheNearOneIsGoodEnough) {
  std::vector<Candidate> Options = {
      candidate("near", true, millis(120), millis(0), 1),
      candidate("far", false, millis(30), millis(0), 1)};
  CHECK(crossing(Options, {millis(30), millis(150)}) < 0.02);
  CHECK(crossing(Options, {millis(30), millis(100)}) == 1);
}

TEST(Overload, WhatDoesNotFitIsMovedAsFarAsOthersHaveRoom) {
  std::vector<Candidate> Options = {
      candidate("near", true, millis(30), millis(0), 0.6),
      candidate("far", false, millis(30), millis(0), 0.5)};
  DOUBLES_EQUAL(0.2, crossing(Options, {millis(30), millis(0)}), 0.03);
}

// A server that turns away nearly half of its calls at once is told from one
// that fails now and then, and is tried again when nothing was sent for a
// while.
TEST(Overload, FailuresOfAServerAreTold) {
  FailureMeter Grey;
  FailureMeter Usual;
  for (int Call = 0; Call < 60; ++Call) {
    Now_ += millis(10);
    Grey.onEnded(Now_, Call % 20 < 9);
    Usual.onEnded(Now_, Call == 30);
  }
  CHECK(Grey.share(Now_) > 0.25);
  CHECK(Grey.share(Now_) < 0.65);
  CHECK(Usual.share(Now_) == 0);
  CHECK(Grey.share(Now_ + millis(10'000)) == 0);
}

// A share that falls short of the full one for a moment refuses nobody.
TEST(Overload, GateForgivesAShortDip) {
  AdmissionController Gate;
  AdmittedShares Dip = FullShares;
  Dip[7] = 250;
  for (int Round = 0; Round < 20; ++Round) {
    Now_ += millis(10);
    Gate.learn(Now_, "r", Dip);
    CHECK(Gate.decide(Now_, "r", 7).Admitted_);
  }
}

TEST(Overload, NothingMovesWhereNobodyHasRoom) {
  std::vector<Candidate> Options = {
      candidate("near", true, millis(30), millis(0), 0.4),
      candidate("far", false, millis(30), millis(0), 0)};
  CHECK(crossing(Options, {millis(30), millis(0)}) < 0.02);
}

TEST(Overload, FewSlotsStayFreeAndALoweredLimitComesBack) {
  WorkLimit Limit(true);
  Limit.setSlots(15);
  CHECK(Limit.limit() == 14);
  Limit.onOverload(Now_, 14);
  CHECK(Limit.limit() == 12);
  for (std::int64_t Round = 0; Round < 40; ++Round)
    Limit.onAnswer(Now_ + millis(100 * Round), millis(30), millis(30), 12);
  CHECK(Limit.limit() == 14);
}

TEST(Overload, RejectionsOfAHalfEmptyServerDoNotLowerItsLimit) {
  WorkLimit Limit(true);
  Limit.setSlots(15);
  for (std::int64_t Round = 0; Round < 40; ++Round)
    Limit.onOverload(Now_ + millis(1000 * Round), 5);
  CHECK(Limit.limit() == 14);
}

// In any window of the bound's length.
TEST(Overload, RepeatsStayWithinTheirBound) {
  RepeatWindow Window;
  RepeatBound Bound{0.1, 2, millis(10'000)};
  std::vector<TimePoint> Taken;
  for (int Ms = 0; Ms < 60'000; Ms += 10) {
    TimePoint Now = Zero + millis(Ms);
    bool Calm = Ms > 20'000 && Ms < 40'000;
    if (!Calm || Ms % 100 == 0)
      Window.onFirstAttempt(Now, Bound);
    if (Window.tryAcquire(Now, Bound))
      Taken.push_back(Now);
  }
  for (std::size_t First = 0; First < Taken.size(); ++First) {
    std::size_t Last = First;
    while (Last < Taken.size() && Taken[Last] < Taken[First] + millis(9500))
      ++Last;
    // At most 1,000 requests in a window, of which a tenth and the slack.
    CHECK(Last - First <= 102);
  }
}

TEST(Overload, ForcedRepeatsUseUpTheBound) {
  RepeatWindow Window;
  RepeatBound Bound{0, 2, millis(10'000)};
  Window.onInheritedRepeat(Zero, Bound);
  CHECK(Window.tryAcquire(Zero, Bound));
  CHECK_FALSE(Window.tryAcquire(Zero, Bound));
  CHECK(Window.tryAcquire(Zero + millis(11'000), Bound));
}
