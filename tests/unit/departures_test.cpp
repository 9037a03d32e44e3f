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

  // The node serves, but its backend server gets no work.
  bool getsNoWork() const {
    return Mesh_.state(Node).Phase_ == NodePhase::Serving && !isServing();
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
    CHECK(getsNoWork());
    Mesh_.restart(Node);
    Mesh_.handle(Node, heartbeat("i-1", 4000, 8));
    Mesh_.run(StableWindow);
    CHECK(getsNoWork());
    Mesh_.handle(Node, heartbeat("i-2", 4500, 1));
    CHECK(isServing());
    Mesh_ = EngineMesh(6);
    Mesh_.run(millis(5000));
  }
}

// The notice was refused, but the other nodes know of the departure.
TEST(Departures, DepartureThatTheStoreDoesNotKeepOutlivesTheProcess) {
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  Mesh_.turnAway({0, 1, 2, 3, 4, 5}, Refusal::Reset);
  CHECK(Mesh_.notify(Node, BackendDeparted{"i-1", 5000}) == false);
  for (unsigned Restarts = 0; Restarts < 2; ++Restarts) {
    Mesh_.restart(Node);
    Mesh_.run(millis(100));
    Mesh_.handle(Node, heartbeat("i-1", 4000, 7 + Restarts));
    Mesh_.run(StableWindow);
    CHECK(getsNoWork());
  }
}

TEST(Departures, DepartureOfAnUnknownServerOutlivesTheProcessToo) {
  Mesh_.handle(Node, BackendDeparted{"i-1", 5000});
  Mesh_.restart(Node);
  Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
  Mesh_.run(StableWindow);
  CHECK(getsNoWork());
}

TEST(Departures, DrainingOutlivesTheProcessThatAcknowledgedIt) {
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  Mesh_.handle(Node, heartbeat("i-1", 4000, 8, BackendState::Draining));
  Mesh_.restart(Node);
  Mesh_.run(millis(100));
  Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
  Mesh_.run(StableWindow);
  CHECK(getsNoWork());
}

// All processes that knew of the departure ended at one moment, and a heartbeat
// from before it brought the server back.
TEST(Departures, DepartureOutlivesAllProcesses) {
  for (BackendState How : {BackendState::Draining, BackendState::Serving}) {
    Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
    bool Drains = How == BackendState::Draining;
    std::optional<bool> Taken =
        Drains ? Mesh_.notify(Node, heartbeat("i-1", 4000, 9, How))
               : Mesh_.notify(Node, BackendDeparted{"i-1", 5000});
    CHECK(Taken == true);
    Mesh_.restartAll();
    Mesh_.handle(Node, heartbeat("i-1", 4000, 7)); // before the node serves
    Mesh_.run(millis(100));
    Mesh_.handle(Node, heartbeat("i-1", 4000, 8));
    Mesh_.run(StableWindow);
    CHECK(getsNoWork());
    Mesh_.handle(Node, heartbeat("i-2", 4500, 1));
    CHECK(isServing());
    Mesh_ = EngineMesh(6);
    Mesh_.run(millis(5000));
  }
}

// A response is passed on without waiting for the store.
TEST(Departures, DepartureByAResponseOutlivesAllProcesses) {
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  Mesh_.ask(Node, "");
  Mesh_.run(Micros(1));
  CHECK_EQUAL(1U, Mesh_.state(Node).Works_.size());
  BackendAnswered Answer{Mesh_.state(Node).Works_.begin()->first,
                         {200, {}, {}}};
  Answer.Metadata_.Leaving_ = true;
  Mesh_.handle(Node, Answer);
  CHECK_FALSE(isServing());
  Mesh_.run(millis(300));
  Mesh_.restartAll();
  Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
  Mesh_.run(StableWindow);
  CHECK(getsNoWork());
}

TEST(Departures, DepartureOfAnUnknownServerOutlivesAllProcesses) {
  CHECK(Mesh_.notify(Node, BackendDeparted{"i-1", 5000}) == true);
  Mesh_.restartAll();
  Mesh_.run(millis(20'000));
  Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
  Mesh_.run(StableWindow);
  CHECK(getsNoWork());
}

TEST(Departures, DepartureOutlivesAStopOfAllNodesInOrder) {
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  CHECK(Mesh_.notify(Node, BackendDeparted{"i-1", 5000}) == true);
  for (std::size_t Each = 0; Each < Mesh_.size(); ++Each)
    Mesh_.handle(Each, LeaveRequested{});
  Mesh_.run(millis(4000));
  Mesh_.restartAll();
  Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
  Mesh_.run(StableWindow);
  CHECK(getsNoWork());
}

TEST(Departures, NoticeDuringTheStopOfTheNodeIsKept) {
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  Mesh_.handle(Node, LeaveRequested{});
  Mesh_.run(millis(500));
  CHECK(Mesh_.notify(Node, BackendDeparted{"i-1", 5000}) == true);
  Mesh_.restartAll();
  Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
  Mesh_.run(StableWindow);
  CHECK(getsNoWork());
}

// An acknowledgement without the store would be broken by a kill of all nodes.
TEST(Departures, NoticeIsRefusedWhileTheStoreDoesNotKeepIt) {
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  for (Refusal How : {Refusal::Reset, Refusal::Silence}) {
    Mesh_.turnAway({Node}, How);
    CHECK(Mesh_.notify(Node, BackendDeparted{"i-1", 5000}) == false);
    CHECK_FALSE(isServing());
  }
  Mesh_.turnAway({}, Refusal::Reset);
  Mesh_.run(millis(2000));
  CHECK(Mesh_.notify(Node, BackendDeparted{"i-1", 6000}, millis(50)) == true);
}

TEST(Departures, OtherNoticesAreTakenWithoutTheStore) {
  Mesh_.turnAway({Node}, Refusal::Silence);
  CHECK(Mesh_.notify(Node, heartbeat("i-1", 4000, 6), millis(1)) == true);
  CHECK(isServing());
}

// The store turns away only the node beside the server, after the restart.
TEST(Departures, NodeWithoutTheStoreLearnsItFromNodesThatReadTheStore) {
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  CHECK(Mesh_.notify(Node, BackendDeparted{"i-1", 5000}) == true);
  Mesh_.turnAway({Node}, Refusal::Silence);
  Mesh_.restartAll();
  Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
  Mesh_.run(StableWindow + Drain);
  CHECK(getsNoWork());
}

// It is found by a node that has read its departures with its address.
TEST(Departures, NodeThatIsFoundLaterLearnsItFromTheNodeThatFindsIt) {
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  CHECK(Mesh_.notify(Node, BackendDeparted{"i-1", 5000}) == true);
  for (std::size_t Each = 0; Each < Mesh_.size(); ++Each)
    Mesh_.stop(Each);
  for (std::size_t Each = 0; Each < Mesh_.size(); ++Each)
    if (Each != Node)
      Mesh_.restart(Each);
  Mesh_.run(millis(10'000));
  Mesh_.turnAway({Node}, Refusal::Silence);
  Mesh_.restart(Node);
  while (Mesh_.state(Node).Phase_ == NodePhase::Starting)
    Mesh_.run(millis(100));
  Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
  Mesh_.run(StableWindow);
  CHECK(getsNoWork());
}

// No node gets a route table before the store is back.
TEST(Departures, StoreThatIsAwayAtTheRestartIsReadWhenItIsBack) {
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  CHECK(Mesh_.notify(Node, BackendDeparted{"i-1", 5000}) == true);
  Mesh_.turnAway({0, 1, 2, 3, 4, 5}, Refusal::Reset);
  Mesh_.restartAll();
  Mesh_.run(millis(10'000));
  Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
  Mesh_.turnAway({}, Refusal::Reset);
  Mesh_.run(StableWindow);
  CHECK(getsNoWork());
}

TEST(Departures, RecordIsWrittenAgainAfterTheStoreWasRestored) {
  std::map<std::string, StoredRecord> Copy = Mesh_.records();
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  CHECK(Mesh_.notify(Node, BackendDeparted{"i-1", 5000}) == true);
  Mesh_.records() = Copy;
  StoreFailed AnswerOfTheNextEra;
  for (std::uint64_t Era : {1, 2}) {
    AnswerOfTheNextEra.Eras_.Answered_ = Era;
    Mesh_.handle(Node, AnswerOfTheNextEra);
  }
  Mesh_.run(millis(3000));
  Mesh_.restartAll();
  Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
  Mesh_.run(StableWindow);
  CHECK(getsNoWork());
}

// A process that never reached the store must not remove what its predecessor
// has written there.
TEST(Departures, StopWithoutTheStoreKeepsTheRecord) {
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  CHECK(Mesh_.notify(Node, BackendDeparted{"i-1", 5000}) == true);
  Mesh_.turnAway({0, 1, 2, 3, 4, 5}, Refusal::Reset);
  Mesh_.restartAll();
  Mesh_.run(millis(1000));
  Mesh_.handle(Node, LeaveRequested{});
  Mesh_.turnAway({}, Refusal::Reset);
  Mesh_.run(millis(4000));
  Mesh_.restartAll();
  Mesh_.handle(Node, heartbeat("i-1", 4000, 7));
  Mesh_.run(StableWindow);
  CHECK(getsNoWork());
}

TEST(Departures, ServerThatComesBackAfterAKillOfAllServesAtOnce) {
  CHECK(Mesh_.notify(Node, BackendDeparted{"i-1", 5000}) == true);
  Mesh_.restartAll();
  Mesh_.handle(Node, heartbeat("i-1", 5100, 1));
  Mesh_.run(StableWindow);
  CHECK(isServing());
  CHECK(Mesh_.notify(Node, heartbeat("i-1", 5100, 2, BackendState::Draining)) ==
        true);
  Mesh_.restartAll();
  Mesh_.handle(Node, heartbeat("i-1", 5100, 3)); // it has taken draining back
  Mesh_.run(StableWindow);
  CHECK(isServing());
}

// Each VM that is taken away leaves a record behind.
TEST(Departures, RecordsOfNodesThatLeftAreRemoved) {
  CHECK(Mesh_.notify(Node, BackendDeparted{"i-1", 5000}) == true);
  Mesh_.handle(Node, LeaveRequested{});
  Mesh_.run(millis(4000));
  Mesh_.stop(Node);
  CHECK(Mesh_.records().contains("node-2"));
  Mesh_.run(millis(50'000));
  CHECK(Mesh_.records().contains("node-2"));
  Mesh_.run(millis(100'000));
  CHECK_FALSE(Mesh_.records().contains("node-2"));
  CHECK(Mesh_.records().contains("node-1"));
}

TEST(Departures, WritesAreBoundedByTheNotices) {
  Mesh_.handle(Node, heartbeat("i-1", 4000, 6));
  std::uint64_t Before = Mesh_.recordWrites();
  Mesh_.notify(Node, heartbeat("i-1", 4000, 7, BackendState::Draining));
  for (std::uint64_t Sequence = 8; Sequence < 20; ++Sequence)
    Mesh_.notify(Node,
                 heartbeat("i-1", 4000, Sequence, BackendState::Draining));
  Mesh_.notify(Node, BackendDeparted{"i-1", 5000});
  Mesh_.run(millis(30'000));
  CHECK_EQUAL(Before + 2, Mesh_.recordWrites());
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
  CHECK(getsNoWork());
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

// The store was listed before the node was found.
TEST(Departures, MemberThatIsFoundLaterHasThoseOfTheStore) {
  std::mt19937_64 Random;
  Membership Members({"a", 1}, Random);
  std::vector<Departure> Stored = {{5, "i-1", 9, true}};
  Members.learnDepartures({{"b", Stored}, {"c", Stored}});
  Members.learn(TimePoint(), {{"b", 1}});
  CHECK(Members.find("b")->Departures_ == Stored);
  CHECK_FALSE(Members.takeDeparturesLearned());
  Members.learnDepartures({{"a", Stored}, {"b", Stored}});
  Members.learn(TimePoint(), {{"c", 1}});
  CHECK(Members.find("c")->Departures_.empty());
  CHECK(Members.takeDeparturesLearned());
  CHECK(Members.self().Departures_ == Stored);
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
