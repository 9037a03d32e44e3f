#include "fulmarshelf/detail/engine/downstream_shares.hpp" // downstreamShares
#include "fulmarshelf/detail/engine/owner_search.hpp"      // findOwners

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

namespace {

constexpr unsigned Importance = 7;
const std::string FrontRoute = "h/look/";

EngineConfig configuration() {
  EngineConfig Config;
  Config.Settings_.Name_ = "a";
  Config.Settings_.FailureDomain_ = "here";
  Config.Settings_.Region_ = "r";
  Config.Settings_.Interface_ = InterfaceKind::Platform;
  Config.Settings_.Service_ = "other";
  Config.Incarnation_ = 1;
  Config.Seed_ = 5;
  return Config;
}

Member member(const char *Name, const char *Domain) {
  Member Result;
  Result.Node_ = Name;
  Result.Incarnation_ = 1;
  Result.Region_ = "r";
  Result.FailureDomain_ = Domain;
  Result.Service_ = "front";
  return Result;
}

LoadReport report(std::uint8_t Kept, std::uint8_t Foreign) {
  LoadReport Result;
  Result.Limit_ = 10;
  Result.Shares_.Local_.fill(Kept);
  Result.Shares_.Remote_.fill(Foreign);
  return Result;
}

Request request() {
  Request Result;
  Result.Id_ = RequestId{1};
  Result.Service_ = "front";
  Result.Route_ = FrontRoute;
  Result.LatencyTarget_ = millis(1000);
  Result.Context_.Rank_ = makeRank(Importance, false, 3);
  return Result;
}

} // namespace

TEST_GROUP(Room) {
  NodeState Node_{configuration()};

  void setup() override {
    Node_.Now_ = TimePoint(millis(5000));
    Node_.Membership_.learn(Node_.Now_,
                            {member("near", "here"), member("far", "there")});
  }

  void tell(const char *Owner, const LoadReport &Report) {
    Node_.Peers_[Owner].Owner_.onReport(Node_.Now_, FrontRoute, Importance,
                                        Report);
  }

  // Part of many requests that are placed in another failure domain.
  double crossing(const Request &Target) {
    int Crossed = 0;
    for (int Round = 0; Round < 2000; ++Round) {
      OwnerOptions Options = findOwners(Node_, Target);
      std::optional<Placement> Picked =
          pickOwner(Node_, Target, Options.Accepting_);
      Crossed += Options.Accepting_[Picked->Index_].SameDomain_ ? 0 : 1;
    }
    return Crossed / 2000.0;
  }
};

// What the deep owner has room for is what there is room for behind the front.
TEST(Room, IsToldUpTheChain) {
  for (int Round = 0; Round < 20; ++Round) {
    Node_.Graph_.onDeadlineCompared("deep", true, 0.1);
    Node_.Graph_.onParentFound("deep", FrontRoute);
  }
  OwnerShares Told = report(64, 32).Shares_;
  for (int Answer = 0; Answer < 100; ++Answer)
    Node_.DomainShares_.learn(Node_.Now_, "deep", Told);
  LONGS_EQUAL(64, downstreamShares(Node_, FrontRoute).Local_[Importance]);
  LONGS_EQUAL(32, downstreamShares(Node_, FrontRoute).Remote_[Importance]);
  LONGS_EQUAL(FullShare, downstreamShares(Node_, "h/else/").Local_[Importance]);
}

TEST(Room, RootIsMovedByTheRoomOfItsChain) {
  tell("near", report(64, 64));
  tell("far", report(FullShare, FullShare));
  DOUBLES_EQUAL(0.75, crossing(request()), 0.05);
}

// One call in a hundred is a probe, so nothing is ever quite 0.
TEST(Room, CallsOfARootThatStayedAreNotMovedAgain) {
  tell("near", report(64, 64));
  tell("far", report(FullShare, FullShare));
  Request Call = request();
  Call.RootPlacementWeight_ = 4;
  CHECK(crossing(Call) < 0.02);
}

TEST(Room, CallsOfAMovedRootUseTheRoomForOthers) {
  tell("near", report(FullShare, 64));
  tell("far", report(FullShare, FullShare));
  Request Call = request();
  CHECK(crossing(Call) < 0.02);
  Call.ParentInRootDomain_ = false;
  DOUBLES_EQUAL(0.75, crossing(Call), 0.05);
}

// A call that stays stands for the roots that its own root stood for.
TEST(Room, PlacementIsPassedOn) {
  std::vector<Candidate> Options(2);
  Options[1].SameDomain_ = false;
  Request Call = request();
  Call.RootPlacementWeight_ = 4;
  recordPlacement(Node_, Call, Options, {0, 1});
  DOUBLES_EQUAL(4, Call.Context_.PlacementWeight_, 0.001);
  CHECK(Call.Context_.InRootDomain_);
  recordPlacement(Node_, Call, Options, {1, 0.5});
  DOUBLES_EQUAL(2, Call.Context_.PlacementWeight_, 0.001);
  CHECK_FALSE(Call.Context_.InRootDomain_);
}

TEST(Room, DomainWithoutAnOwnerHasNone) {
  std::vector<Candidate> Options(1);
  Options[0].SameDomain_ = false;
  Request Call = request();
  for (int Round = 0; Round < 100; ++Round)
    recordPlacement(Node_, Call, Options, {0, 1});
  LONGS_EQUAL(
      0, Node_.DomainShares_.localShares(Node_.Now_, FrontRoute)[Importance]);
}

// Only what an owner elsewhere said itself, and lately, keeps a request from
// being shed.
TEST(Room, ElsewhereIsWhatOwnersThereSaid) {
  Request Fresh = request();
  CHECK_FALSE(hasCapacityInOtherDomain(Node_, Fresh));
  tell("near", report(FullShare, FullShare));
  CHECK_FALSE(hasCapacityInOtherDomain(Node_, Fresh));
  tell("far", report(FullShare, FullShare));
  CHECK(hasCapacityInOtherDomain(Node_, Fresh));
  LoadReport Busy = report(FullShare, FullShare);
  Busy.InFlight_ = 8;
  tell("far", Busy);
  CHECK_FALSE(hasCapacityInOtherDomain(Node_, Fresh));
  LoadReport Shedding = report(FullShare, FullShare);
  Shedding.Shares_.Admitted_[Importance] = 250;
  tell("far", Shedding);
  CHECK_FALSE(hasCapacityInOtherDomain(Node_, Fresh));
  tell("far", report(FullShare, FullShare));
  Node_.Now_ += millis(3000);
  CHECK_FALSE(hasCapacityInOtherDomain(Node_, Fresh));
}

TEST(Room, ServerThatFailsCallsIsLeft) {
  LoadReport Failing = report(FullShare, FullShare);
  Failing.FailureShare_ = 115;
  tell("near", Failing);
  tell("far", report(FullShare, FullShare));
  CHECK(crossing(request()) == 1);
}
