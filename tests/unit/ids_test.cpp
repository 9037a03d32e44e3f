#include "fulmarshelf/detail/base/ids.hpp" // AttemptId

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

TEST_GROUP(Ids){};

TEST(Ids, AttemptIdRoundTripsThroughText) {
  AttemptId Read;
  CHECK(parseAttemptId(toString({"vm-1", 42, 7}), Read));
  CHECK(Read == (AttemptId{"vm-1", 42, 7}));
}

TEST(Ids, MalformedAttemptIdsAreRefused) {
  AttemptId Read;
  for (const char *Text :
       {"", ".", "..", "a", "a.1", "a.1.", "a..1", ".1.2", "a.b.1", "a.1.b",
        "a.1.-2", "a.99999999999999999999.1"})
    CHECK_FALSE(parseAttemptId(Text, Read));
}

TEST(Ids, NumbersMustSpanTheTextAndFit64Bits) {
  std::uint64_t Value = 5;
  CHECK(parseNumber("18446744073709551615", Value));
  CHECK(Value == UINT64_MAX);
  CHECK_FALSE(parseNumber("18446744073709551616", Value));
  CHECK_FALSE(parseNumber("1 ", Value));
  CHECK_FALSE(parseNumber("+1", Value));
}
