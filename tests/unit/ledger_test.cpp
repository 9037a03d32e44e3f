#include "fulmarshelf/detail/revocation/attempt_ledger.hpp" // AttemptLedger

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

namespace {

AttemptId attempt(std::uint64_t Sequence, Incarnation Life = 1) {
  return {"sender", Life, Sequence};
}

CallReply complete() {
  CallReply Reply;
  Reply.Outcome_ = Outcome::Complete;
  Reply.Response_.Body_ = "body";
  return Reply;
}

} // namespace

TEST_GROUP(AttemptLedger) { AttemptLedger Ledger; };

TEST(AttemptLedger, WhatNeverArrivedIsNotStartedAndNeverWill) {
  CHECK(Ledger.arrive(attempt(1), 1));
  CHECK(Ledger.settle(attempt(2), 1).Result_ == RevokeResult::NotStarted);
  CHECK_FALSE(Ledger.arrive(attempt(2), 1));
}

TEST(AttemptLedger, WhatArrivedAndIsForgottenIsUnknown) {
  CHECK(Ledger.arrive(attempt(1), 1));
  CHECK(Ledger.settle(attempt(1), 1).Result_ == RevokeResult::Unknown);
}

TEST(AttemptLedger, FinishedWorkIsRemembered) {
  Ledger.arrive(attempt(1), 1);
  Ledger.finish(attempt(1), complete(), true);
  RevokeReply Answer = Ledger.settle(attempt(1), 1);
  CHECK(Answer.Result_ == RevokeResult::Finished);
  CHECK(Answer.Reply_.Response_.Body_ == "body");
}

TEST(AttemptLedger, BodiesOfIdempotentWorkAreNotKept) {
  Ledger.arrive(attempt(1), 1);
  Ledger.finish(attempt(1), complete(), false);
  CHECK(Ledger.settle(attempt(1), 1).Reply_.Outcome_ == Outcome::Unknown);
}

TEST(AttemptLedger, FenceHoldsForOlderConnectionsOnly) {
  Ledger.fence(attempt(5), 3);
  CHECK_FALSE(Ledger.arrive(attempt(6), 2));
  CHECK_FALSE(Ledger.arrive(attempt(6), 3));
  CHECK(Ledger.arrive(attempt(6), 4));
  CHECK(Ledger.arrive(attempt(1, 2), 1)); // another life of the sender
}

TEST(AttemptLedger, ForgottenConnectionsAreUnknown) {
  for (std::uint64_t Link = 1; Link <= 40; ++Link)
    Ledger.arrive(attempt(Link), Link);
  CHECK(Ledger.settle(attempt(100), 1).Result_ == RevokeResult::Unknown);
}

TEST(AttemptLedger, MemoryIsBounded) {
  for (std::uint64_t Sequence = 1; Sequence <= 10'000; ++Sequence) {
    Ledger.arrive(attempt(Sequence), 1);
    Ledger.finish(attempt(Sequence), complete(), true);
  }
  CHECK(Ledger.size() == 4096);
  CHECK(Ledger.settle(attempt(1), 1).Result_ == RevokeResult::Unknown);
}
