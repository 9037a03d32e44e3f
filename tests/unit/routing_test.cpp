#include "fulmarshelf/detail/retry/retry_budget.hpp"    // RetryBudget
#include "fulmarshelf/detail/routing/owner_choice.hpp"  // chooseOwner
#include "fulmarshelf/detail/routing/route_times.hpp"   // RouteTimes
#include "fulmarshelf/detail/routing/service_index.hpp" // ServiceIndex

#include <set> // set

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

namespace {

const TimePoint Zero = TimePoint(millis(10'000));

Candidate candidate(const std::string &Node, double Slowness,
                    unsigned InFlight) {
  Candidate Option;
  Option.Node_ = Node;
  Option.Slowness_ = Slowness;
  Option.InFlight_ = InFlight;
  return Option;
}

} // namespace

TEST_GROUP(OwnerChoice){};

TEST(OwnerChoice, StragglerIsAvoidedWhateverItReports) {
  std::mt19937_64 Random(3);
  std::vector<Candidate> Options = {candidate("a", 1, 2), candidate("b", 10, 0),
                                    candidate("c", 1, 2)};
  unsigned Slow = 0;
  for (int Round = 0; Round < 1000; ++Round)
    Slow += *chooseOwner(Options, Random) == 1 ? 1 : 0;
  CHECK(Slow == 0);
}

TEST(OwnerChoice, NobodyIsChosenFromNobody) {
  std::mt19937_64 Random(3);
  CHECK_FALSE(chooseOwner({}, Random).has_value());
}

TEST(OwnerChoice, RecoveredOwnerIsTriedAgain) {
  OwnerView View;
  for (int Index = 0; Index < 30; ++Index) {
    View.onSent();
    View.onEnded(Zero, 10);
  }
  CHECK(View.slowness(Zero) > 5);
  CHECK(View.slowness(Zero + std::chrono::seconds(12)) < 1.3);
}

TEST(OwnerChoice, LevelsGrowOldAndProbesAreRationed) {
  OwnerView View;
  LoadReport Report;
  Report.Level_ = 77;
  View.onReport(Zero, "GET /a", 3, Report);
  CHECK(View.level(Zero, "GET /a") == 77);
  CHECK(View.level(Zero, "GET /b") == 0);
  CHECK(View.takeProbe(Zero, "GET /a"));
  CHECK_FALSE(View.takeProbe(Zero + millis(10), "GET /a"));
  CHECK(View.takeProbe(Zero + millis(60), "GET /a"));
  CHECK(View.level(Zero + millis(1500), "GET /a") == 0);
}

TEST_GROUP(RouteTimes){};

TEST(RouteTimes, LongRoutesAreTold) {
  RouteTimes Times;
  for (int Index = 0; Index < 300; ++Index) {
    Times.observe("short", millis(10));
    Times.observe("long", millis(200));
  }
  CHECK(Times.isLong("long"));
  CHECK_FALSE(Times.isLong("short"));
  CHECK_FALSE(Times.isLong("unknown"));
  CHECK(Times.expected("short") == millis(10));
}

TEST(RouteTimes, InventedRoutesDoNotFillTheMemory) {
  RouteTimes Times;
  for (int Index = 0; Index < 5000; ++Index)
    Times.observe(std::to_string(Index), millis(10));
  CHECK(Times.expected("4999") == millis(10));
}

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, RetriesStayBelowTheirShare) {
  RetryBudget Budget;
  unsigned Taken = 0;
  for (int Index = 0; Index < 1000; ++Index) {
    Budget.onFirstAttempt(10);
    Taken += Budget.tryAcquire() ? 1 : 0;
  }
  CHECK(Taken <= 104);
  CHECK(Taken >= 95);
}

TEST(RetryBudget, CalmSavesUpNoBurst) {
  RetryBudget Budget;
  for (int Index = 0; Index < 100'000; ++Index)
    Budget.onFirstAttempt(10);
  unsigned Taken = 0;
  while (Budget.tryAcquire())
    ++Taken;
  CHECK(Taken <= 20);
}

TEST_GROUP(ServiceIndex){};

TEST(ServiceIndex, PreferredOwnersAreFewAndSpread) {
  std::mt19937_64 Random(1);
  Member Self;
  Self.Node_ = "self";
  Membership Mesh(Self, Random);
  std::vector<Member> Members;
  for (int Index = 0; Index < 40; ++Index) {
    Member Owner;
    Owner.Node_ = "n" + std::to_string(Index);
    Owner.FailureDomain_ = "d" + std::to_string(Index % 4);
    Owner.Service_ = "s";
    Members.push_back(Owner);
  }
  Mesh.learn(Zero, Members);
  ServiceIndex Index("self");
  const ServiceOwners &Owners = Index.owners(Mesh, "s");
  CHECK(Owners.Preferred_.size() == ServiceIndex::PreferredOwners);
  CHECK(Owners.Others_.size() == 32);
  std::map<std::string, int> OfDomain;
  for (const Member &Owner : Owners.Preferred_)
    ++OfDomain[Owner.FailureDomain_];
  for (const std::pair<const std::string, int> &Count : OfDomain)
    CHECK(Count.second == 2);
}

TEST(OwnerChoice, AbandonedAttemptNeverMakesAnOwnerLookFaster) {
  OwnerView View;
  View.onSent();
  View.onEnded(Zero, 10);
  double Before = View.slowness(Zero);
  View.onSent();
  View.onAbandoned(Zero, 2);
  CHECK(View.slowness(Zero) >= Before);
  CHECK(View.inFlight() == 0);
}

TEST(OwnerChoice, LeavingIsForgottenSoThatAnOwnerCanComeBack) {
  OwnerView View;
  LoadReport Report;
  Report.Leaving_ = true;
  View.onReport(Zero, "GET /a", 3, Report);
  CHECK(View.isLeaving(Zero + millis(1000)));
  CHECK_FALSE(View.isLeaving(Zero + millis(3500)));
}
