#include "fulmarshelf/detail/shell/http1_session.hpp" // HttpServerSession
#include "fulmarshelf/detail/shell/peer_codec.hpp"    // toPeer
#include "fulmarshelf/detail/shell/peer_session.hpp"  // PeerSession

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;

namespace {

constexpr HttpLimits Limits{1024 * 1024, 1024};
// Around the limits of Boost.Beast's fields and of nghttp2's.
constexpr std::size_t ValueSizes[] = {60'000, 65'400, 65'500, 65'533,  65'534,
                                      65'535, 65'536, 70'000, 131'000, 900'000};

CallMessage callWith(std::string Target, std::vector<Header> Headers) {
  CallMessage Message;
  Message.Attempt_ = {"a", 3, 9};
  Message.Context_.Root_ = "root";
  Message.Request_ = {"POST", std::move(Target), std::move(Headers), "body"};
  return Message;
}

std::vector<Header> manyFields(std::size_t Count, std::size_t ValueBytes) {
  std::vector<Header> Fields;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fields.push_back(
        {"x-" + std::to_string(Index), std::string(ValueBytes, 'v')});
  return Fields;
}

} // namespace

TEST_GROUP(LongHead) {
  HttpServerSession Server_{Limits};
  HttpClientSession Client_{Limits};
  HttpRequest Request_;
  HttpResponse Response_;
  PeerSession PeerClient_{PeerRole::Client};
  PeerSession PeerServer_{PeerRole::Server};

  void exchange() {
    for (int Round = 0; Round < 20; ++Round) {
      CHECK(PeerServer_.receive(PeerClient_.takeOutput()));
      CHECK(PeerClient_.receive(PeerServer_.takeOutput()));
    }
  }

  // Sends a call and its reply; both pass whole.
  void checkPasses(const CallMessage &Sent, const CallReply &Reply) {
    PeerClient_.request(toPeer(Sent));
    exchange();
    std::vector<PeerEvent> Events = PeerServer_.takeEvents();
    CHECK_EQUAL(1U, Events.size());
    const PeerReceived *Received = std::get_if<PeerReceived>(&Events.front());
    CHECK(Received != nullptr);
    PeerRequest Parsed = parsePeerRequest(Received->Message_);
    CHECK(std::get<CallMessage>(Parsed) == Sent);
    PeerServer_.respond(Received->Stream_, toPeer(Reply));
    exchange();
    Events = PeerClient_.takeEvents();
    CHECK_EQUAL(1U, Events.size());
    const PeerReceived *Answer = std::get_if<PeerReceived>(&Events.front());
    CHECK(Answer != nullptr);
    CallReply ParsedReply;
    CHECK(parseReply(Answer->Message_, ParsedReply));
    CHECK(ParsedReply == Reply);
  }
};

// A request with a field above 65,533 bytes ended the node.
TEST(LongHead, RequestFieldWithinTheLimitIsTaken) {
  for (std::size_t Size : ValueSizes) {
    Server_.receive("GET /a HTTP/1.1\r\nX-Long: " + std::string(Size, 'v') +
                    "\r\n\r\n");
    CHECK(Server_.nextRequest(Request_));
    CHECK_EQUAL(Size, Request_.Headers_.at(0).Value_.size());
    Server_.respond({200, Request_.Headers_, ""});
    CHECK(Server_.takeOutput().size() > Size);
  }
}

TEST(LongHead, TrailerWithinTheLimitIsTaken) {
  Server_.receive("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "0\r\nX-Long: " +
                  std::string(70'000, 'v') + "\r\n\r\n");
  CHECK(Server_.nextRequest(Request_));
}

TEST(LongHead, FieldAboveTheLimitIsRefused) {
  Server_.receive("GET /a HTTP/1.1\r\nX-Long: " + std::string(1'048'576, 'v') +
                  "\r\n\r\n");
  CHECK_FALSE(Server_.nextRequest(Request_));
  CHECK(Server_.takeOutput().starts_with("HTTP/1.1 431 "));
}

// The request to the backend server carries the fields of its caller.
TEST(LongHead, FieldsAreSentToTheBackendServer) {
  for (std::size_t Size : ValueSizes) {
    HttpRequest Sent{"GET", "/a", {{"X-Long", std::string(Size, 'v')}}, ""};
    CHECK(Client_.send(Sent, "h").size() > Size);
  }
}

// A response with a field above 65,533 bytes ended the node beside the server.
TEST(LongHead, ResponseFieldWithinTheLimitIsTaken) {
  for (std::size_t Size : ValueSizes) {
    Client_.send({"GET", "/a", {}, {}}, "h");
    CHECK(Client_.receive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Long: " +
                              std::string(Size, 'v') + "\r\n\r\n",
                          Response_) == ClientResult::Answered);
    CHECK_EQUAL(Size, Response_.Headers_.at(0).Value_.size());
  }
}

// A TRACE request with a body ended the node that sent it on.
TEST(LongHead, TraceWithABodyIsSent) {
  std::string Bytes = Client_.send({"TRACE", "/a", {}, "body"}, "h");
  CHECK(Bytes.ends_with("Content-Length: 4\r\n\r\nbody"));
}

// Heads above 64 KiB were served only where they reached no other node.
TEST(LongHead, OneLongFieldPassesBetweenNodes) {
  for (std::size_t Size : ValueSizes) {
    CallReply Reply;
    Reply.Outcome_ = Outcome::Complete;
    Reply.Response_ = {200, {{"x-own", std::string(Size, 'w')}}, "answer"};
    checkPasses(callWith("/s", {{"x-own", std::string(Size, 'v')}}), Reply);
  }
}

TEST(LongHead, ManyFieldsAndALongTargetPassBetweenNodes) {
  CallReply Reply;
  Reply.Outcome_ = Outcome::Complete;
  Reply.Response_ = {200, manyFields(60'000, 4), "answer"};
  checkPasses(callWith("/s", manyFields(130, 1000)), Reply);
  checkPasses(callWith("/s", manyFields(60'000, 4)), Reply);
  checkPasses(callWith("/s?" + std::string(131'000, 'q'), {}), Reply);
}

TEST(LongHead, MalformedPackedHeadResetsItsStreamOnly) {
  for (const char *Size : {"5", "x", "4294967296", "3"}) {
    PeerClient_.request({{{":method", "POST"},
                          {":scheme", "http"},
                          {":authority", "f"},
                          {":path", "/"},
                          {"fs-packed-head", Size}},
                         "9 9"});
    exchange();
    for (const PeerEvent &Event : PeerServer_.takeEvents())
      CHECK_FALSE(std::holds_alternative<PeerReceived>(Event));
    std::vector<PeerEvent> Events = PeerClient_.takeEvents();
    CHECK_EQUAL(1U, Events.size());
    CHECK(std::holds_alternative<PeerStreamEnded>(Events.front()));
  }
  checkPasses(callWith("/s", {}), CallReply());
}
