#include "fulmarshelf/detail/revocation/attempt_ledger.hpp" // AttemptLedger

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

namespace {

AttemptId attempt(std::uint64_t Sequence, Incarnation SenderIncarnation = 1) {
  return {"sender", SenderIncarnation, Sequence};
}

CallReply complete() {
  CallReply Reply;
  Reply.Outcome_ = Outcome::Complete;
  Reply.Response_.Body_ = "body";
  return Reply;
}

} // namespace

TEST_GROUP(AttemptLedger) { AttemptLedger Ledger_; };

TEST(AttemptLedger, AttemptThatNeverArrivedIsNotStartedAndStaysRefused) {
  CHECK(Ledger_.recordArrival(attempt(1), 1));
  CHECK(Ledger_.resolve(attempt(2), 1).Result_ == RevokeResult::NotStarted);
  CHECK_FALSE(Ledger_.recordArrival(attempt(2), 1));
}

TEST(AttemptLedger, ArrivedAttemptWithoutReplyIsUnknown) {
  CHECK(Ledger_.recordArrival(attempt(1), 1));
  CHECK(Ledger_.resolve(attempt(1), 1).Result_ == RevokeResult::Unknown);
}

TEST(AttemptLedger, FinishedWorkReturnsItsReply) {
  Ledger_.recordArrival(attempt(1), 1);
  Ledger_.recordReply(attempt(1), complete(), true);
  RevokeReply Answer = Ledger_.resolve(attempt(1), 1);
  CHECK(Answer.Result_ == RevokeResult::Finished);
  CHECK(Answer.Reply_.Response_.Body_ == "body");
}

TEST(AttemptLedger, BodiesOfIdempotentWorkAreNotKept) {
  Ledger_.recordArrival(attempt(1), 1);
  Ledger_.recordReply(attempt(1), complete(), false);
  CHECK(Ledger_.resolve(attempt(1), 1).Reply_.Outcome_ == Outcome::Unknown);
}

TEST(AttemptLedger, FenceAppliesToThisAndOlderConnectionsOnly) {
  Ledger_.fence(attempt(5), 3);
  CHECK_FALSE(Ledger_.recordArrival(attempt(6), 2));
  CHECK_FALSE(Ledger_.recordArrival(attempt(6), 3));
  CHECK(Ledger_.recordArrival(attempt(6), 4));
  CHECK(Ledger_.recordArrival(attempt(1, 2), 1)); // a later incarnation
}

TEST(AttemptLedger, AttemptsOfDroppedConnectionsAreUnknown) {
  for (std::uint64_t Link = 1; Link <= 40; ++Link)
    Ledger_.recordArrival(attempt(Link), Link);
  CHECK(Ledger_.resolve(attempt(100), 1).Result_ == RevokeResult::Unknown);
}

TEST(AttemptLedger, MemoryIsBounded) {
  for (std::uint64_t Sequence = 1; Sequence <= 10'000; ++Sequence) {
    Ledger_.recordArrival(attempt(Sequence), 1);
    Ledger_.recordReply(attempt(Sequence), complete(), true);
  }
  CHECK(Ledger_.size() == 4096);
  CHECK(Ledger_.resolve(attempt(1), 1).Result_ == RevokeResult::Unknown);
}

TEST(AttemptLedger, OldIncarnationsOfASenderAreDropped) {
  for (Incarnation SenderIncarnation = 1; SenderIncarnation <= 1000;
       ++SenderIncarnation)
    Ledger_.recordArrival(attempt(1, SenderIncarnation), 1);
  CHECK(Ledger_.senders() == 2);
}
