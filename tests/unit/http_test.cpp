#include "fulmarshelf/detail/shell/http1_session.hpp" // HttpServerSession
#include "fulmarshelf/detail/wire/http.hpp"           // serviceOf

#include <random> // mt19937_64

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

namespace {

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_GROUP(Http) {
  HttpServerSession Server_{HttpLimits{1024, 4096}};
  HttpRequest Request_;
};

TEST(Http, RequestArrivesInPieces) {
  std::string Bytes = "POST /shop/x?a=b HTTP/1.1\r\nHost: h\r\nA: b\r\n"
                      "Content-Length: 3\r\n\r\nabc";
  for (std::size_t Index = 0; Index + 1 < Bytes.size(); ++Index) {
    Server_.receive(Bytes.substr(Index, 1));
    CHECK_FALSE(Server_.nextRequest(Request_));
  }
  Server_.receive(Bytes.substr(Bytes.size() - 1));
  CHECK(Server_.nextRequest(Request_));
  CHECK(Request_.Body_ == "abc");
  CHECK(Request_.Headers_ == (std::vector<Header>{{"Host", "h"}, {"A", "b"}}));
}

TEST(Http, PipelinedRequestsAreTakenInTurn) {
  Server_.receive("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
  CHECK(Server_.nextRequest(Request_));
  CHECK(Request_.Target_ == "/a");
  CHECK_FALSE(Server_.nextRequest(Request_));
  Server_.respond({200, {}, "first"});
  CHECK(Server_.nextRequest(Request_));
  CHECK(Request_.Target_ == "/b");
}

TEST(Http, MalformedRequestIsAnsweredAsNotRun) {
  Server_.receive("\x16\x03\x01 nonsense\r\n\r\n");
  CHECK_FALSE(Server_.nextRequest(Request_));
  std::string Output = Server_.takeOutput();
  CHECK(contains(Output, "400 Bad Request"));
  CHECK(contains(Output, "Fulmarshelf-Outcome: not-run"));
  CHECK(Server_.wantsClose());
}

TEST(Http, OversizedBodyIsRefused) {
  Server_.receive("POST /a HTTP/1.1\r\nContent-Length: 5000\r\n\r\n");
  CHECK_FALSE(Server_.nextRequest(Request_));
  CHECK(contains(Server_.takeOutput(), "413"));
}

TEST(Http, HeaderFloodIsRefused) {
  std::string Flood = "GET /a HTTP/1.1\r\n";
  for (int Index = 0; Index < 200; ++Index)
    Flood += "X-" + std::to_string(Index) + ": value\r\n";
  Server_.receive(Flood + "\r\n");
  CHECK_FALSE(Server_.nextRequest(Request_));
  CHECK(Server_.wantsClose());
}

TEST(Http, FieldsOfTheNodeProtocolAreDropped) {
  Server_.receive("GET /a HTTP/1.1\r\nFs-Rank: 9\r\nB: c\r\n\r\n");
  CHECK(Server_.nextRequest(Request_));
  CHECK(Request_.Headers_ == (std::vector<Header>{{"B", "c"}}));
}

TEST(Http, ClientTakesAWholeAnswerOnly) {
  HttpClientSession Client{HttpLimits()};
  Client.send({"GET", "/", {}, {}}, "h");
  HttpResponse Response;
  CHECK(Client.receive("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab",
                       Response) == ClientResult::Waiting);
  CHECK(Client.end(Response) == ClientResult::Broken);
}

// Bytes after a complete response must never be parsed as another response.
TEST(Http, BytesBehindTheAnswerEndTheConnection) {
  HttpClientSession Client{HttpLimits()};
  Client.send({"GET", "/", {}, {}}, "h");
  HttpResponse Response;
  CHECK(Client.receive("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nabc",
                       Response) == ClientResult::Answered);
  CHECK(Response.Body_ == "a");
  CHECK_FALSE(Client.isReusable());
}

TEST(Http, BytesBetweenTwoAnswersEndTheConnection) {
  HttpClientSession Client{HttpLimits()};
  Client.send({"GET", "/", {}, {}}, "h");
  HttpResponse Response;
  Client.receive("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", Response);
  CHECK(Client.isReusable());
  CHECK(Client.receive("HTTP/1.1 200 OK\r\n", Response) ==
        ClientResult::Broken);
}

TEST(Http, AnswerOfAnotherRequestIsPassedOver) {
  HttpClientSession Client{HttpLimits()};
  Client.send({"GET", "/", {}, {}}, "h");
  HttpResponse Response;
  CHECK(Client.receive("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
                       "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb",
                       Response) == ClientResult::Answered);
  CHECK(Client.skipResponse(Response) == ClientResult::Answered);
  CHECK(Response.Body_ == "b");
}

TEST(Http, InterimResponsesAreSkipped) {
  HttpClientSession Client{HttpLimits()};
  Client.send({"GET", "/", {}, {}}, "h");
  HttpResponse Response;
  CHECK(Client.receive("HTTP/1.1 100 Continue\r\n\r\n", Response) ==
        ClientResult::Waiting);
  CHECK(Client.receive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                       Response) == ClientResult::Answered);
  CHECK(Response.Status_ == 200);
}

TEST(Http, IdleTimeIsAnnouncedTimeoutLessOneSecond) {
  HttpClientSession Client{HttpLimits()};
  Client.send({"GET", "/", {}, {}}, "h");
  HttpResponse Response;
  Client.receive("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10, max=5\r\n"
                 "Content-Length: 0\r\n\r\n",
                 Response);
  CHECK(Client.idleTime() == std::chrono::milliseconds(9000));
}

// Servers parse each of these framings differently, so that a second request
// could be hidden in the first (request smuggling).
TEST(Http, AmbiguousFramingIsRefused) {
  for (const char *Fields :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n", "A: b\r\n c\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n", "A: b\rC: d\r\n",
        "Content-Length: +3\r\n"}) {
    HttpServerSession Target{HttpLimits{1024, 4096}};
    Target.receive(std::string("POST /a HTTP/1.1\r\nHost: h\r\n") + Fields +
                   "\r\n3\r\nabc\r\n0\r\n\r\n");
    CHECK_FALSE(Target.nextRequest(Request_));
    CHECK(contains(Target.takeOutput(), "400 Bad Request"));
    CHECK(Target.wantsClose());
  }
}

TEST(Http, FieldsNamedByConnectionAreDropped) {
  Server_.receive("GET /a HTTP/1.1\r\nConnection: x-hop\r\nX-Hop: 1\r\n"
                  "B: c\r\n\r\n");
  CHECK(Server_.nextRequest(Request_));
  CHECK(Request_.Headers_ == (std::vector<Header>{{"B", "c"}}));
}

TEST(Http, LastAnswerAnnouncesTheEnd) {
  Server_.receive("GET /a HTTP/1.1\r\n\r\n");
  CHECK(Server_.nextRequest(Request_));
  Server_.closeAfterResponse();
  Server_.respond({200, {}, "x"});
  CHECK(contains(Server_.takeOutput(), "Connection: close"));
  CHECK(Server_.wantsClose());
}

TEST(Http, RandomBytesNeverCrashTheParsers) {
  std::mt19937_64 Random(11);
  const std::string Valid = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n3\r\nabc\r\n0\r\n\r\n";
  for (int Round = 0; Round < 5000; ++Round) {
    HttpServerSession Target{HttpLimits{1024, 4096}};
    HttpClientSession Client{HttpLimits{1024, 4096}};
    Client.send({"GET", "/", {}, {}}, "h");
    std::string Bytes = Valid;
    for (int Flip = 0; Flip < 3; ++Flip)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    HttpResponse Response;
    Target.receive(Bytes);
    Target.nextRequest(Request_);
    Client.receive(Bytes, Response);
  }
}

TEST(Http, TargetsNameTheirServiceAndRoute) {
  CHECK(serviceOf("/shop/x?y") == "shop");
  CHECK(serviceOf("/shop?y=/z") == "shop");
  CHECK(serviceOf("") == "");
  CHECK(serviceOf("x") == "");
  CHECK(routeKeyOf({"GET", "/shop/x/123?y", {}, {}}) == "GET /shop/x");
  CHECK(routeKeyOf({"GET", "/shop", {}, {}}) == "GET /shop");
}
