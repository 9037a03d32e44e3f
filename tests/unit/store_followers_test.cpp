#include "unit/engine_mesh.hpp" // EngineMesh

#include <algorithm> // max, set_difference

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;
using namespace fulmarshelf::test;

namespace {

// The bound of the platform on a change of its configuration.
constexpr Micros ConfigApply = millis(2000);
// All nodes start at one time, and know after this time who follows the store.
constexpr Micros Settling = millis(15'000);

std::set<std::size_t> allNodes(const EngineMesh &Mesh) {
  std::set<std::size_t> Nodes;
  for (std::size_t Node = 0; Node < Mesh.size(); ++Node)
    Nodes.insert(Node);
  return Nodes;
}

// Nodes that do not have a version, of those that are not in the second set.
std::size_t countWithout(const EngineMesh &Mesh, std::uint64_t Version,
                         const std::set<std::size_t> &Except) {
  std::size_t Count = 0;
  for (std::size_t Node = 0; Node < Mesh.size(); ++Node)
    if (!Except.contains(Node) && Mesh.version(Node) != Version)
      ++Count;
  return Count;
}

std::size_t takeOvers(const EngineMesh &Mesh) {
  return Mesh.logged(EventNumber::StoreFollowingStarted);
}

} // namespace

TEST_GROUP(StoreFollowers){};

// While the store turned away the nodes that watched it, nobody read it, and
// all other nodes stayed on the old configuration.
TEST(StoreFollowers, ChangeComesIntoForceWhileAllWatchersAreTurnedAway) {
  for (Refusal How : {Refusal::Reset, Refusal::Silence})
    for (std::size_t Size : {12, 18, 60}) {
      EngineMesh Mesh(Size);
      Mesh.run(Settling);
      std::set<std::size_t> Watchers = Mesh.watchers();
      CHECK_EQUAL(6U, Watchers.size());
      Mesh.turnAway(Watchers, How);
      Mesh.run(millis(100));
      std::uint64_t Version = Mesh.writeTable();
      Mesh.run(ConfigApply);
      CHECK_EQUAL(0U, countWithout(Mesh, Version, {}));
    }
}

// The same while the watchers are cut off from the other nodes too.
TEST(StoreFollowers, ChangeComesIntoForceWhileAllWatchersAreCutOff) {
  for (std::size_t Size : {12, 18, 60}) {
    EngineMesh Mesh(Size);
    Mesh.run(Settling);
    std::set<std::size_t> Watchers = Mesh.watchers();
    Mesh.turnAway(Watchers, Refusal::Silence);
    Mesh.isolate(Watchers);
    Mesh.run(millis(600));
    std::uint64_t Version = Mesh.writeTable();
    Mesh.run(ConfigApply);
    CHECK_EQUAL(0U, countWithout(Mesh, Version, Watchers));
    Mesh.turnAway({}, Refusal::Reset);
    Mesh.heal();
    Mesh.run(millis(3000));
    CHECK_EQUAL(0U, countWithout(Mesh, Version, {}));
  }
}

TEST(StoreFollowers, OneNodeThatReachesTheStoreIsEnough) {
  for (std::size_t Reached = 0; Reached < 12; ++Reached) {
    EngineMesh Mesh(12);
    Mesh.run(Settling);
    std::set<std::size_t> Others = allNodes(Mesh);
    Others.erase(Reached);
    Mesh.turnAway(Others, Refusal::Reset);
    std::uint64_t Version = Mesh.writeTable();
    Mesh.run(ConfigApply);
    CHECK_EQUAL(0U, countWithout(Mesh, Version, {}));
  }
}

// The watchers are turned away again each time after others have taken over.
TEST(StoreFollowers, FollowersThatTookOverAreReplacedInTurn) {
  EngineMesh Mesh(24);
  Mesh.run(Settling);
  std::set<std::size_t> TurnedAway;
  for (int Round = 0; Round < 3; ++Round) {
    for (std::size_t Watcher : Mesh.watchers())
      TurnedAway.insert(Watcher);
    Mesh.turnAway(TurnedAway, Refusal::Reset);
    std::uint64_t Version = Mesh.writeTable();
    Mesh.run(ConfigApply);
    CHECK_EQUAL(0U, countWithout(Mesh, Version, {}));
  }
}

TEST(StoreFollowers, WatchersTakeTheirDutyBack) {
  EngineMesh Mesh(18);
  Mesh.run(Settling);
  std::set<std::size_t> Watchers = Mesh.watchers();
  Mesh.turnAway(Watchers, Refusal::Reset);
  Mesh.run(millis(9000));
  CHECK(takeOvers(Mesh) > 0);
  Mesh.turnAway({}, Refusal::Reset);
  Mesh.run(millis(12'000));
  CHECK(Mesh.watchers() == Watchers);
  std::uint64_t Version = Mesh.writeTable();
  Mesh.run(millis(500));
  CHECK_EQUAL(0U, countWithout(Mesh, Version, {}));
}

// In a calm mesh only the elected nodes call the store, each in its turn.
TEST(StoreFollowers, NobodyTakesOverInACalmMesh) {
  for (std::size_t Size : {2, 5, 12, 60}) {
    EngineMesh Mesh(Size, std::min<std::size_t>(Size, 3));
    Mesh.run(Settling);
    std::size_t CallsBefore = Mesh.storeCalls();
    std::size_t Before = takeOvers(Mesh);
    std::size_t BytesBefore = Mesh.datagramBytes();
    Mesh.run(millis(30'000));
    Mesh.writeTable();
    Mesh.run(millis(30'000));
    CHECK_EQUAL(Before, takeOvers(Mesh));
    // One call each EvidenceInterval, two watches of teams a minute by each of
    // six nodes, and the turns after a change.
    CHECK(Mesh.storeCalls() - CallsBefore <= std::size_t{200} + 18 + 12);
    // Bytes that a node sends a second, below its budget of 3 KB.
    CHECK((Mesh.datagramBytes() - BytesBefore) / 60 / Size < 1500);
  }
}

TEST(StoreFollowers, FewTakeOverWhenDatagramsAreLost) {
  EngineMesh Mesh(60);
  Mesh.run(Settling);
  Mesh.loseDatagrams(0.02);
  std::size_t CallsBefore = Mesh.storeCalls();
  Mesh.run(millis(60'000));
  CHECK(Mesh.storeCalls() - CallsBefore <= std::size_t{2} * (200 + 18));
}

// While the store answers nobody, all nodes together call it at a bounded rate,
// also when it returns.
TEST(StoreFollowers, CallsAreBoundedWhileTheStoreIsAway) {
  EngineMesh Mesh(60);
  Mesh.run(Settling);
  Mesh.turnAway(allNodes(Mesh), Refusal::Reset);
  std::size_t Before = Mesh.storeCalls();
  Mesh.run(millis(10'000));
  // Two collections are called each second by six watchers, and one collection
  // each two seconds by the others.
  CHECK(Mesh.storeCalls() - Before <= std::size_t{10} * (6 * 3 + 60 / 2));
  Mesh.turnAway({}, Refusal::Reset);
  std::uint64_t Version = Mesh.writeTable();
  Before = Mesh.storeCalls();
  Mesh.run(ConfigApply);
  CHECK_EQUAL(0U, countWithout(Mesh, Version, {}));
  CHECK(Mesh.storeCalls() - Before <= 200);
}
