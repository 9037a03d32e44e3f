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

constexpr TimePoint Start{millis(1000)};

// Feeds constant demand into a meter: one arrival of each given kind every
// millisecond. The tests give a kind as importance, slot time, demand weight,
// placement weight and SameDomain_.
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

Candidate candidate(const char *Name, bool SameDomain, Micros ServiceTime,
                    Micros QueueDelay, double Share) {
  Candidate Result;
  Result.Node_ = Name;
  Result.SameDomain_ = SameDomain;
  Result.ServiceTime_ = ServiceTime;
  Result.QueueDelay_ = QueueDelay;
  Result.Share_ = Share;
  return Result;
}

// Share of 10,000 choices that select a candidate of another domain.
double crossingShare(const std::vector<Candidate> &Options,
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

TEST_GROUP(Overload) { TimePoint Now_ = Start; };

// Important work takes 6 of 10 slots and less important work asks for 10: the
// less important work gets the remaining usable slots.
TEST(Overload, SharesFollowImportance) {
  DemandMeter Meter;
  feed(Meter, Now_, millis(3000),
       {{9, millis(6), 1, 1, true}, {7, millis(10), 1, 1, true}}, 10);
  CHECK(Meter.shares().Admitted_[9] == FullShare);
  DOUBLES_EQUAL(0.32, shareOf(Meter.shares().Admitted_[7]), 0.02);
}

// Requests shed at the entries count as demand, so that applying a share does
// not change it.
TEST(Overload, SharesDoNotDependOnWhatIsShed) {
  DemandMeter Meter;
  feed(Meter, Now_, millis(3000),
       {{9, millis(6), 1, 1, true}, {7, millis(2), 5, 1, true}}, 10);
  DOUBLES_EQUAL(0.32, shareOf(Meter.shares().Admitted_[7]), 0.02);
}

TEST(Overload, BacklogIsDrained) {
  DemandMeter Meter;
  feed(Meter, Now_, millis(3000), {{7, millis(8), 1, 1, true}}, 10);
  CHECK(Meter.shares().Admitted_[7] == FullShare);
  Meter.onArrival({7, millis(800), 1, 1, true});
  Now_ += DemandMeter::Interval;
  Meter.update(Now_, 10, millis(2000));
  CHECK(shareOf(Meter.shares().Admitted_[7]) < 0.75);
}

TEST(Overload, LocalDemandPrecedesRemoteDemand) {
  DemandMeter Meter;
  feed(Meter, Now_, millis(3000),
       {{7, millis(6), 1, 1, true}, {7, millis(10), 1, 1, false}}, 10);
  CHECK(Meter.shares().Local_[7] == FullShare);
  DOUBLES_EQUAL(0.25, shareOf(Meter.shares().Remote_[7]), 0.03);
}

TEST(Overload, MinimumShareIsAlwaysAdmitted) {
  DemandMeter Meter;
  feed(Meter, Now_, millis(3000),
       {{9, millis(50), 1, 1, true}, {7, millis(10), 1, 1, true}}, 10);
  CHECK(shareOf(Meter.shares().Admitted_[7]) > 0.01);
  CHECK(shareOf(Meter.shares().Admitted_[7]) < 0.03);
}

TEST(Overload, ExactlyTheShareIsAdmitted) {
  AdmissionController Admission;
  AdmittedShares Half = FullShares;
  Half[7] = FullShare / 2;
  for (std::int64_t Round = 0; Round < 100; ++Round)
    Admission.learn(Now_ + millis(Round * 10), "r", Half);
  TimePoint Later = Now_ + millis(1000);
  int Admitted = 0;
  for (int Round = 0; Round < 1000; ++Round) {
    Admitted += Admission.decide(Later, "r", 7).Admitted_ ? 1 : 0;
    CHECK(Admission.decide(Later, "r", 9).Admitted_);
    CHECK(Admission.decide(Later, "other", 7).Admitted_);
  }
  DOUBLES_EQUAL(500, Admitted, 10);
}

// The overload has ended and no further reports are received.
TEST(Overload, AdmissionRecoversWithinTwoSecondsWithoutReports) {
  AdmissionController Admission;
  AdmittedShares NoShares{};
  for (std::int64_t Round = 0; Round < 100; ++Round)
    Admission.learn(Now_ + millis(Round * 10), "r", NoShares);
  CHECK_FALSE(Admission.decide(Now_ + millis(1000), "r", 7).Admitted_);
  CHECK(Admission.shares(Now_ + millis(2500), "r") == FullShares);
}

// Matches by chance do not classify a route as called by work. A request with a
// later deadline than all work is a caller's request.
// One of three domains has lost four fifths of its capacity, the others admit
// nearly all requests.
TEST(Overload, LimitedDomainAppliesTheShareOfTheOthers) {
  AdmissionController Admission;
  AdmittedShares Local = FullShares;
  Local.fill(FullShare / 5);
  for (int Round = 0; Round < 100; ++Round)
    Admission.learn(Now_, "r", Local);
  int Admitted = 0;
  for (int Round = 0; Round < 1000; ++Round)
    Admitted += Admission.decide(Now_, "r", 7, 0.9).Admitted_ ? 1 : 0;
  CHECK(Admitted >= 895 && Admitted <= 905);
  Admitted = 0;
  for (int Round = 0; Round < 1000; ++Round)
    Admitted += Admission.decide(Now_, "r", 7, 0.2).Admitted_ ? 1 : 0;
  CHECK(Admitted >= 195 && Admitted <= 205);
}

TEST(Overload, CallsAreDistinguishedFromCallerRequests) {
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
// them arrive at the expected time. On a busy VM many arrival times are
// expected, so half of the other requests match one by chance.
TEST(Overload, CallsOfSlowWorkAreRecognised) {
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

// Calls with a separate time limit, drawn at random for each call, have
// deadlines that match no work.
TEST(Overload, CallsWithASeparateTimeLimitAreRecognisedByArrivalTime) {
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

// One call in a hundred is a probe, so the share of crossings is never exactly
// 0.
TEST(Overload, SlightlyFasterServerDoesNotJustifyACrossing) {
  std::vector<Candidate> Options = {
      candidate("local", true, millis(43), millis(0), 1),
      candidate("remote", false, millis(20), millis(0), 1)};
  CHECK(crossingShare(Options, {millis(30), millis(0)}) < 0.02);
}

TEST(Overload, SlowLocalServerIsAvoided) {
  std::vector<Candidate> Options = {
      candidate("local", true, millis(120), millis(0), 1),
      candidate("remote", false, millis(30), millis(0), 1)};
  CHECK(crossingShare(Options, {millis(30), millis(0)}) == 1);
}

TEST(Overload, NoCrossingWhileTheLocalServerIsWithinTheAcceptableTime) {
  std::vector<Candidate> Options = {
      candidate("local", true, millis(120), millis(0), 1),
      candidate("remote", false, millis(30), millis(0), 1)};
  CHECK(crossingShare(Options, {millis(30), millis(150)}) < 0.02);
  CHECK(crossingShare(Options, {millis(30), millis(100)}) == 1);
}

TEST(Overload, ExcessDemandIsMovedUpToTheSpareCapacityOfOthers) {
  std::vector<Candidate> Options = {
      candidate("local", true, millis(30), millis(0), 0.6),
      candidate("remote", false, millis(30), millis(0), 0.5)};
  DOUBLES_EQUAL(0.2, crossingShare(Options, {millis(30), millis(0)}), 0.03);
}

// A server that immediately rejects nearly half of its calls is distinguished
// from one with rare failures, and is used again after a period without calls.
TEST(Overload, FrequentFailuresAreDetected) {
  FailureMeter PartlyFailing;
  FailureMeter Healthy;
  for (int Call = 0; Call < 60; ++Call) {
    Now_ += millis(10);
    PartlyFailing.onCallEnded(Now_, Call % 20 < 9);
    Healthy.onCallEnded(Now_, Call == 30);
  }
  CHECK(PartlyFailing.share(Now_) > 0.25);
  CHECK(PartlyFailing.share(Now_) < 0.65);
  CHECK(Healthy.share(Now_) == 0);
  CHECK(PartlyFailing.share(Now_ + millis(10'000)) == 0);
}

// A share that is just below the full one for a short time rejects no request.
TEST(Overload, BriefSmallReductionRejectsNoRequest) {
  AdmissionController Admission;
  AdmittedShares SlightlyReduced = FullShares;
  SlightlyReduced[7] = 250;
  for (int Round = 0; Round < 20; ++Round) {
    Now_ += millis(10);
    Admission.learn(Now_, "r", SlightlyReduced);
    CHECK(Admission.decide(Now_, "r", 7).Admitted_);
  }
}

TEST(Overload, NoDemandIsMovedWithoutSpareCapacity) {
  std::vector<Candidate> Options = {
      candidate("local", true, millis(30), millis(0), 0.4),
      candidate("remote", false, millis(30), millis(0), 0)};
  CHECK(crossingShare(Options, {millis(30), millis(0)}) < 0.02);
}

TEST(Overload, FewSlotsStayFreeAndALoweredLimitRecovers) {
  WorkLimit Limit(true); // announced slots
  Limit.setSlots(15);
  CHECK(Limit.limit() == 14);
  Limit.onOverload(Now_, 14);
  CHECK(Limit.limit() == 12);
  for (std::int64_t Round = 0; Round < 40; ++Round)
    Limit.onAnswer(Now_ + millis(100 * Round), millis(30), millis(30), 12);
  CHECK(Limit.limit() == 14);
}

TEST(Overload, RejectionsOfAHalfEmptyServerDoNotLowerItsLimit) {
  WorkLimit Limit(true); // announced slots
  Limit.setSlots(15);
  for (std::int64_t Round = 0; Round < 40; ++Round)
    Limit.onOverload(Now_ + millis(1000 * Round), 5);
  CHECK(Limit.limit() == 14);
}

// The bound holds in any period of 9.5 s, the least that the 20 intervals of a
// window of 10 s cover.
TEST(Overload, RepeatsStayWithinTheirBound) {
  RepeatWindow Window;
  RepeatBound Bound{0.1, 2, millis(10'000)};
  std::vector<TimePoint> RepeatTimes;
  for (int Ms = 0; Ms < 60'000; Ms += 10) {
    TimePoint Now = Start + millis(Ms);
    bool LowTraffic = Ms > 20'000 && Ms < 40'000;
    if (!LowTraffic || Ms % 100 == 0)
      Window.onFirstAttempt(Now, Bound);
    if (Window.tryAcquire(Now, Bound))
      RepeatTimes.push_back(Now);
  }
  for (std::size_t First = 0; First < RepeatTimes.size(); ++First) {
    std::size_t Last = First;
    while (Last < RepeatTimes.size() &&
           RepeatTimes[Last] < RepeatTimes[First] + millis(9500))
      ++Last;
    // A window has at most 1,000 requests, so at most 100 repeats for them,
    // a tenth, plus the slack of 2.
    CHECK(Last - First <= 102);
  }
}

TEST(Overload, InheritedRepeatsCountTowardsTheBound) {
  RepeatWindow Window;
  RepeatBound Bound{0, 2, millis(10'000)};
  Window.onInheritedRepeat(Start, Bound);
  CHECK(Window.tryAcquire(Start, Bound));
  CHECK_FALSE(Window.tryAcquire(Start, Bound));
  CHECK(Window.tryAcquire(Start + millis(11'000), Bound));
}

// Each rejected request is represented by the next admitted one, also when
// requests are admitted for another reason than the share.
TEST(Overload, AdmittedRequestsRepresentEveryRequestOnce) {
  AdmissionController Admission;
  AdmittedShares Quarter = FullShares;
  Quarter[7] = FullShare / 4;
  for (std::int64_t Round = 0; Round < 100; ++Round)
    Admission.learn(Now_ + millis(Round * 10), "r", Quarter);
  TimePoint Later = Now_ + millis(1000);
  double Represented = 0;
  for (int Round = 0; Round < 1000; ++Round) {
    bool Admitted = Admission.decide(Later, "r", 7).Admitted_;
    if (Admitted || Round % 3 == 0)
      Represented += Admission.takeRepresented("r", 7);
  }
  DOUBLES_EQUAL(1000, Represented, 5);
  CHECK(Admission.takeRepresented("unknown", 7) == 1);
}

TEST(Overload, ReportOfAnOwnerGoesBeforeTheTestOfTheEntry) {
  CallGraph Graph;
  for (int Round = 0; Round < 20; ++Round) {
    Graph.onDeadlineCompared("called", Round % 3 == 0, 0.3);
    Graph.onCallerRequest("called");
  }
  CHECK(Graph.origin("called") == RouteOrigin::Callers);
  Graph.onOriginReported("called", RouteOrigin::Work);
  CHECK(Graph.origin("called") == RouteOrigin::Work);
  Graph.onOriginReported("called", RouteOrigin::Undecided);
  CHECK(Graph.origin("called") == RouteOrigin::Work);
}
