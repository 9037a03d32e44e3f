#include "fulmarshelf/detail/engine/systems.hpp" // owner_system

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

namespace {

EngineConfig configuration() {
  EngineConfig Config;
  Config.Settings_.Name_ = "a";
  Config.Settings_.FailureDomain_ = "here";
  Config.Settings_.Interface_ = InterfaceKind::Platform;
  Config.Settings_.Service_ = "front";
  Config.Incarnation_ = 1;
  return Config;
}

HttpRequest request(std::uint64_t Number) {
  return {"GET", "/look/" + std::to_string(Number), {{"Host", "h"}}, {}};
}

Member member(const char *Name) {
  Member Other;
  Other.Node_ = Name;
  Other.Incarnation_ = 1;
  return Other;
}

} // namespace

// A backend server with 40 slots, of which suspects may use four.
TEST_GROUP(SuspectWork) {
  NodeState Node_{configuration()};
  std::uint64_t LastAttempt_ = 0;

  void setup() override {
    Node_.Now_ = TimePoint(millis(5000));
    Node_.Phase_ = NodePhase::Serving;
    BackendAnnounced Announced;
    Announced.Announcement_.Service_ = "front";
    Announced.Announcement_.Instance_ = "i-1";
    Announced.Announcement_.Slots_ = 40;
    backend_system::announce(Node_, Announced);
    Node_.Backend_.HasAnswered_ = true;
  }

  void admit(std::uint64_t Number, bool Suspect, Rank Rank = 0) {
    CallContext Context;
    Context.Idempotent_ = true;
    Context.Rank_ = Rank;
    Context.TimeLeft_ = millis(2000);
    Context.Suspect_ = Suspect;
    owner_system::admit(Node_, {"b", 1, ++LastAttempt_}, std::monostate(),
                        Context, request(Number));
  }

  void crash(std::uint64_t Id, const std::vector<std::uint64_t> &Numbers) {
    CrashReport Report{Id, {}};
    for (std::uint64_t Number : Numbers)
      Report.InProgress_.push_back(digestOf(request(Number)));
    quarantine_system::onNews(Node_, {{Report}, {}});
  }

  // Checks for a crash that the node has requested since the last call.
  std::size_t probes() {
    std::size_t Count = 0;
    for (const Action &Requested : Node_.Actions_)
      Count += std::holds_alternative<ProbeBackend>(Requested) ? 1 : 0;
    Node_.Actions_.clear();
    return Count;
  }

  // Datagrams with news that the node has sent since the last call.
  std::size_t newsSent() {
    std::size_t Count = 0;
    for (const GossipSend &Send : Node_.Membership_.takeSends())
      Count += Send.Message_.Kind_ == GossipKind::Quarantine ? 1 : 0;
    return Count;
  }
};

// Long work must not wait for the first answer of its server.
TEST(SuspectWork, ServerWithoutAnAnswerGetsMoreRequestsWithTime) {
  Node_.Backend_.HasAnswered_ = false;
  for (std::uint64_t Number = 1; Number <= 10; ++Number)
    admit(Number, false);
  LONGS_EQUAL(4, Node_.Running_);
  Node_.Now_ += millis(500);
  owner_system::runQueue(Node_);
  LONGS_EQUAL(8, Node_.Running_);
}

TEST(SuspectWork, FewSuspectsRunAtATime) {
  for (std::uint64_t Number = 1; Number <= 10; ++Number)
    admit(Number, true);
  LONGS_EQUAL(4, Node_.Running_);
  for (std::uint64_t Number = 11; Number <= 20; ++Number)
    admit(Number, false);
  LONGS_EQUAL(14, Node_.Running_);
  owner_system::onAnswer(Node_, {WorkId{1}, {200, {}, {}}, {}});
  LONGS_EQUAL(14, Node_.Running_);
  LONGS_EQUAL(4, Node_.RunningSuspects_);
}

TEST(SuspectWork, StrongSuspectRunsWithoutOtherSuspects) {
  crash(1, {1, 2});
  crash(2, {1, 2});
  admit(1, false);
  admit(2, false);
  admit(3, true);
  LONGS_EQUAL(1, Node_.Running_);
  admit(4, false);
  LONGS_EQUAL(2, Node_.Running_);
  owner_system::onAnswer(Node_, {WorkId{1}, {200, {}, {}}, {}});
  CHECK(Node_.Works_.at(WorkId{2}).State_ == WorkState::Running);
  CHECK(Node_.Works_.at(WorkId{3}).State_ == WorkState::Queued);
}

TEST(SuspectWork, QueuedRequestThatIsSetAsideDoesNotRun) {
  crash(1, {1});
  crash(2, {1, 2});
  admit(1, false);
  LONGS_EQUAL(0, Node_.Works_.size());
  crash(3, {2});
  admit(2, false);
  LONGS_EQUAL(0, Node_.Works_.size());
}

// Of 20 requests with simultaneous crashes each of two owners tries its part.
TEST(SuspectWork, SimultaneousCrashesAreTriedAtOneOwner) {
  Member Other = member("b");
  Other.Service_ = "front";
  Node_.Membership_.learn(Node_.Now_, {Other});
  for (std::uint64_t Number = 1; Number <= 20; ++Number)
    for (std::uint64_t Crash = 1; Crash <= 3; ++Crash)
      crash(3 * Number + Crash, {Number});
  Node_.Now_ += Quarantine::ShortTime;
  std::size_t TriedHere = 0;
  for (std::uint64_t Number = 1; Number <= 20; ++Number) {
    admit(Number, false);
    bool IsTried = Node_.Works_.size() > TriedHere;
    bool HasLargerWeight =
        rendezvousWeight(toString(digestOf(request(Number))), "a") >
        rendezvousWeight(toString(digestOf(request(Number))), "b");
    CHECK_EQUAL(HasLargerWeight, IsTried);
    TriedHere = Node_.Works_.size();
  }
  CHECK(TriedHere > 0 && TriedHere < 20);
  LONGS_EQUAL(1, Node_.Running_);
}

TEST(SuspectWork, QueuedRequestThatIsSetAsideDoesNotPreempt) {
  Node_.Config_.Settings_.Interface_ = InterfaceKind::Native;
  Node_.Limit_.setSlots(1);
  admit(1, false, makeRank(0, false, 0));
  admit(2, false, makeRank(3, false, 0));
  LONGS_EQUAL(1, Node_.Running_);
  crash(1, {2});
  crash(2, {2});
  Node_.Now_ = Node_.Queue_.front()->StartBy_;
  owner_system::runQueue(Node_);
  CHECK(Node_.Works_.contains(WorkId{1}));
  LONGS_EQUAL(1, Node_.Running_);
}

TEST(SuspectWork, NewsIsPassedOnOnce) {
  Node_.Membership_.learn(Node_.Now_, {member("b"), member("c")});
  Node_.Membership_.takeSends();
  crash(1, {1});
  LONGS_EQUAL(2, newsSent());
  crash(1, {1});
  LONGS_EQUAL(0, newsSent());
  quarantine_system::spread(Node_);
  LONGS_EQUAL(2, newsSent());
  quarantine_system::spread(Node_);
  LONGS_EQUAL(0, newsSent());
}

TEST(SuspectWork, ServerThatLeavesGivesNoEvidence) {
  admit(1, false);
  backend_system::depart(Node_, {"i-1"});
  owner_system::onFailure(Node_, WorkId{1}, CallFailure::ConnectionLost);
  backend_system::onCrashConfirmed(Node_);
  CHECK(Node_.Quarantine_.empty());
}

TEST(SuspectWork, CrashWithRequestsInProgressIsReported) {
  Node_.Membership_.learn(Node_.Now_, {member("b")});
  Node_.Membership_.takeSends();
  admit(1, false);
  owner_system::onFailure(Node_, WorkId{1}, CallFailure::ConnectionLost);
  CHECK(Node_.Quarantine_.empty());
  backend_system::onCrashConfirmed(Node_);
  LONGS_EQUAL(1, newsSent());
  CHECK(Node_.Quarantine_.suspicion(Node_.Now_, digestOf(request(1))) ==
        Suspicion::Suspect);
}

// The node closes the connection at a response that is malformed or too large.
TEST(SuspectWork, ResponseThatTheNodeBrokeOffGivesNoEvidence) {
  admit(1, false);
  owner_system::onFailure(Node_, WorkId{1}, CallFailure::Aborted);
  backend_system::probe(Node_);
  LONGS_EQUAL(0, probes());
  backend_system::onCrashConfirmed(Node_);
  CHECK(Node_.Quarantine_.empty());
}

// A cut off server neither accepts nor refuses connections.
TEST(SuspectWork, ConnectionTimeoutGivesNoEvidence) {
  admit(1, false);
  admit(2, false);
  owner_system::onFailure(Node_, WorkId{1}, CallFailure::ConnectionLost);
  owner_system::onFailure(Node_, WorkId{2}, CallFailure::NotSent);
  CHECK(Node_.Quarantine_.empty());
  CHECK(Node_.Now_ < Node_.Backend_.SuspectUntil_);
}

TEST(SuspectWork, RefusedConnectionConfirmsACrash) {
  admit(1, false);
  admit(2, false);
  owner_system::onFailure(Node_, WorkId{1}, CallFailure::ConnectionLost);
  owner_system::onFailure(Node_, WorkId{2}, CallFailure::Refused);
  CHECK(Node_.Quarantine_.suspicion(Node_.Now_, digestOf(request(1))) ==
        Suspicion::Suspect);
  CHECK(Node_.Quarantine_.suspicion(Node_.Now_, digestOf(request(2))) ==
        Suspicion::None);
}

// Placement avoids a failing owner, so no other request may show the crash.
TEST(SuspectWork, LostConnectionIsCheckedForACrash) {
  admit(1, false);
  owner_system::onFailure(Node_, WorkId{1}, CallFailure::ConnectionLost);
  LONGS_EQUAL(0, probes());
  Node_.Now_ += millis(25);
  backend_system::probe(Node_);
  LONGS_EQUAL(1, probes());
  backend_system::onProbed(Node_, {true});
  CHECK(Node_.Quarantine_.suspicion(Node_.Now_, digestOf(request(1))) ==
        Suspicion::Suspect);
  CHECK(Node_.Now_ < Node_.Backend_.SuspectUntil_);
}

TEST(SuspectWork, ServerThatAcceptsConnectionsIsNotReported) {
  admit(1, false);
  owner_system::onFailure(Node_, WorkId{1}, CallFailure::ConnectionLost);
  backend_system::probe(Node_);
  backend_system::onProbed(Node_, {false});
  CHECK(Node_.Quarantine_.empty());
  CHECK(Node_.Backend_.SuspectUntil_ <= Node_.Now_);
}

TEST(SuspectWork, ServerThatAnswersAfterALostConnectionHasNotCrashed) {
  admit(1, false);
  owner_system::onFailure(Node_, WorkId{1}, CallFailure::ConnectionLost);
  backend_system::probe(Node_);
  backend_system::onProbed(Node_, {false});
  admit(2, false);
  Node_.Now_ += millis(30);
  owner_system::onAnswer(Node_, {WorkId{2}, {200, {}, {}}, {}});
  backend_system::onCrashConfirmed(Node_);
  CHECK(Node_.Quarantine_.empty());
}

// The connection may be accepted by the next incarnation, or by a supervisor
// that keeps the listening socket.
TEST(SuspectWork, CrashOfAServerThatIsBackAtOnceIsReported) {
  admit(1, false);
  owner_system::onFailure(Node_, WorkId{1}, CallFailure::ConnectionLost);
  backend_system::probe(Node_);
  backend_system::onProbed(Node_, {false});
  BackendAnnounced Next;
  Next.Announcement_ = Node_.Backend_.Announcement_;
  Next.Announcement_.Instance_ = "i-2";
  backend_system::announce(Node_, Next);
  CHECK(Node_.Quarantine_.suspicion(Node_.Now_, digestOf(request(1))) ==
        Suspicion::Suspect);
}

TEST(SuspectWork, ServerThatAnswersIsNotProbed) {
  admit(1, false);
  admit(2, false);
  owner_system::onFailure(Node_, WorkId{1}, CallFailure::ConnectionLost);
  Node_.Now_ += millis(22);
  owner_system::onAnswer(Node_, {WorkId{2}, {200, {}, {}}, {}});
  backend_system::probe(Node_);
  LONGS_EQUAL(0, probes());
}
