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
  Member Owner;
  Owner.Node_ = Name;
  Owner.Incarnation_ = 1;
  Owner.Region_ = "r";
  Owner.FailureDomain_ = Domain;
  Owner.Service_ = "front";
  return Owner;
}

// A share of 64 is a quarter of FullShare.
LoadReport report(std::uint8_t Local, std::uint8_t Remote) {
  LoadReport Report;
  Report.Limit_ = 10;
  Report.Shares_.Local_.fill(Local);
  Report.Shares_.Remote_.fill(Remote);
  return Report;
}

Request request() {
  Request Incoming;
  Incoming.Id_ = RequestId{1};
  Incoming.Service_ = "front";
  Incoming.Route_ = FrontRoute;
  Incoming.LatencyTarget_ = millis(1000);
  Incoming.Context_.Rank_ = makeRank(Importance, false, 3);
  return Incoming;
}

} // namespace

TEST_GROUP(DomainPlacement) {
  NodeState Node_{configuration()};

  void setup() override {
    Node_.Now_ = TimePoint(millis(5000));
    Node_.Membership_.learn(Node_.Now_,
                            {member("near", "here"), member("far", "there")});
  }

  void deliverReport(const char *Owner, const LoadReport &Report) {
    Node_.Peers_[Owner].Owner_.onReport(Node_.Now_, FrontRoute, Importance,
                                        Report);
  }

  // Share of 2000 requests that are placed in another failure domain.
  double remoteShare(const Request &Incoming) {
    int Remote = 0;
    for (int Round = 0; Round < 2000; ++Round) {
      OwnerOptions Options = findOwners(Node_, Incoming);
      std::optional<Placement> Picked =
          pickOwner(Node_, Incoming, Options.Accepting_);
      Remote += Options.Accepting_[Picked->Index_].SameDomain_ ? 0 : 1;
    }
    return Remote / 2000.0;
  }
};

// The shares reported by the owner of a called route become the downstream
// shares of the calling route.
TEST(DomainPlacement, DownstreamSharesReachTheCallingRoute) {
  for (int Round = 0; Round < 20; ++Round) {
    Node_.Graph_.onDeadlineCompared("deep", true, 0.1);
    Node_.Graph_.onParentFound("deep", FrontRoute);
  }
  OwnerShares Reported = report(64, 32).Shares_;
  for (int Answer = 0; Answer < 100; ++Answer)
    Node_.DomainShares_.learn(Node_.Now_, "deep", Reported);
  LONGS_EQUAL(64, downstreamShares(Node_, FrontRoute).Local_[Importance]);
  LONGS_EQUAL(32, downstreamShares(Node_, FrontRoute).Remote_[Importance]);
  LONGS_EQUAL(FullShare, downstreamShares(Node_, "h/else/").Local_[Importance]);
}

TEST(DomainPlacement, RootIsPlacedByTheLocalShare) {
  deliverReport("near", report(64, 64));
  deliverReport("far", report(FullShare, FullShare));
  DOUBLES_EQUAL(0.75, remoteShare(request()), 0.05);
}

// One call in a hundred is a probe, so the share is never exactly 0.
TEST(DomainPlacement, CallsOfALocallyPlacedRootStayLocal) {
  deliverReport("near", report(64, 64));
  deliverReport("far", report(FullShare, FullShare));
  Request Call = request();
  Call.RootPlacementWeight_ = 4;
  CHECK(remoteShare(Call) < 0.02);
}

TEST(DomainPlacement, CallsOfARemotelyPlacedRootUseTheRemoteShare) {
  deliverReport("near", report(FullShare, 64));
  deliverReport("far", report(FullShare, FullShare));
  Request Call = request();
  CHECK(remoteShare(Call) < 0.02);
  Call.ParentInRootDomain_ = false;
  DOUBLES_EQUAL(0.75, remoteShare(Call), 0.05);
}

// A call that is placed locally inherits the placement weight of its root.
TEST(DomainPlacement, PlacementWeightIsInherited) {
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

TEST(DomainPlacement, DomainWithoutAnOwnerHasNoLocalShare) {
  std::vector<Candidate> Options(1);
  Options[0].SameDomain_ = false;
  Request Call = request();
  for (int Round = 0; Round < 100; ++Round)
    recordPlacement(Node_, Call, Options, {0, 1});
  LONGS_EQUAL(
      0, Node_.DomainShares_.localShares(Node_.Now_, FrontRoute)[Importance]);
}

// Only a recent report of an owner in another domain that has free slots keeps
// a request from being shed.
TEST(DomainPlacement, OtherDomainCapacityNeedsARecentReport) {
  Request NewRequest = request();
  DOUBLES_EQUAL(0, shareInOtherDomains(Node_, NewRequest), 0);
  deliverReport("near", report(FullShare, FullShare));
  DOUBLES_EQUAL(0, shareInOtherDomains(Node_, NewRequest), 0);
  deliverReport("far", report(FullShare, FullShare));
  DOUBLES_EQUAL(1, shareInOtherDomains(Node_, NewRequest), 0);
  LoadReport Busy = report(FullShare, FullShare);
  Busy.InFlight_ = 8;
  deliverReport("far", Busy);
  DOUBLES_EQUAL(0, shareInOtherDomains(Node_, NewRequest), 0);
  LoadReport Shedding = report(FullShare, FullShare);
  Shedding.Shares_.Admitted_[Importance] = 51;
  deliverReport("far", Shedding);
  DOUBLES_EQUAL(0.2, shareInOtherDomains(Node_, NewRequest), 1e-9);
  deliverReport("far", report(FullShare, FullShare));
  Node_.Now_ += millis(3000);
  DOUBLES_EQUAL(0, shareInOtherDomains(Node_, NewRequest), 0);
}

TEST(DomainPlacement, OwnerOfAFailingServerIsAvoided) {
  LoadReport Failing = report(FullShare, FullShare);
  Failing.FailureShare_ = 115;
  deliverReport("near", Failing);
  deliverReport("far", report(FullShare, FullShare));
  CHECK(remoteShare(request()) == 1);
}
