#include "fulmarshelf/detail/settings/team_settings.hpp" // parseTeamSettings
#include "fulmarshelf/detail/shell/node_shell.hpp"       // parseAnnouncement
#include "fulmarshelf/detail/shell/platform_codec.hpp"   // parseList

#include <random> // mt19937_64

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

namespace {

std::string damaged(const std::string &Good, std::mt19937_64 &Random) {
  std::string Bytes = Good;
  for (int Flip = 0; Flip < 3; ++Flip)
    Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
  if (Random() % 4 == 0)
    Bytes.resize(Random() % Bytes.size());
  return Bytes;
}

const std::string ListBody =
    R"({"revision":9,"items":[{"path":"/settings/kwan","version":4,)"
    R"("value":"{\"text\":\"[team]\\nservices = a\\n\",\"writes\":[]}"},)"
    R"({"path":"/other/x","version":2,"value":"y"}]})";

} // namespace

TEST_GROUP(Codecs) { std::mt19937_64 Random_{31}; };

TEST(Codecs, DocumentsSurvive) {
  SettingsDocument Document{"text", "before", {{"id", "ann"}}};
  SettingsDocument Read;
  CHECK(parseDocument(encodeDocument(Document), Read));
  CHECK(Read == Document);
}

TEST(Codecs, ListsHoldSettingsOnly) {
  StoreListed Listed;
  CHECK(parseList(ListBody, Listed));
  CHECK(Listed.Revision_ == 9);
  CHECK(Listed.Subtrees_.size() == 1);
  CHECK(Listed.Subtrees_.front().Path_ == "/kwan");
  CHECK(Listed.Subtrees_.front().Text_ == "[team]\nservices = a\n");
}

TEST(Codecs, ValueThatIsNoDocumentNeverPassesTheCheck) {
  StoreListed Listed;
  CHECK(parseList(R"({"revision":1,"items":[{"path":"/settings/a",)"
                  R"("version":1,"value":"nonsense"}]})",
                  Listed));
  CHECK_FALSE(
      parseTeamSettings("/a", Listed.Subtrees_.front().Text_).has_value());
}

TEST(Codecs, AnnouncementsAreChecked) {
  Announcement Told{"shop", {"127.0.0.1", 80}, 4, 10, BackendState::Draining};
  Announcement Read;
  CHECK(parseAnnouncement(encodeAnnouncement(Told), Read));
  CHECK(Read == Told);
  for (const char *Body :
       {"", "[]", "{}", R"({"service":"a"})",
        R"({"service":"a","address":"host:1","slots":1,"connections":1})",
        R"({"service":"a","address":"1.2.3.4:1","slots":0,"connections":1})",
        R"({"service":"a","address":"1.2.3.4:1","slots":-1,"connections":1})",
        R"({"service":7,"address":"1.2.3.4:1","slots":1,"connections":1})"})
    CHECK_FALSE(parseAnnouncement(Body, Read));
}

TEST(Codecs, QueriesAreDecoded) {
  CHECK(queryValue("/x?a=1&path=%2Fkwan", "path") == "/kwan");
  CHECK(queryValue("/x?a=1", "b").empty());
  CHECK(queryValue("/x?a=%zz%", "a") == "%zz%");
}

TEST(Codecs, DamagedInputNeverCrashesAParser) {
  const std::string Announced =
      encodeAnnouncement({"shop", {"127.0.0.1", 80}, 4, 10, {}});
  const std::string Settings = "[team]\nservices = a, b\n[route a /x]\n"
                               "importance = 9\nmethods = GET, POST\n";
  for (int Round = 0; Round < 5000; ++Round) {
    StoreListed Listed;
    StoreWatched Watched;
    PlatformObject Object;
    Announcement Told;
    parseList(damaged(ListBody, Random_), Listed);
    parseWatch(damaged(ListBody, Random_), Watched);
    parseObject(damaged(ListBody, Random_), Object);
    parseAnnouncement(damaged(Announced, Random_), Told);
    (void)parseTeamSettings("f", damaged(Settings, Random_));
    (void)parseNodeSettings("f", damaged(Settings, Random_));
  }
}
