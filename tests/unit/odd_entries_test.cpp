#include "fulmarshelf/detail/engine/engine.hpp"             // statusJson
#include "fulmarshelf/detail/membership/gossip_message.hpp" // decode
#include "fulmarshelf/detail/settings/route_table.hpp"      // parseRouteTable
#include "fulmarshelf/detail/shell/announcement_codec.hpp"  // parseAnnouncement
#include "fulmarshelf/detail/shell/store_documents.hpp"     // parseSubtree
#include "fulmarshelf/detail/wire/json_reader.hpp"          // MaxJsonDepth
#include "platform/config_codec.hpp"                        // parseConfig
#include "platform/platform_dialect.hpp"                    // PlatformDialect

#include <nlohmann/json.hpp> // json, to_cbor

#include <random> // mt19937_64

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;
using Json = nlohmann::json;

namespace {

const std::string Sound =
    R"({"metadata":{"name":"kwan","revision":4},)"
    R"("spec":{"text":"[team]\nservices = a\n","writes":[]}})";

std::string nested(std::size_t Depth, const std::string &Open,
                   const std::string &Close) {
  std::string Text;
  for (std::size_t Level = 0; Level < Depth; ++Level)
    Text += Open;
  Text += "1";
  for (std::size_t Level = 0; Level < Depth; ++Level)
    Text += Close;
  return Text;
}

// Values that another writer may leave in place of a number or a document.
std::vector<std::string> oddValues() {
  return {nested(500'000, "[", "]"),
          nested(100'000, R"({"a":)", "}"),
          "1e999",
          "-1e400",
          std::string(400, '9'),
          "18446744073709551616",
          "1099511627776",
          "-1",
          "0.5",
          "1e30",
          "true",
          "null",
          "\"4\"",
          "[]",
          "{}"};
}

std::string listOf(const std::vector<std::string> &Items) {
  std::string List = R"({"store_revision":9,"has_more":false,"items":[)";
  const char *Separator = "";
  for (const std::string &Item : Items) {
    List.append(Separator).append(Item);
    Separator = ",";
  }
  return List.append("]}");
}

std::string changesOf(const std::string &First, const std::string &Second) {
  return R"({"store_revision":9,"events":[{"object":)" + First +
         R"(},{"object":)" + Second + R"(,"deleted":false}]})";
}

std::string configWith(const std::string &Column, const std::string &Value) {
  return R"({"version":"1f","services":{"columns":["name"],"rows":[["s"]]},)"
         R"("routes":{"columns":["host","path_prefix","service","kind",)"
         R"("timeout_ms","priority","max_attempts"],"rows":[)"
         R"(["h","/sound/","s","safe",800,1,2],["h","/odd/","s","safe",)" +
         (Column == "timeout_ms" ? Value : "800") + "," +
         (Column == "priority" ? Value : "1") + "," +
         (Column == "max_attempts" ? Value : "2") + "]]}}";
}

} // namespace

TEST_GROUP(OddEntries){};

TEST(OddEntries, OtherEntriesOfAListAreRead) {
  for (const std::string &Value : oddValues())
    for (const std::string &Odd :
         {R"({"metadata":{"name":"odd","revision":5},"spec":)" + Value + "}",
          R"({"metadata":{"name":"odd","revision":)" + Value +
              R"(},"spec":"x"})",
          R"({"metadata":)" + Value + R"(,"spec":"x"})", Value}) {
      StorePage Page;
      CHECK(parseList(listOf({Odd, Sound}), Page));
      CHECK(Page.Objects_.back().Name_ == "kwan");
      CHECK(Page.Objects_.back().Revision_ == 4);
    }
}

// A subtree whose object cannot be read is not deleted.
TEST(OddEntries, EntryWithAnUnreadableRevisionIsListedWithoutAVersion) {
  StorePage Page;
  CHECK(parseList(
      listOf({R"({"metadata":{"name":"odd","revision":-1},"spec":"x"})"}),
      Page));
  std::string Fault;
  std::optional<SubtreeVersion> Odd = parseSubtree(
      Collection::Teams, Page.Objects_.front(), std::nullopt, Fault);
  CHECK(Odd->Path_ == "/odd");
  CHECK(Odd->Version_ == 0);
}

TEST(OddEntries, OtherChangesOfAWatchAreRead) {
  for (const std::string &Value : oddValues()) {
    StorePage Page;
    CHECK(parseChanges(changesOf(Value, Sound), Page));
    CHECK(Page.Objects_.back().Name_ == "kwan");
  }
}

TEST(OddEntries, OtherRoutesStayInForce) {
  for (const char *Column : {"timeout_ms", "priority", "max_attempts"})
    for (const std::string &Value : oddValues()) {
      std::variant<ReadableConfig, UnreadableConfig> Parsed =
          parseConfig(configWith(Column, Value));
      const ReadableConfig *Readable = std::get_if<ReadableConfig>(&Parsed);
      CHECK(Readable != nullptr);
      CHECK(Readable->Version_.Text_.find("/sound/") != std::string::npos);
      CHECK(Readable->Version_.Text_.find("/odd/") != std::string::npos);
    }
}

TEST(OddEntries, LongPrefixKeepsItsRoute) {
  for (std::size_t Length : {127, 128, 198, 199, 211, 256, 1000, 16'000}) {
    std::string Prefix = "/sound/" + std::string(Length - 8, 'x') + "/";
    std::string Spec = configWith("priority", "1");
    Spec.replace(Spec.find("/odd/"), 5, Prefix);
    std::variant<ReadableConfig, UnreadableConfig> Parsed = parseConfig(Spec);
    const ReadableConfig &Readable = std::get<ReadableConfig>(Parsed);
    CHECK(Readable.Faults_.empty());
    RouteTable Table =
        parseRouteTable("routes", Readable.Version_.Text_).value();
    const Route *Found = findRoute(Table, "h", Prefix + "1");
    CHECK(Found != nullptr);
    CHECK(Found->Prefix_ == Prefix);
    CHECK_FALSE(Found->OutOfService_);
  }
}

TEST(OddEntries, NumberThatIsTooLargeTakesItsRouteOutOfService) {
  for (const char *Value : {"1e30", "18446744073709551616", "1e999", "-1"}) {
    std::variant<ReadableConfig, UnreadableConfig> Parsed =
        parseConfig(configWith("max_attempts", Value));
    const std::string &Text = std::get<ReadableConfig>(Parsed).Version_.Text_;
    CHECK(Text.find("out-of-service = yes") != std::string::npos);
  }
}

TEST(OddEntries, RepeatedServiceDoesNotMakeTheTableUnreadable) {
  std::string Spec = configWith("priority", "1");
  const std::string Row = R"([["s"]])";
  Spec.replace(Spec.find(Row), Row.size(), R"([["s"],["s"]])");
  std::variant<ReadableConfig, UnreadableConfig> Parsed = parseConfig(Spec);
  const ReadableConfig &Readable = std::get<ReadableConfig>(Parsed);
  CHECK_EQUAL(1U, Readable.Faults_.size());
  Checked<RouteTable> Table = parseRouteTable("table", Readable.Version_.Text_);
  CHECK(bool(Table));
  CHECK_EQUAL(2U, Table.value().Routes_.size());
}

// An instance id that is not UTF-8 was taken, and ended the node when an
// operator asked for its status.
TEST(OddEntries, InstanceIdsAreVisibleAscii) {
  PlatformDialect Dialect("s", {"10.0.0.1", 80});
  for (const char *Id : {"i-\xff\xfe", "i-\xc3\xa9", "i-\x01", "i\x7f"}) {
    std::string Target = std::string("/fulmarshelf/instances/") + Id;
    CHECK(std::holds_alternative<MalformedNotice>(
        Dialect.decodeNotice({"DELETE", Target, {}, {}})));
  }
}

// Whatever the state holds, the page of an operator must not end the node.
TEST(OddEntries, StatusPageShowsTextsThatAreNotUtf8) {
  EngineConfig Config;
  Config.Settings_.Name_ = "node-\xff";
  Engine Core(Config);
  Core.start(TimePoint(millis(1)));
  BackendAnnounced Announced;
  Announced.Announcement_ = {"s\xfe", {"10.0.0.1", 80},      4,
                             4,       BackendState::Serving, "i-\xff"};
  Core.handle(TimePoint(millis(2)), Announced);
  CHECK(statusJson(Core.state()).find("node-") != std::string::npos);
}

TEST(OddEntries, HeartbeatsAreRejected) {
  PlatformDialect Dialect("s", {"10.0.0.1", 80});
  for (const char *Field : {"service", "address", "slots", "state", "sequence",
                            "born", "cold_remaining_ms"})
    for (const std::string &Value : oddValues()) {
      Json Body = {{"service", "s"},     {"address", "10.0.0.1:80"},
                   {"slots", 4},         {"state", "ready"},
                   {"sequence", 1},      {"born", 1},
                   {"zone", "somewhere"}};
      Body[Field] = "@";
      std::string Text = Body.dump();
      Text.replace(Text.find("\"@\""), 3, Value);
      BackendNotice Notice =
          Dialect.decodeNotice({"PUT", "/fulmarshelf/instances/i-1", {}, Text});
      bool Valid = Value == "1099511627776" ||
                   (Value == "\"4\"" && Field == std::string("service"));
      CHECK(std::holds_alternative<MalformedNotice>(Notice) || Valid);
    }
}

TEST(OddEntries, PortsOutOfRangeAreRejected) {
  PlatformDialect Dialect("s", {"10.0.0.1", 80});
  for (const char *Address :
       {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:65616",
        "10.0.0.1:1e9", "10.0.0.1:", "10.0.0.1:18446744073709551696"}) {
    Endpoint Parsed;
    CHECK_FALSE(parseEndpoint(Address, Parsed));
    NodeAddresses Node;
    Json Spec = {{"peer", Address}, {"operator", "10.0.0.1:80"}};
    CHECK_FALSE(parseAddresses({"n", 1, false, Spec.dump()}, Node));
  }
}

TEST(OddEntries, MessagesOfPeersAreRejected) {
  GossipMessage Decoded;
  GossipMessage Message;
  Message.From_ = "a";
  Message.Members_ = {Member()};
  Message.StoreEra_ = 1;
  Message.Evidence_.Node_ = "b"; // the last field
  Json Sound = Json::from_cbor(encode(Message));
  // A field that this release does not know is ignored, unless it is nested too
  // deeply.
  for (unsigned Depth : {20U, 40U}) {
    Json Longer = Sound;
    Longer.push_back(Json::parse(nested(Depth, "[", "]")));
    std::string Bytes;
    Json::to_cbor(Longer, Bytes);
    CHECK(decode(Bytes, Decoded) == (Depth < MaxJsonDepth));
  }
  CHECK_FALSE(decode(std::string(60'000, '\x81'), Decoded));
  Json Numbers = {-1, 0.5, 1e300, 65'536 + 80, "80", nullptr};
  for (const Json &Number : Numbers) {
    Json Odd = Sound;
    Odd[4][1] = Number; // port of the target
    std::string Bytes;
    Json::to_cbor(Odd, Bytes);
    CHECK_FALSE(decode(Bytes, Decoded));
    Odd = Sound;
    Odd[7][0][4][1] = Number; // port of a member
    Bytes.clear();
    Json::to_cbor(Odd, Bytes);
    CHECK_FALSE(decode(Bytes, Decoded));
  }
  for (const Json &Number : {Json(-1), Json(0.5), Json("80"), Json(nullptr)}) {
    Json Odd = Sound;
    Odd[12][2] = Number; // age of the evidence
    std::string Bytes;
    Json::to_cbor(Odd, Bytes);
    CHECK_FALSE(decode(Bytes, Decoded));
  }
}

TEST(OddEntries, AnnouncementsAreRejected) {
  for (const char *Field : {"slots", "connections"})
    for (const std::string &Value : oddValues()) {
      std::string Text = R"({"service":"s","address":"127.0.0.1:80","slots":)" +
                         (Field == std::string("slots") ? Value : "4") +
                         R"(,"connections":)" +
                         (Field == std::string("slots") ? "4" : Value) + "}";
      Announcement Read;
      CHECK_FALSE(parseAnnouncement(Text, Read));
    }
}

// Every decoder reads texts of random tokens without ending the process.
TEST(OddEntries, RandomTokensNeverCrashTheDecoders) {
  std::mt19937_64 Random(47);
  const std::vector<std::string> Tokens = {"[",
                                           "]",
                                           "{",
                                           "}",
                                           ",",
                                           ":",
                                           "\"",
                                           "\\",
                                           "1e999",
                                           "-0",
                                           "\"spec\"",
                                           "null",
                                           "\"items\"",
                                           "\"rows\"",
                                           "\"columns\"",
                                           "\"metadata\"",
                                           "\"revision\"",
                                           "9",
                                           "\"store_revision\"",
                                           "-",
                                           "1e",
                                           "[[[[[[[",
                                           "\"name\":\"a\""};
  for (unsigned Round = 0; Round < 20'000; ++Round) {
    std::string Text;
    for (std::uint64_t Count = Random() % 40; Count > 0; --Count)
      Text += Tokens[Random() % Tokens.size()];
    StorePage Page;
    SettingsDocument Document;
    Announcement Announced;
    parseList(Text, Page);
    parseChanges(Text, Page);
    parseConfig(Text);
    parseDocument(Text, Document);
    parseAnnouncement(Text, Announced);
  }
}
