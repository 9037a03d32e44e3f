#include "platform/backend_codec.hpp"    // encodeHeartbeat
#include "platform/config_codec.hpp"     // parseConfig
#include "platform/platform_dialect.hpp" // PlatformDialect
#include "platform/store_codec.hpp"      // parseList

#include "fulmarshelf/detail/engine/answers.hpp" // notRun

#include <random> // mt19937_64

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

namespace {

const std::string Config =
    R"({"version":"0000001f","routes":{"columns":["name","host","path_prefix",)"
    R"("kind","timeout_ms","target_latency_ms","priority","traffic_split",)"
    R"("max_attempts","service"],"rows":[["r1","Shop.example","/a/","safe",800,)"
    R"(1500,2,[{"service":"s1","weight":90},{"service":"s2","weight":10}],2,)"
    R"(null],["r2","shop.example","/b/","unsafe",1000,1500,0,null,null,"s2"]]},)"
    R"("services":{"columns":["name","health_path","max_connections"],"rows":)"
    R"([["s1","/health",574],["s2","/up",190]]},"limits":{"max_header_bytes":)"
    R"(16384,"max_body_bytes":1000,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"added_later":{"x":1}})";

const std::string Heartbeat =
    R"({"service":"s1","address":"10.0.0.9:80","zone":"z","version":"v1",)"
    R"("slots":36,"state":"ready","cold_remaining_ms":1500,"sequence":4,)"
    R"("born":1700000000000,"new_field":{}})";

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  return Text.replace(Text.find(Old), Old.size(), New);
}

HttpRequest heartbeat(const std::string &Body) {
  return {"PUT", "/fulmarshelf/instances/i-7", {}, Body};
}

const std::string *fieldOf(const std::vector<Header> &Headers,
                           const char *Name) {
  return findHeader(Headers, Name);
}

} // namespace

TEST_GROUP(Platform) {
  PlatformDialect Dialect_{"s1", Endpoint{"10.0.0.9", 80}};
  std::mt19937_64 Random_{5};

  static ReadableConfig readable(const std::string &Spec) {
    std::variant<ReadableConfig, UnreadableConfig> Read = parseConfig(Spec);
    return std::get<ReadableConfig>(Read);
  }

  bool isMalformed(const std::string &Body) {
    return std::holds_alternative<MalformedNotice>(
        Dialect_.decodeNotice(heartbeat(Body)));
  }
};

TEST(Platform, ConfigurationBecomesARouteTable) {
  std::variant<ReadableConfig, UnreadableConfig> Read = parseConfig(Config);
  const ReadableConfig *Readable = std::get_if<ReadableConfig>(&Read);
  CHECK(Readable != nullptr);
  CHECK(Readable->Faults_.empty());
  CHECK(Readable->Version_.Version_ == 0x1f);
  Checked<RouteTable> Table =
      parseRouteTable("routes", Readable->Version_.Text_);
  CHECK(Table.has_value());
  const Route &First = Table.value().Routes_[0];
  CHECK(First.Host_ == "shop.example");
  CHECK(First.Services_ == (std::vector<ServiceShare>{{"s1", 90}, {"s2", 10}}));
  CHECK(First.Importance_ == 7); // priority 2 counts down from importance 9
  const Route &Second = Table.value().Routes_[1];
  CHECK_FALSE(Second.Idempotent_);
  CHECK(Second.Importance_ == 9);
  CHECK(Second.Attempts_ == 1);
  CHECK(Table.value().Limits_.BodyBytes_ == 1000);
}

// A limit on heads above the largest one that a node takes made the defaults
// replace all limits of the operator.
TEST(Platform, LimitOnHeadsIsCappedAtTheLargestHead) {
  for (const char *Limit : {"1048577", "4294967295"}) {
    ReadableConfig Read = readable(replaced(Config, "16384", Limit));
    Checked<RouteTable> Table = parseRouteTable("routes", Read.Version_.Text_);
    CHECK(Table.has_value());
    CHECK(Table.value().Limits_.HeaderBytes_ == MaxCallerHeadBytes);
    CHECK(Table.value().Limits_.BodyBytes_ == 1000);
  }
}

TEST(Platform, UnreadableConfigurationReportsTheReason) {
  for (const char *Old : {"\"0000001f\"", "\"rows\"", "\"services\":"}) {
    std::variant<ReadableConfig, UnreadableConfig> Read =
        parseConfig(replaced(Config, Old, "\"zz\""));
    const UnreadableConfig *Unreadable = std::get_if<UnreadableConfig>(&Read);
    CHECK(Unreadable != nullptr);
    CHECK_FALSE(Unreadable->Detail_.empty());
  }
  CHECK(std::holds_alternative<UnreadableConfig>(
      parseConfig(Config.substr(0, 100))));
}

// One route of a kind that was not known made every node discard the whole
// table, so that no request was served.
TEST(Platform, RouteOfAnUnknownKindIsNotRepeated) {
  ReadableConfig Read = readable(replaced(Config, "\"safe\"", "\"zz\""));
  CHECK_EQUAL(1U, Read.Faults_.size());
  RouteTable Table = parseRouteTable("routes", Read.Version_.Text_).value();
  CHECK_EQUAL(2U, Table.Routes_.size());
  CHECK_FALSE(Table.Routes_[0].OutOfService_);
  CHECK_FALSE(Table.Routes_[0].Idempotent_);
}

TEST(Platform, UploadsAreNotRepeated) {
  ReadableConfig Read = readable(replaced(Config, "\"safe\"", "\"upload\""));
  CHECK(Read.Faults_.empty());
  RouteTable Table = parseRouteTable("routes", Read.Version_.Text_).value();
  CHECK_FALSE(Table.Routes_[0].Idempotent_);
}

TEST(Platform, UnreadableRouteIsOutOfServiceAlone) {
  for (const char *Old : {"800", "\"safe\"", "\"weight\":90"}) {
    std::string New = *Old == '8' ? "\"zz\"" : "\"weight\":0";
    if (std::string(Old) == "\"safe\"")
      New = "7";
    std::string Text = replaced(Config, Old, New);
    if (New == "\"weight\":0")
      Text = replaced(Text, "\"weight\":10", New);
    ReadableConfig Read = readable(Text);
    CHECK_EQUAL(1U, Read.Faults_.size());
    RouteTable Table = parseRouteTable("routes", Read.Version_.Text_).value();
    CHECK_EQUAL(2U, Table.Routes_.size());
    CHECK(Table.Routes_[0].OutOfService_);
    CHECK(Table.Routes_[0].Prefix_ == "/a/");
    CHECK_FALSE(Table.Routes_[1].OutOfService_);
  }
}

// Without the route, one with a shorter prefix would take its requests.
TEST(Platform, RouteWithoutReadablePathRejectsTheConfiguration) {
  for (const char *New : {"7", "\"a\"", "null"}) {
    std::variant<ReadableConfig, UnreadableConfig> Parsed =
        parseConfig(replaced(Config, "\"/a/\"", New));
    const UnreadableConfig *Unreadable = std::get_if<UnreadableConfig>(&Parsed);
    CHECK(Unreadable != nullptr);
    CHECK(Unreadable->Detail_.find("route 1") != std::string::npos);
  }
}

TEST(Platform, UnreadableServiceEntryGetsDefaults) {
  ReadableConfig Read = readable(replaced(Config, "\"/up\"", "7"));
  CHECK_EQUAL(1U, Read.Faults_.size());
  RouteTable Table = parseRouteTable("routes", Read.Version_.Text_).value();
  CHECK_EQUAL(2U, Table.Services_.size());
  CHECK(findService(Table, "s2")->HealthPath_ == "/health");
}

TEST(Platform, DamagedConfigurationsYieldAValidTableOrAReason) {
  for (int Round = 0; Round < 3000; ++Round) {
    std::string Bytes = Config;
    for (int Flip = 0; Flip < 3; ++Flip)
      Bytes[Random_() % Bytes.size()] = static_cast<char>(Random_());
    std::variant<ReadableConfig, UnreadableConfig> Read = parseConfig(Bytes);
    if (const ReadableConfig *Readable = std::get_if<ReadableConfig>(&Read))
      CHECK(parseRouteTable("routes", Readable->Version_.Text_).has_value());
  }
}

TEST(Platform, HeartbeatsAreDecoded) {
  BackendNotice Notice = Dialect_.decodeNotice(heartbeat(Heartbeat));
  const BackendAnnounced *Announced = std::get_if<BackendAnnounced>(&Notice);
  CHECK(Announced != nullptr);
  CHECK(Announced->Announcement_.Instance_ == "i-7");
  CHECK(Announced->Announcement_.Slots_ == 36);
  CHECK(Announced->Announcement_.State_ == BackendState::Serving);
  CHECK(Announced->ColdFor_ == millis(1500));
  CHECK(*Announced->Order_ == (AnnouncementOrder{1700000000000, 4}));
}

TEST(Platform, MalformedHeartbeatsAreRejected) {
  CHECK(isMalformed(""));
  CHECK(isMalformed("[]"));
  CHECK(isMalformed(replaced(Heartbeat, "36", "\"36\"")));
  CHECK(isMalformed(replaced(Heartbeat, "36", "-1")));
  CHECK(isMalformed(replaced(Heartbeat, "36", "0")));
  CHECK(isMalformed(replaced(Heartbeat, "\"ready\"", "\"resting\"")));
  CHECK(isMalformed(replaced(Heartbeat, "\"sequence\":4,", "")));
  CHECK(isMalformed(replaced(Heartbeat, "10.0.0.9:80", "host:80")));
  CHECK(isMalformed(replaced(Heartbeat, "10.0.0.9:80", "10.0.0.8:80")));
  CHECK(isMalformed(replaced(Heartbeat, "1700000000000", "1.5")));
}

TEST(Platform, DepartureNamesTheInstance) {
  BackendNotice Notice =
      Dialect_.decodeNotice({"DELETE", "/fulmarshelf/instances/i-9", {}, {}});
  CHECK(std::get<BackendDeparted>(Notice).Instance_ == "i-9");
}

TEST(Platform, CallerServiceIsAlwaysTheLocalService) {
  IncomingRequest Decoded =
      Dialect_.decodeRequest({"GET",
                              "/a/1",
                              {{"Host", "Shop.Example:80"},
                               {"X-Fulmarshelf-Caller-Service", "forged"},
                               {"X-Fulmarshelf-Deadline-Ms", "250"},
                               {"X-Fulmarshelf-Request-Id", "id1"}},
                              {}});
  CHECK(Decoded.Metadata_.Host_ == "shop.example");
  CHECK(Decoded.Metadata_.CallerKind_ == "s1");
  CHECK(Decoded.Metadata_.TimeLeft_ == millis(250));
  DispatchWork Work;
  Work.Request_ = Decoded.Http_;
  Work.Metadata_ = {"", Micros(199'999), "i-7", "s1", "id1"};
  HttpRequest BackendRequest = Dialect_.encodeDispatch(Work);
  CHECK(*fieldOf(BackendRequest.Headers_, "X-Fulmarshelf-Caller-Service") ==
        "s1");
  CHECK(*fieldOf(BackendRequest.Headers_, "X-Fulmarshelf-Deadline-Ms") ==
        "199");
  CHECK(*fieldOf(BackendRequest.Headers_, "X-Fulmarshelf-Expect-Instance") ==
        "i-7");
  CHECK(*fieldOf(BackendRequest.Headers_, "X-Fulmarshelf-Request-Id") == "id1");
  CHECK(*fieldOf(BackendRequest.Headers_, "Host") == "Shop.Example:80");
}

TEST(Platform, OnlyNotRunRepliesInviteARetry) {
  AnswerCaller Answer;
  for (ErrorCode Error :
       {ErrorCode::Shed, ErrorCode::BackendFailed, ErrorCode::LinkFailed,
        ErrorCode::DeadlineExceeded, ErrorCode::BackendReplaced}) {
    Answer.Reply_ = notRun(Error, millis(250));
    HttpResponse Response = Dialect_.encodeResponse(Answer);
    CHECK(Response.Status_ == 503);
    CHECK(*fieldOf(Response.Headers_, "Retry-After") == "0.250");
    Answer.Reply_ = unknownOutcome(Error);
    Response = Dialect_.encodeResponse(Answer);
    CHECK(Response.Status_ == 502 || Response.Status_ == 504);
    CHECK(fieldOf(Response.Headers_, "Retry-After") == nullptr);
  }
}

// Clients and proxies repeat a request after 502 to 504.
TEST(Platform, RequestThatIsSetAsideIsAnsweredWithoutAnInvitationToRetry) {
  AnswerCaller Answer;
  Answer.Reply_ = unknownOutcome(ErrorCode::SetAside);
  HttpResponse Response = Dialect_.encodeResponse(Answer);
  LONGS_EQUAL(500, Response.Status_);
  CHECK(fieldOf(Response.Headers_, "Retry-After") == nullptr);
}

TEST(Platform, ResponsesToOtherRequestsAreRejected) {
  HttpRequest Request{"GET", "/", {{"X-Fulmarshelf-Request-Id", "id1"}}, {}};
  HttpResponse Matching{200, {{"X-Fulmarshelf-Request-Id", "id1"}}, {}};
  HttpResponse OtherResponse{200, {{"X-Fulmarshelf-Request-Id", "id2"}}, {}};
  auto MatchOf = [&](const HttpResponse &Response) {
    return Dialect_.inspectResponse(Request, Response).Match_;
  };
  CHECK(MatchOf(Matching) == ResponseMatch::Request);
  CHECK(MatchOf(OtherResponse) == ResponseMatch::OtherRequest);
  CHECK(MatchOf({200, {}, "whose?"}) == ResponseMatch::OtherRequest);
  CHECK(MatchOf({503, {}, {}}) == ResponseMatch::Unnamed);
}

TEST(Platform, ResponsesShowWhetherTheRequestRan) {
  CHECK_FALSE(Dialect_.decodeResponse({503, {}, {}}).NotExecuted_);
  ResponseMetadata Full =
      Dialect_.decodeResponse({503,
                               {{"X-Fulmarshelf-Not-Executed", "1"},
                                {"X-Fulmarshelf-Server-Load", "15,3,15,250"}},
                               {}});
  CHECK(Full.NotExecuted_);
  CHECK(*Full.Load_ == (BackendLoad{15, 3, 15, 250}));
  ResponseMetadata Misdirected = Dialect_.decodeResponse({421, {}, {}});
  CHECK(Misdirected.NotExecuted_ && Misdirected.OtherInstance_);
  CHECK_FALSE(
      Dialect_
          .decodeResponse({200, {{"X-Fulmarshelf-Server-Load", "1,x,3"}}, {}})
          .Load_.has_value());
}

TEST(Platform, ResponsesNameRateLimits) {
  auto Named = [this](std::vector<Header> Headers) {
    return Dialect_.decodeResponse({500, std::move(Headers), {}}).RateLimit_;
  };
  auto IsMalformed = [&Named](const std::string &Text) {
    return std::holds_alternative<MalformedRateLimit>(
        Named({{"Server-Limit", Text}}));
  };
  CHECK(Named({}) == NamedRateLimit());
  CHECK(Named({{"server-limit", "16.5"}}) == NamedRateLimit(16.5));
  CHECK(Named({{"Server-Limit", "0"}}) == NamedRateLimit(0.0));
  CHECK(Named({{"Server-Limit", "0.25"}}) == NamedRateLimit(0.25));
  CHECK(Named({{"Server-Limit", "7"}, {"Server-Limit", "3"}}) ==
        NamedRateLimit(3.0));
  for (const char *Text : {"", "-1", "+1", "1e3", "inf", "nan", "0x10", "1,5",
                           " 1", "1 ", "many", ".5"})
    CHECK_TEXT(IsMalformed(Text), Text);
  CHECK(IsMalformed(std::string(400, '9')));
  CHECK(std::holds_alternative<MalformedRateLimit>(
      Named({{"Server-Limit", "7"}, {"Server-Limit", "x"}})));
}

TEST(Platform, ResponsesSayThatTheServerLeaves) {
  CHECK_FALSE(Dialect_.decodeResponse({200, {}, {}}).Leaving_);
  CHECK(Dialect_.decodeResponse({500, {{"server-leaving", "1"}}, {}}).Leaving_);
  CHECK_FALSE(
      Dialect_.decodeResponse({200, {{"Server-Leaving", "0"}}, {}}).Leaving_);
}

TEST(Platform, StorePagesAndCallsRoundTrip) {
  StorePage Page{9, {{"main", 4, false, "{\"a\":1}"}}, true};
  StorePage Read;
  CHECK(parseList(encodeList(Page), Read));
  CHECK(Read == Page);
  Page.More_ = false;
  Page.Objects_.push_back({"gone", 5, true, "null"});
  CHECK(parseChanges(encodeChanges(Page), Read));
  CHECK(Read.Objects_[1].Deleted_);
  std::optional<StoreRequest> Call =
      parseStoreRequest(watchRequest("config", 77, 500));
  CHECK(Call->Kind_ == "config" && Call->Since_ == 77 && Call->WaitMs_ == 500);
  Call = parseStoreRequest(replaceRequest("k", "n", "{\"a\":1}", 6));
  CHECK(Call->Name_ == "n" && Call->Revision_ == 6);
  CHECK(Call->Object_.Spec_ == "{\"a\":1}");
  CHECK_FALSE(parseStoreRequest({"GET", "/other", {}, {}}).has_value());
}

TEST(Platform, DamagedInputNeverCrashesADecoder) {
  for (int Round = 0; Round < 5000; ++Round) {
    std::string Bytes = Round % 2 == 0 ? Config : Heartbeat;
    for (int Flip = 0; Flip < 3; ++Flip)
      Bytes[Random_() % Bytes.size()] = static_cast<char>(Random_());
    parseConfig(Bytes);
    Dialect_.decodeNotice(heartbeat(Bytes));
  }
}

TEST(Platform, NodeDecodesNoticesOfStandIns) {
  BackendAnnounced Announced;
  Announced.Announcement_.Service_ = "s1";
  Announced.Announcement_.Instance_ = "i-7";
  Announced.Announcement_.Address_ = {"10.0.0.9", 80};
  Announced.Announcement_.Slots_ = 4;
  Announced.Order_ = AnnouncementOrder{1700000000000, 3};
  BackendNotice Notice = Dialect_.decodeNotice(encodeHeartbeat(Announced));
  const BackendAnnounced *Read = std::get_if<BackendAnnounced>(&Notice);
  CHECK(Read != nullptr);
  CHECK(Read->Announcement_ == Announced.Announcement_);
  CHECK(Read->Order_ == Announced.Order_);
  CHECK(std::holds_alternative<BackendDeparted>(
      Dialect_.decodeNotice(encodeDeparture("i-7"))));
}

TEST(Platform, StandInResponsesShowWhetherTheRequestRan) {
  ReceivedDispatch Dispatch{"r-1", "i-7", millis(100)};
  ResponseMetadata Misdirected =
      Dialect_.decodeResponse(encodeNotExecutedResponse(Dispatch, 421));
  CHECK(Misdirected.OtherInstance_);
  CHECK(Misdirected.NotExecuted_);
  ResponseMetadata Full =
      Dialect_.decodeResponse(encodeNotExecutedResponse(Dispatch, 503));
  CHECK_FALSE(Full.OtherInstance_);
  CHECK(Full.NotExecuted_);
  ResponseMetadata Ran = Dialect_.decodeResponse(
      encodeExecutedResponse(Dispatch, {1, 2, 3, 100}, "x"));
  CHECK_FALSE(Ran.NotExecuted_);
  CHECK(Ran.Load_ == (BackendLoad{1, 2, 3, 100}));
}
