#include "../../src/cli/explain.hpp" // linesOfRequest

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf::cli;

namespace {

std::vector<LogLine> parsed(const std::vector<std::string> &Texts) {
  std::vector<LogLine> Result;
  for (const std::string &Text : Texts) {
    LogLine Line;
    if (parseLogLine(Text, Line))
      Result.push_back(Line);
  }
  return Result;
}

const std::vector<std::string> Logs = {
    ("2026-01-01T00:00:00.000100Z node=a event=1001 request-received request=1 "
     "id=r1 route=h/x/"),
    ("2026-01-01T00:00:00.000200Z node=a event=1101 owner-chosen request=1 "
     "id=r1 owner=b"),
    ("2026-01-01T00:00:00.000300Z node=b event=1301 work-queued work=7 id=r1"),
    ("2026-01-01T00:00:00.000900Z node=b event=1304 work-evicted work=7 "
     "error=shed"),
    ("2026-01-01T00:00:00.000500Z node=b event=1006 call-matched request=4 "
     "id=c1 parent=r1"),
    ("2026-01-01T00:00:00.000600Z node=b event=1003 request-refused request=4 "
     "detail=\"two words\""),
    ("2026-01-01T00:00:00.000700Z node=c event=1301 work-queued work=7 id=r2"),
    ("not a line of a node's log")};

} // namespace

TEST_GROUP(Explain){};

TEST(Explain, LinesAreReadWithQuotedValues) {
  std::vector<LogLine> Lines = parsed(Logs);
  CHECK(Lines.size() == 7);
  CHECK(Lines[5].Node_ == "b");
  CHECK(Lines[5].Event_ == "request-refused");
  CHECK(Lines[5].Fields_.at("detail") == "two words");
}

TEST(Explain, ARequestIsFollowedThroughNodesAndCalls) {
  std::vector<LogLine> RequestLines = linesOfRequest("r1", parsed(Logs));
  CHECK_EQUAL(6U, RequestLines.size());
  CHECK(RequestLines.front().Event_ == "request-received");
  CHECK(RequestLines.back().Event_ == "work-evicted");
  for (const LogLine &Line : RequestLines)
    CHECK(Line.Node_ != "c");
}

TEST(Explain, ClockSkewBetweenNodesIsReported) {
  std::vector<std::string> Skewed = Logs;
  Skewed[2] = "2026-01-01T00:00:00.000050Z node=b event=1301 work-queued "
              "work=7 id=r1";
  CHECK(clockSkewWarnings(parsed(Logs)).empty());
  CHECK_EQUAL(1U, clockSkewWarnings(parsed(Skewed)).size());
}

// A node numbers its requests from 1 again after a restart, so equal numbers of
// two incarnations mean different requests.
TEST(Explain, RequestNumbersAreScopedToOneIncarnation) {
  std::vector<std::string> Restarted = Logs;
  Restarted.insert(Restarted.end(),
                   {"2026-01-01T00:00:01.000000Z node=b event=1801 "
                    "node-started node=b",
                    "2026-01-01T00:00:01.000100Z node=b event=1301 "
                    "work-queued work=7 id=r3"});
  CHECK_EQUAL(6U, linesOfRequest("r1", parsed(Restarted)).size());
}

// A retry goes to another owner after the first owner queued its attempt. That
// later time must not count as clock skew against the first attempt.
TEST(Explain, EachAttemptIsComparedWithTheTimeItWasSent) {
  std::vector<std::string> Moved = {
      "2026-01-01T00:00:00.000100Z node=a event=1101 owner-chosen request=1 "
      "id=r1 attempt=7 owner=b",
      "2026-01-01T00:00:00.000200Z node=b event=1301 work-queued work=1 id=r1 "
      "attempt=a.5.7",
      "2026-01-01T00:00:00.000300Z node=a event=1101 owner-chosen request=1 "
      "id=r1 attempt=8 owner=c",
      "2026-01-01T00:00:00.000400Z node=c event=1301 work-queued work=1 id=r1 "
      "attempt=a.5.8"};
  CHECK(clockSkewWarnings(parsed(Moved)).empty());
}
