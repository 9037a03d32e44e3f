#include "fulmarshelf/detail/membership/membership.hpp" // Membership

#include <deque> // deque
#include <set>   // set

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

namespace {

constexpr int StepsPerSecond = 20;

Member member(int Index) {
  Member Result;
  Result.Node_ = "n" + std::to_string(Index);
  Result.Incarnation_ = 100;
  Result.Peer_ = {"10.0.0." + std::to_string(Index + 1), 1000};
  Result.FailureDomain_ = "d";
  Result.Service_ = "s";
  return Result;
}

// Nodes that exchange datagrams without delay. Silent nodes neither send nor
// receive, and a datagram reaches only nodes of the same partition.
class TestMesh {
public:
  explicit TestMesh(int Count) {
    for (int Index = 0; Index < Count; ++Index) {
      Randoms_.emplace_back(Index + 1);
      Nodes_.emplace_back(member(Index), Randoms_.back());
    }
    for (int Index = 1; Index < Count; ++Index)
      Nodes_[Index].learn(Now_, {member(0)});
    for (int Index = 1; Index < Count; ++Index)
      Nodes_[0].learn(Now_, {member(Index)});
  }

  // Runs steps of 50 ms.
  void run(int Steps) {
    for (int Step = 0; Step < Steps; ++Step) {
      Now_ += millis(50);
      for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
        if (!Silent_[Index])
          Nodes_[Index].tick(Now_);
      for (int Hop = 0; Hop < 6; ++Hop)
        deliver();
    }
  }

  void deliver() {
    for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
      for (const GossipSend &Send : Nodes_[Index].takeSends()) {
        MaxDatagramBytes_ =
            std::max(MaxDatagramBytes_, encode(Send.Message_).size());
        for (std::size_t Other = 0; Other < Nodes_.size(); ++Other) {
          bool Reachable = !Silent_[Index] && !Silent_[Other] &&
                           Partition_[Index] == Partition_[Other];
          if (Reachable && Nodes_[Other].self().Peer_ == Send.To_)
            Nodes_[Other].receive(Now_, Nodes_[Index].self().Peer_,
                                  Send.Message_);
        }
      }
  }

  MemberStatus statusAt(int Viewer, int Target) const {
    return Nodes_[Viewer].find(member(Target).Node_)->Status_;
  }

  std::deque<std::mt19937_64> Randoms_;
  std::deque<Membership> Nodes_;
  std::map<std::size_t, bool> Silent_;
  std::map<std::size_t, bool> Partition_;
  TimePoint Now_{millis(5000)};
  std::size_t MaxDatagramBytes_ = 0;
};

} // namespace

TEST_GROUP(Membership){};

// The names of services have no limit of their own. A datagram that cannot be
// sent is dropped, with the reports of all others in it.
TEST(Membership, ReportsWithLongNamesFitIntoDatagrams) {
  std::mt19937_64 Random;
  Membership Members(member(0), Random);
  std::vector<Member> Others;
  for (int Index = 1; Index <= 12; ++Index) {
    Others.push_back(member(Index));
    Others.back().Service_ = std::string(16'000, 's');
  }
  Members.learn(TimePoint(), Others);
  std::set<std::string> Reported;
  for (int Step = 1; Step <= 600; ++Step) {
    Members.tick(TimePoint() + millis(250) * Step);
    for (const GossipSend &Send : Members.takeSends()) {
      CHECK(encode(Send.Message_).size() < 65'000);
      for (const Member &Report : Send.Message_.Members_)
        Reported.insert(Report.Node_);
    }
  }
  CHECK_EQUAL(13U, Reported.size());
}

TEST(Membership, EveryNodeLearnsOfEveryMember) {
  TestMesh Mesh(12);
  Mesh.run(StepsPerSecond * 15);
  for (Membership &Node : Mesh.Nodes_) {
    CHECK(Node.available().size() == 11);
    CHECK(Node.digest() == Mesh.Nodes_[0].digest());
  }
}

TEST(Membership, NoFalseSuspicionInAnHourOfTicks) {
  TestMesh Mesh(8);
  for (int Minute = 0; Minute < 60; ++Minute) {
    Mesh.run(StepsPerSecond * 60);
    for (Membership &Node : Mesh.Nodes_)
      for (const Member &Changed : Node.takeChanges())
        CHECK(Changed.Status_ == MemberStatus::Alive);
  }
}

TEST(Membership, AllNodesDeclareSilentNodeDead) {
  TestMesh Mesh(12);
  Mesh.run(StepsPerSecond * 15);
  Mesh.Silent_[5] = true;
  Mesh.run(StepsPerSecond * 25);
  for (int Viewer = 0; Viewer < 12; ++Viewer)
    if (Viewer != 5)
      CHECK(Mesh.statusAt(Viewer, 5) == MemberStatus::Dead);
}

TEST(Membership, PausedNodeRefutesItsDeath) {
  TestMesh Mesh(6);
  Mesh.run(StepsPerSecond * 15);
  Mesh.Silent_[2] = true;
  Mesh.run(StepsPerSecond * 20);
  CHECK(Mesh.statusAt(0, 2) == MemberStatus::Dead);
  Mesh.Silent_[2] = false;
  Mesh.run(StepsPerSecond * 20);
  for (int Viewer = 0; Viewer < 6; ++Viewer)
    if (Viewer != 2)
      CHECK(Mesh.statusAt(Viewer, 2) == MemberStatus::Alive);
}

TEST(Membership, PartitionedHalvesRejoin) {
  TestMesh Mesh(6);
  Mesh.run(StepsPerSecond * 15);
  for (std::size_t Index = 0; Index < 3; ++Index)
    Mesh.Partition_[Index] = true;
  Mesh.run(StepsPerSecond * 30);
  CHECK(Mesh.statusAt(0, 5) == MemberStatus::Dead);
  for (std::size_t Index = 0; Index < 3; ++Index)
    Mesh.Partition_[Index] = false;
  Mesh.run(StepsPerSecond * 60);
  for (Membership &Node : Mesh.Nodes_)
    CHECK(Node.available().size() == 5);
}

TEST(Membership, LeavingStatusReachesOtherNodes) {
  TestMesh Mesh(6);
  Mesh.run(StepsPerSecond * 15);
  Mesh.Nodes_[1].setSelf(MemberStatus::Leaving, "");
  Mesh.Nodes_[1].broadcast({});
  Mesh.run(StepsPerSecond * 5);
  CHECK(Mesh.statusAt(4, 1) == MemberStatus::Leaving);
}

TEST(Membership, DatagramsAreBounded) {
  TestMesh Mesh(40);
  Mesh.run(StepsPerSecond * 20);
  CHECK(Mesh.MaxDatagramBytes_ < 1400);
}

TEST_GROUP(GossipCodec){};

TEST(GossipCodec, DecodedMessageEqualsEncodedMessage) {
  GossipMessage Message;
  Message.Kind_ = GossipKind::PingRequest;
  Message.Sequence_ = 9;
  Message.From_ = "a";
  Message.Target_ = "b";
  Message.TargetPeer_ = {"127.0.0.1", 7};
  Message.Members_ = {member(1), member(2)};
  Message.SettingsUpdates_ = {{"/kwan", 4}};
  GossipMessage Decoded;
  CHECK(decode(encode(Message), Decoded));
  CHECK(Decoded == Message);
}

TEST(GossipCodec, MalformedMessagesAreRejected) {
  GossipMessage Message;
  Message.Members_ = {member(1)};
  std::string Encoded = encode(Message);
  GossipMessage Decoded;
  SyncMessage Sync;
  SyncReply Reply;
  for (std::size_t Length = 0; Length < Encoded.size(); ++Length)
    CHECK_FALSE(decode(Encoded.substr(0, Length), Decoded));
  std::mt19937_64 Random(5);
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Bytes = Encoded;
    for (int Flip = 0; Flip < 3; ++Flip)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    decode(Bytes, Decoded);
    decode(Bytes, Sync);
    decode(Bytes, Reply);
  }
}

// The clock was set back between two incarnations of a node, and the other
// nodes still know the earlier incarnation as leaving.
TEST(Membership, IncarnationWithEarlierClockSupersedesThePreviousOne) {
  std::mt19937_64 Random(1);
  Membership Restarted(member(0), Random);
  Member Previous = member(0);
  Previous.Incarnation_ = 900;
  Previous.Status_ = MemberStatus::Leaving;
  Restarted.learn(TimePoint(millis(1)), {Previous});
  CHECK(supersedes(Restarted.self(), Previous));
  CHECK(Restarted.self().Status_ == MemberStatus::Alive);
}
