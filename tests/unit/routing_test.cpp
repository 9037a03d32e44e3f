#include "fulmarshelf/detail/retry/retry_budget.hpp"   // RetryBudget
#include "fulmarshelf/detail/routing/owner_choice.hpp" // OwnerView, chooseOwner
#include "fulmarshelf/detail/routing/route_times.hpp"  // RouteTimes
#include "fulmarshelf/detail/routing/service_index.hpp" // ServiceIndex

#include <map> // map

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

namespace {

const TimePoint Start = TimePoint(millis(10'000));

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

TEST(OwnerChoice, SlowOwnerIsAvoidedRegardlessOfItsReport) {
  std::mt19937_64 Random(3);
  std::vector<Candidate> Options = {candidate("a", 1, 2), candidate("b", 10, 0),
                                    candidate("c", 1, 2)};
  unsigned SlowChoices = 0;
  for (int Round = 0; Round < 1000; ++Round)
    SlowChoices += *chooseOwner(Options, Random) == 1 ? 1 : 0;
  CHECK(SlowChoices == 0);
}

TEST(OwnerChoice, NoCandidateGivesNoOwner) {
  std::mt19937_64 Random(3);
  CHECK_FALSE(chooseOwner({}, Random).has_value());
}

TEST(OwnerChoice, SlownessDecaysAfterRecovery) {
  OwnerView View;
  for (int Index = 0; Index < 30; ++Index) {
    View.onSent();
    View.onEnded(Start, 10);
  }
  CHECK(View.slowness(Start) > 5);
  CHECK(View.slowness(Start + std::chrono::seconds(12)) < 1.3);
}

TEST(OwnerChoice, LevelsExpireAndProbesAreRateLimited) {
  OwnerView View;
  LoadReport Report;
  Report.Level_ = 77;
  View.onReport(Start, "GET /a", 3, Report);
  CHECK(View.level(Start, "GET /a") == 77);
  CHECK(View.level(Start, "GET /b") == 0);
  CHECK(View.tryAcquireProbe(Start, "GET /a"));
  CHECK_FALSE(View.tryAcquireProbe(Start + millis(10), "GET /a"));
  CHECK(View.tryAcquireProbe(Start + millis(60), "GET /a"));
  CHECK(View.level(Start + millis(1500), "GET /a") == 0);
}

TEST_GROUP(RouteTimes){};

TEST(RouteTimes, LongRoutesAreDetected) {
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

TEST(RouteTimes, RoutesBeyondTheBoundShareOneEntry) {
  RouteTimes Times;
  for (int Index = 0; Index < 5000; ++Index)
    Times.observe(std::to_string(Index), millis(10));
  CHECK(Times.expected("4999") == millis(10));
}

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, RetriesStayBelowTheirShare) {
  RetryBudget Budget;
  unsigned Retries = 0;
  for (int Index = 0; Index < 1000; ++Index) {
    Budget.onFirstAttempt(10);
    Retries += Budget.tryAcquire() ? 1 : 0;
  }
  CHECK(Retries <= 104);
  CHECK(Retries >= 95);
}

TEST(RetryBudget, UnusedBudgetAllowsNoRetryBurst) {
  RetryBudget Budget;
  for (int Index = 0; Index < 100'000; ++Index)
    Budget.onFirstAttempt(10);
  unsigned Retries = 0;
  while (Budget.tryAcquire())
    ++Retries;
  CHECK(Retries <= 20);
}

TEST_GROUP(ServiceIndex){};

TEST(ServiceIndex, PreferredOwnersAreBoundedAndSpreadOverDomains) {
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
  Mesh.learn(Start, Members);
  ServiceIndex Services("self");
  const ServiceOwners &Owners = Services.owners(Mesh, "s");
  CHECK(Owners.Preferred_.size() == ServiceIndex::PreferredOwners);
  CHECK(Owners.Others_.size() == 32);
  std::map<std::string, int> OwnersPerDomain;
  for (const Member &Owner : Owners.Preferred_)
    ++OwnersPerDomain[Owner.FailureDomain_];
  for (const std::pair<const std::string, int> &DomainCount : OwnersPerDomain)
    CHECK(DomainCount.second == 2);
}

TEST(OwnerChoice, AbandonedAttemptNeverLowersSlowness) {
  OwnerView View;
  View.onSent();
  View.onEnded(Start, 10);
  double SlownessBefore = View.slowness(Start);
  View.onSent();
  View.onAbandoned(Start, 2);
  CHECK(View.slowness(Start) >= SlownessBefore);
  CHECK(View.inFlight() == 0);
}

TEST(OwnerChoice, LeavingReportExpires) {
  OwnerView View;
  LoadReport Report;
  Report.Leaving_ = true;
  View.onReport(Start, "GET /a", 3, Report);
  CHECK(View.isLeaving(Start + millis(1000)));
  CHECK_FALSE(View.isLeaving(Start + millis(3500)));
}
