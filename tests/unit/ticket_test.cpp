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

TEST_GROUP(TicketTable) { TicketTable Tickets_{"home", 7, Secret}; };

TEST(TicketTable, TextFormRoundTrips) {
  Ticket Issued = Tickets_.issue(Start);
  Ticket Parsed;
  CHECK(parseTicket(toString(Issued), Parsed));
  CHECK(Parsed == Issued);
}

TEST(TicketTable, MalformedTicketsAreRefused) {
  Ticket Parsed;
  for (const char *Text :
       {"", ".", "....", "home.7.1.5", "home.7.1.5.", "home.7.1.5.zz",
        "home.x.1.5.0123456789abcdef", "home.7.1.5.0123456789abcdef0"})
    CHECK_FALSE(parseTicket(Text, Parsed));
}

TEST(TicketTable, StartsOnce) {
  Ticket Issued = Tickets_.issue(Start);
  CHECK(Tickets_.redeem(Start, Issued, "d", RequestId{1}) ==
        TicketVerdict::Start);
  CHECK(Tickets_.redeem(Start, Issued, "d", RequestId{2}) ==
        TicketVerdict::Join);
  Tickets_.finish(Issued.Sequence_, complete());
  CHECK(Tickets_.redeem(Start, Issued, "d", RequestId{3}) ==
        TicketVerdict::Replay);
}

TEST(TicketTable, UnknownOutcomeNeverStartsAgain) {
  Ticket Issued = Tickets_.issue(Start);
  Tickets_.redeem(Start, Issued, "d", RequestId{1});
  Tickets_.finish(Issued.Sequence_, CallReply());
  CHECK(Tickets_.redeem(Start, Issued, "d", RequestId{2}) ==
        TicketVerdict::Replay);
}

TEST(TicketTable, TicketOfARequestThatDidNotRunMayStartAgain) {
  Ticket Issued = Tickets_.issue(Start);
  Tickets_.redeem(Start, Issued, "d", RequestId{1});
  CallReply Reply;
  Reply.Outcome_ = Outcome::NotRun;
  Tickets_.finish(Issued.Sequence_, Reply);
  CHECK(Tickets_.redeem(Start, Issued, "d", RequestId{2}) ==
        TicketVerdict::Start);
}

TEST(TicketTable, ForgeriesAndOtherIncarnationsAreRefused) {
  Ticket Issued = Tickets_.issue(Start);
  Ticket Forged = Issued;
  Forged.ExpiryMs_ += 1;
  CHECK(Tickets_.redeem(Start, Forged, "d", RequestId{1}) ==
        TicketVerdict::Forged);
  TicketTable Restarted("home", 8, Secret);
  CHECK(Restarted.redeem(Start, Issued, "d", RequestId{1}) ==
        TicketVerdict::Forged);
}

TEST(TicketTable, BelongsToOneRequest) {
  Ticket Issued = Tickets_.issue(Start);
  Tickets_.redeem(Start, Issued, "one", RequestId{1});
  CHECK(Tickets_.redeem(Start, Issued, "other", RequestId{2}) ==
        TicketVerdict::Mismatch);
}

TEST(TicketTable, RemovesRecordsOnlyAfterExpiry) {
  Ticket Issued = Tickets_.issue(Start);
  Tickets_.redeem(Start, Issued, "d", RequestId{1});
  TimePoint Late = Start + std::chrono::minutes(11);
  Tickets_.expire(Late);
  CHECK(Tickets_.size() == 0);
  CHECK(Tickets_.redeem(Late, Issued, "d", RequestId{2}) ==
        TicketVerdict::Expired);
}

TEST(TicketTable, BodiesAreBoundedButUseIsRemembered) {
  std::vector<Ticket> Issued;
  for (std::uint64_t Index = 0; Index < 10; ++Index) {
    Issued.push_back(Tickets_.issue(Start));
    Tickets_.redeem(Start, Issued.back(), "d", RequestId{Index + 1});
    Tickets_.finish(Issued.back().Sequence_,
                    complete(std::size_t{1024} * 1024));
  }
  CHECK(Tickets_.find(Issued.front().Sequence_)->BodyDropped_);
  CHECK_FALSE(Tickets_.find(Issued.back().Sequence_)->BodyDropped_);
  CHECK(Tickets_.redeem(Start, Issued.front(), "d", RequestId{99}) ==
        TicketVerdict::Replay);
}
