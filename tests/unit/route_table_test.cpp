#include "fulmarshelf/detail/membership/gossip_message.hpp" // SyncReply
#include "fulmarshelf/detail/routing/weighted_round_robin.hpp" // WeightedRoundRobin
#include "fulmarshelf/detail/settings/registry.hpp" // SettingsRegistry

#include <map> // map

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

namespace {

RouteTable exampleTable() {
  RouteTable Table;
  Table.Services_ = {{"shop", "/health", 10}, {"deep", "/up", 5}};
  Table.Routes_ = {
      {"a.example", "/", {{"shop", 1}}, true, millis(800), millis(500), 7, 2},
      {"a.example",
       "/x/",
       {{"deep", 3}, {"shop", 1}},
       false,
       millis(900),
       millis(400),
       9,
       1},
      {"b.example",
       "/x/",
       {{"shop", 1}},
       true,
       millis(700),
       millis(300),
       1,
       3}};
  Table.Limits_ = {4096, 100'000, millis(3000), millis(15'000)};
  return Table;
}

SubtreeVersion versionOf(std::uint64_t Number, const RouteTable &Table) {
  return {std::string(RouteTablePath), Number, false, formatRouteTable(Table)};
}

} // namespace

TEST_GROUP(RouteTables){};

TEST(RouteTables, TextRoundTrips) {
  Checked<RouteTable> Read =
      parseRouteTable("routes", formatRouteTable(exampleTable()));
  CHECK(Read.has_value());
  CHECK(Read.value() == exampleTable());
}

// A line of over 198 bytes, a section's name of over 49 and what the reader
// takes for a comment made a route or a service unreadable.
TEST(RouteTables, TextsOfAnyLengthAndContentRoundTrip) {
  std::vector<std::string> Texts = {
      "",    " a ", "a ;b", "#a",           "a=b:c", "a]b[", "\"a\"",
      "a,b", "%41", "a\\b", "\u00fc\u20ac", "{{a}}", "\t",   "null"};
  for (std::size_t Length :
       {41, 42, 49, 50, 127, 128, 198, 199, 255, 256, 1000, 16'000, 300'000})
    Texts.push_back(std::string(Length, 'x'));
  Texts.push_back(std::string(300, ';'));
  for (const std::string &Text : Texts) {
    RouteTable Table = exampleTable();
    Table.Services_.push_back({Text, "/" + Text, 7});
    Table.Routes_.push_back({Text, "/" + Text + "/", {{Text, 3}, {"shop", 1}}});
    Table.Routes_.back().Timeout_ = Table.Routes_.back().LatencyTarget_ =
        millis(700);
    Table.Routes_.push_back(Table.Routes_.front());
    Checked<RouteTable> Read =
        parseRouteTable("routes", formatRouteTable(Table));
    CHECK_TEXT(Read.has_value(), Text.substr(0, 60).c_str());
    CHECK_TEXT(Read.value() == Table, Text.substr(0, 60).c_str());
  }
}

// As much as an object of the store holds, passed on to another node.
TEST(RouteTables, ThousandsOfLongRoutesComeIntoForce) {
  RouteTable Table = exampleTable();
  for (unsigned Number = 0; Number < 3000; ++Number) {
    Table.Routes_.push_back(Table.Routes_.front());
    Table.Routes_.back().Prefix_ =
        "/" + std::to_string(Number) + std::string(330, 'x') + "/";
  }
  RouteTable Next = Table;
  Next.Routes_.back().Prefix_ += "y/";
  SettingsRegistry Registry;
  SyncReply Passed;
  CHECK(decode(encode(SyncReply{true, {}, {versionOf(1, Table)}, {}}), Passed));
  CHECK(Registry.apply(Passed.Subtrees_.front()) == ApplyResult::Applied);
  CHECK(*Registry.routes() == Table);
  CHECK(Registry.apply(versionOf(2, Next)) == ApplyResult::Applied);
  CHECK(*Registry.routes() == Next);
}

TEST(RouteTables, MalformedQuotesAreFaults) {
  Checked<RouteTable> Read = parseRouteTable(
      "routes", "[service s]\n[route 1]\nhost = \"h\nprefix = /\nservices = "
                "s:1\ntimeout-ms = 5\n[route 2]\nhost = h\nprefix = \"7\n"
                "services = \"s:1\ntimeout-ms = 5\n[service \"a]\n");
  CHECK_FALSE(Read.has_value());
  CHECK(Read.error().size() >= 4);
}

TEST(RouteTables, LongestPrefixOfTheHostMatches) {
  RouteTable Table = exampleTable();
  CHECK(findRoute(Table, "a.example", "/x/1") == &Table.Routes_[1]);
  CHECK(findRoute(Table, "a.example", "/xy/1") == &Table.Routes_[0]);
  CHECK(findRoute(Table, "b.example", "/x/") == &Table.Routes_[2]);
  CHECK(findRoute(Table, "b.example", "/y/") == nullptr);
  CHECK(findRoute(Table, "c.example", "/x/") == nullptr);
}

TEST(RouteTables, FaultsAreCollectedWithTheirLines) {
  Checked<RouteTable> Read = parseRouteTable(
      "routes", "[service a]\n[route 1]\nhost = h\nprefix = x\nservices = b:0\n"
                "timeout-ms = none\ncolour = red\n");
  CHECK_FALSE(Read.has_value());
  CHECK(Read.error().size() >= 4);
  for (const Finding &Fault : Read.error())
    CHECK(Fault.File_ == "routes");
}

TEST(RouteTables, OlderVersionIsNotApplied) {
  SettingsRegistry Registry;
  RouteTable Newer = exampleTable();
  Newer.Routes_.pop_back();
  CHECK(Registry.apply(versionOf(9, Newer)) == ApplyResult::Applied);
  CHECK(Registry.apply(versionOf(8, exampleTable())) == ApplyResult::NotNewer);
  CHECK(*Registry.routes() == Newer);
}

TEST(RouteTables, FaultyVersionLeavesThePreviousInForce) {
  SettingsRegistry Registry;
  Registry.apply(versionOf(1, exampleTable()));
  CHECK(Registry.apply({std::string(RouteTablePath), 2, false,
                        "[route 1]\nhost = h\n"}) == ApplyResult::Faulty);
  CHECK(*Registry.routes() == exampleTable());
  CHECK(Registry.versionOf(std::string(RouteTablePath)) == 1);
}

TEST(RouteTables, TeamsCanOnlyReduceRouteLimits) {
  SettingsRegistry Registry;
  Registry.apply(versionOf(1, exampleTable()));
  Registry.apply({"/team", 1, false,
                  "[team]\nservices = shop, deep\n[defaults]\nimportance = 3\n"
                  "patience-ms = 5000\nretries = 9\nidempotent = yes\n"
                  "[service shop]\npatience-ms = 100\n"});
  const std::vector<Route> &Routes = Registry.routes()->Routes_;
  EffectiveRules Deep =
      Registry.effective(Routes[1], "deep", "POST", "/x/", "guest");
  CHECK(Deep.Patience_ == millis(900));
  CHECK(Deep.Retries_ == 0);
  CHECK_FALSE(Deep.Idempotent_);
  CHECK(Deep.Importance_ == 3);
  EffectiveRules Shop =
      Registry.effective(Routes[0], "shop", "GET", "/", "guest");
  CHECK(Shop.Patience_ == millis(100));
  CHECK(Shop.Retries_ == 1);
}

TEST(RouteTables, SharesStayWithinOneRequestOfTheirWeights) {
  WeightedRoundRobin Selector;
  std::map<std::string, int> Selected;
  for (int Number = 1; Number <= 1000; ++Number) {
    ++Selected[Selector.next({{"a", 7}, {"b", 2}, {"c", 1}, {"d", 0}})];
    CHECK(std::abs(Selected["a"] - Number * 0.7) <= 1);
    CHECK(std::abs(Selected["b"] - Number * 0.2) <= 1);
  }
  CHECK(Selected["d"] == 0);
}
