#include "fulmarshelf/detail/ticket/ticket_table.hpp" // TicketTable

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

namespace {

const HashKey Secret = {1, 2, 3};
const TimePoint Start = TimePoint(millis(1000));

CallReply complete(std::size_t Bytes = 1) {
  CallReply Reply;
  Reply.Outcome_ = Outcome::Complete;
  Reply.Response_ = {200, {}, std::string(Bytes, 'x')};
  return Reply;
}

} // namespace

TEST_GROUP(TicketTable) { TicketTable Book_{"home", 7, Secret}; };

TEST(TicketTable, TicketSurvivesItsTextForm) {
  Ticket Given = Book_.issue(Start);
  Ticket Read;
  CHECK(parseTicket(toString(Given), Read));
  CHECK(Read == Given);
}

TEST(TicketTable, MalformedTicketsAreRefused) {
  Ticket Read;
  for (const char *Text :
       {"", ".", "....", "home.7.1.5", "home.7.1.5.", "home.7.1.5.zz",
        "home.x.1.5.0123456789abcdef", "home.7.1.5.0123456789abcdef0"})
    CHECK_FALSE(parseTicket(Text, Read));
}

TEST(TicketTable, StartsOnce) {
  Ticket Given = Book_.issue(Start);
  CHECK(Book_.redeem(Start, Given, "d", RequestId{1}) == TicketVerdict::Start);
  CHECK(Book_.redeem(Start, Given, "d", RequestId{2}) == TicketVerdict::Join);
  Book_.finish(Given.Sequence_, complete());
  CHECK(Book_.redeem(Start, Given, "d", RequestId{3}) == TicketVerdict::Replay);
}

TEST(TicketTable, UnknownOutcomeNeverStartsAgain) {
  Ticket Given = Book_.issue(Start);
  Book_.redeem(Start, Given, "d", RequestId{1});
  Book_.finish(Given.Sequence_, CallReply());
  CHECK(Book_.redeem(Start, Given, "d", RequestId{2}) == TicketVerdict::Replay);
}

TEST(TicketTable, ProvedNotRunMayStartAgain) {
  Ticket Given = Book_.issue(Start);
  Book_.redeem(Start, Given, "d", RequestId{1});
  CallReply Reply;
  Reply.Outcome_ = Outcome::NotRun;
  Book_.finish(Given.Sequence_, Reply);
  CHECK(Book_.redeem(Start, Given, "d", RequestId{2}) == TicketVerdict::Start);
}

TEST(TicketTable, ForgeriesAndOtherLivesAreRefused) {
  Ticket Given = Book_.issue(Start);
  Ticket Forged = Given;
  Forged.ExpiryMs_ += 1;
  CHECK(Book_.redeem(Start, Forged, "d", RequestId{1}) ==
        TicketVerdict::Forged);
  TicketTable Restarted("home", 8, Secret);
  CHECK(Restarted.redeem(Start, Given, "d", RequestId{1}) ==
        TicketVerdict::Forged);
}

TEST(TicketTable, BelongsToOneRequest) {
  Ticket Given = Book_.issue(Start);
  Book_.redeem(Start, Given, "one", RequestId{1});
  CHECK(Book_.redeem(Start, Given, "other", RequestId{2}) ==
        TicketVerdict::Mismatch);
}

TEST(TicketTable, ForgetsOnlyWhatCannotStartAnyMore) {
  Ticket Given = Book_.issue(Start);
  Book_.redeem(Start, Given, "d", RequestId{1});
  TimePoint Late = Start + std::chrono::minutes(11);
  Book_.expire(Late);
  CHECK(Book_.size() == 0);
  CHECK(Book_.redeem(Late, Given, "d", RequestId{2}) == TicketVerdict::Expired);
}

TEST(TicketTable, BodiesAreBoundedButUseIsRemembered) {
  std::vector<Ticket> Given;
  for (std::uint64_t Index = 0; Index < 10; ++Index) {
    Given.push_back(Book_.issue(Start));
    Book_.redeem(Start, Given.back(), "d", RequestId{Index + 1});
    Book_.finish(Given.back().Sequence_, complete(std::size_t{1024} * 1024));
  }
  CHECK(Book_.find(Given.front().Sequence_)->BodyDropped_);
  CHECK_FALSE(Book_.find(Given.back().Sequence_)->BodyDropped_);
  CHECK(Book_.redeem(Start, Given.front(), "d", RequestId{99}) ==
        TicketVerdict::Replay);
}
