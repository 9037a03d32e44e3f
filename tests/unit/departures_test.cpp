#include "fulmarshelf/detail/engine/systems.hpp" // backend_system
#include "unit/engine_mesh.hpp"                  // EngineMesh

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;
using namespace fulmarshelf::test;

namespace {

constexpr std::size_t Node = 2; // beside the server that leaves
// Two of the platform's bounds: an acknowledged departure, and a node in touch.
constexpr Micros Drain = millis(2000);
constexpr Micros StableWindow = millis(3000);

BackendAnnounced heartbeat(const std::string &Instance, std::uint64_t StartedMs,
                           std::uint64_t Sequence,
                           BackendState State = BackendState::Serving) {
  BackendAnnounced Input;
  Input.Announcement_.Service_ = "shop";
  Input.Announcement_.Address_ = {"10.9.0.1", 80};
  Input.Announcement_.Slots_ = 4;
  Input.Announcement_.State_ = State;
  Input.Announcement_.Instance_ = Instance;
  Input.Order_ = AnnouncementOrder{StartedMs, Sequence};
  return Input;
}

} // namespace

TEST_GROUP(Departures) {
  EngineMesh Mesh_{6};

  void setup() override { Mesh_.run(millis(5000)); }

  bool isServing() const {
    return backend_system::isServing(Mesh_.state(Node));
  }
};

// A node that was just restarted acknowledged a departure, forgot it, and took
// an older heartbeat for the first one of a server that serves.
TEST(Departures, HeartbeatBehindADepartureOfAnUnknownServerIsOutdated) {
  Mesh_.handle(Node, BackendDeparted{"i-1", 5000});
  Mesh_.run(Drain);
  Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
  CHECK_FALSE(isServing());
  Mesh_.handle(Node, heartbeat("i-2", 4500, 1));
  CHECK(isServing());
}

// The departure was acknowledged by an earlier process of the node.
TEST(Departures, DepartureOutlivesTheProcessThatAcknowledgedIt) {
  for (Micros Between : {millis(0), millis(50), millis(5000)}) {
    Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
    CHECK(isServing());
    Mesh_.handle(Node, BackendDeparted{"i-1", 5000});
    Mesh_.run(Between);
    Mesh_.restart(Node);
    Mesh_.run(millis(100));
    Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
    Mesh_.run(StableWindow);
    CHECK_FALSE(isServing());
    Mesh_.restart(Node);
    Mesh_.handle(Node, heartbeat("i-1", 4000, 8));
    Mesh_.run(StableWindow);
    CHECK_FALSE(isServing());
    Mesh_.handle(Node, heartbeat("i-2", 4500, 1));
    CHECK(isServing());
    Mesh_ = EngineMesh(6);
    Mesh_.run(millis(5000));
  }
}

TEST(Departures, DepartureOfAnUnknownServerOutlivesTheProcessToo) {
  Mesh_.handle(Node, BackendDeparted{"i-1", 5000});
  Mesh_.restart(Node);
  Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
  Mesh_.run(StableWindow);
  CHECK_FALSE(isServing());
}

TEST(Departures, DrainingOutlivesTheProcessThatAcknowledgedIt) {
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  Mesh_.handle(Node, heartbeat("i-1", 4000, 8, BackendState::Draining));
  Mesh_.restart(Node);
  Mesh_.run(millis(100));
  Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
  Mesh_.run(StableWindow);
  CHECK_FALSE(isServing());
}

// The node stays without the store, so only datagrams of its peers tell it.
TEST(Departures, DepartureIsLearnedWithoutTheStore) {
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  Mesh_.handle(Node, BackendDeparted{"i-1", 5000});
  Mesh_.run(millis(100));
  Mesh_.turnAway({Node}, Refusal::Silence);
  Mesh_.restart(Node);
  Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
  Mesh_.run(StableWindow + Drain);
  CHECK_FALSE(isServing());
}

TEST(Departures, ServerThatComesBackUnderItsIdServesAtOnce) {
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  Mesh_.handle(Node, BackendDeparted{"i-1", 5000});
  Mesh_.handle(Node, heartbeat("i-1", 5100, 1));
  CHECK(isServing());
  Mesh_.restart(Node);
  Mesh_.handle(Node, heartbeat("i-1", 5100, 2));
  Mesh_.run(StableWindow);
  CHECK(isServing());
}

// The clock was set back after a departure of a server that was not known.
TEST(Departures, WrongEstimateOfAStartLapses) {
  Mesh_.handle(Node, BackendDeparted{"i-1", 5000});
  Mesh_.handle(Node, heartbeat("i-1", 4800, 1));
  CHECK_FALSE(isServing());
  Mesh_.run(millis(31'000));
  Mesh_.handle(Node, heartbeat("i-1", 4800, 20));
  CHECK(isServing());
}

TEST(Departures, AnotherServerKeepsServing) {
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  Mesh_.handle(Node, BackendDeparted{"i-0", 5000});
  CHECK(isServing());
  Mesh_.handle(Node, heartbeat("i-0", 3000, 90));
  CHECK(isServing());
}

TEST(Departures, ListIsBoundedAndKeepsTheLatest) {
  std::vector<Departure> List;
  for (std::uint64_t Index = 1; Index <= 1000; ++Index)
    CHECK(mergeDepartures(List, {{Index, "i-" + std::to_string(Index)}}));
  CHECK_EQUAL(4U, List.size());
  CHECK(isDeparted(List, "i-1000", 1000, 5, false));
  CHECK_FALSE(isDeparted(List, "i-1000", 1001, 1, false));
  CHECK_FALSE(mergeDepartures(List, {{1, "i-1"}}));
}

TEST(Departures, ReportsCarryThemInDatagrams) {
  GossipMessage Message;
  Message.Members_ = {Member()};
  Message.Members_[0].Departures_ = {{5, "i-1", 9, true},
                                     {7, "i-2", Departure::Final, false}};
  GossipMessage Decoded;
  CHECK(decode(encode(Message), Decoded));
  CHECK(Decoded == Message);
}
