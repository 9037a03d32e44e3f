#include "fulmarshelf/detail/shell/store_client.hpp"    // StoreClient
#include "fulmarshelf/detail/shell/store_documents.hpp" // encodeDocument

#include <boost/asio/ip/tcp.hpp>     // tcp
#include <boost/asio/read.hpp>       // read
#include <boost/asio/read_until.hpp> // read_until
#include <boost/asio/write.hpp>      // write

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf;
namespace asio = boost::asio;
using asio::ip::tcp;

// A client and a store that answers each call with the next response.
TEST_GROUP(StoreClient) {
  asio::io_context Context_;
  tcp::acceptor Acceptor_{Context_, {asio::ip::make_address("127.0.0.1"), 0}};
  tcp::socket Connection_{Context_};
  std::vector<Input> Inputs_;
  NodeSettings Settings_ = settings();
  StoreClient Client_{Context_, Settings_,
                      [this](const Input &Event) { Inputs_.push_back(Event); }};

  NodeSettings settings() const {
    NodeSettings Result;
    Result.Name_ = "node-1";
    Result.Platform_ = {"127.0.0.1", Acceptor_.local_endpoint().port()};
    return Result;
  }

  static std::string page(std::uint64_t Era, std::uint64_t Revision,
                          const std::string &Name, bool More) {
    StorePage Page;
    Page.Revision_ = Revision;
    Page.Objects_ = {{Name, 7, false, encodeDocument(SettingsDocument())}};
    Page.More_ = More;
    std::string Body = encodeList(Page);
    Header EraField = encodeStoreEra(Era);
    return "HTTP/1.1 200 OK\r\n" + EraField.Name_ + ": " + EraField.Value_ +
           "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
           Body;
  }

  static std::string answer(const std::string &Status,
                            const std::string &Body) {
    return "HTTP/1.1 " + Status +
           "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
           Body;
  }

  static std::string object(std::uint64_t Revision, const NodeRecord &Record) {
    return encodeObject({"node-1", Revision, false, encodeRecord({}, Record)});
  }

  void accept() {
    bool Connected = false;
    Acceptor_.async_accept(
        Connection_,
        [&Connected](boost::system::error_code Error) { Connected = !Error; });
    while (!Connected)
      Context_.run_one();
  }

  // Gives each request the next answer and returns the request lines.
  std::vector<std::string> serve(const std::vector<std::string> &Answers) {
    if (!Connection_.is_open())
      accept();
    std::vector<std::string> Requests;
    for (const std::string &Answer : Answers) {
      Requests.push_back(readRequest());
      asio::write(Connection_, asio::buffer(Answer));
    }
    return Requests;
  }

  // The head of a request, and the body that has arrived with it.
  std::string readRequest() {
    std::string Received;
    bool Requested = false;
    asio::async_read_until(Connection_, asio::dynamic_buffer(Received),
                           "\r\n\r\n",
                           [&Requested](boost::system::error_code,
                                        std::size_t) { Requested = true; });
    while (!Requested)
      Context_.run_one();
    std::size_t End = Received.find("\r\n\r\n") + 4;
    std::size_t Length = Received.find("Content-Length: ");
    if (Length == std::string::npos)
      return Received;
    std::size_t Size = End + std::stoul(Received.substr(Length + 16));
    if (Received.size() < Size)
      asio::read(Connection_, asio::dynamic_buffer(Received),
                 asio::transfer_exactly(Size - Received.size()));
    return Received;
  }

  // Runs the client until it has passed on an input.
  void awaitInput() {
    while (Inputs_.empty())
      Context_.run_one();
  }

  // Lists and answers with the pages, in order.
  void list(const std::vector<std::string> &Pages) {
    Client_.list(Collection::Teams, std::nullopt);
    serve(Pages);
    awaitInput();
  }

  NodeRecord announce(const NodeRecord &Record,
                      const std::vector<std::string> &Answers,
                      std::vector<std::string> &Requests) {
    Inputs_.clear();
    Client_.announce(std::nullopt, Record);
    Requests = serve(Answers);
    awaitInput();
    return std::get<StoreAnnounced>(Inputs_.front()).Record_;
  }
};

// A change between two pages has a revision up to that of the second one, and a
// watch from there would never report it.
TEST(StoreClient, ListOfSeveralPagesHasTheRevisionOfTheFirst) {
  list({page(1, 18, "a", true), page(1, 22, "b", false)});
  const StoreListed &Listed = std::get<StoreListed>(Inputs_.front());
  CHECK_EQUAL(18U, Listed.Revision_);
  CHECK_EQUAL(2U, Listed.Subtrees_.size());
}

// A started process finds the record of the one before it.
TEST(StoreClient, RecordKeepsTheDeparturesOfAnEarlierProcess) {
  NodeRecord Earlier{true, {{5, "i-1", Departure::Final, true}}};
  NodeRecord Now{true, {{6, "i-2", 9, true}}};
  std::vector<std::string> Requests;
  NodeRecord Written = announce(Now,
                                {answer("409 Conflict", object(31, Earlier)),
                                 answer("200 OK", object(40, Now))},
                                Requests);
  CHECK_EQUAL(2U, Written.Departures_.size());
  CHECK(
      Requests[0].starts_with("POST /fulmarshelf/objects/fulmarshelf-nodes "));
  CHECK(Requests[1].starts_with(
      "PUT /fulmarshelf/objects/fulmarshelf-nodes/node-1 "));
  CHECK(Requests[1].find("\"revision\":31") != std::string::npos);
  CHECK(Requests[1].find("\"i-1\"") != std::string::npos);
  announce(Now, {answer("200 OK", object(41, Now))}, Requests);
  CHECK(Requests[0].find("\"revision\":40") != std::string::npos);
}

// The page of the store promises the object only where a revision differs.
TEST(StoreClient, RecordIsReadWhenTheConflictDoesNotShowIt) {
  NodeRecord Earlier{true, {{5, "i-1", 3, false}}};
  std::vector<std::string> Requests;
  NodeRecord Written =
      announce({},
               {answer("409 Conflict", "{}"),
                answer("200 OK", object(31, Earlier)), answer("200 OK", "{}")},
               Requests);
  CHECK(Written == Earlier);
  CHECK(Requests[1].starts_with(
      "GET /fulmarshelf/objects/fulmarshelf-nodes/node-1 "));
}

TEST(StoreClient, RecordThatIsGoneIsCreatedAgain) {
  std::vector<std::string> Requests;
  announce({}, {answer("200 OK", object(8, {}))}, Requests);
  announce({}, {answer("404 Not Found", "{}"), answer("200 OK", object(3, {}))},
           Requests);
  CHECK(Requests[0].starts_with("PUT "));
  CHECK(Requests[1].starts_with("POST "));
}

TEST(StoreClient, EndlessConflictsFail) {
  Client_.announce(std::nullopt, {});
  serve(std::vector<std::string>(5, answer("409 Conflict", object(8, {}))));
  awaitInput();
  CHECK(std::get<StoreFailed>(Inputs_.front()).Call_ == StoreCall::Announce);
}

TEST(StoreClient, WithdrawalNamesTheRevision) {
  std::vector<std::string> Requests;
  announce({}, {answer("200 OK", object(8, {}))}, Requests);
  Client_.withdraw();
  Requests = serve({answer("200 OK", "{}")});
  CHECK(Requests[0].starts_with(
      "DELETE /fulmarshelf/objects/fulmarshelf-nodes/node-1?revision=8 "));
}

// The process has never reached the store before.
TEST(StoreClient, WithdrawalKeepsDeparturesThatWereNotSeen) {
  NodeRecord Earlier{true, {{5, "i-1", 3, true}}};
  Client_.withdraw();
  std::vector<std::string> Requests =
      serve({answer("200 OK", object(31, Earlier)),
             answer("200 OK", object(32, {false, Earlier.Departures_}))});
  CHECK(Requests[0].starts_with("GET "));
  CHECK(Requests[1].starts_with("PUT "));
  CHECK(Requests[1].find("\"peer\"") == std::string::npos);
  CHECK(Requests[1].find("\"i-1\"") != std::string::npos);
}

TEST(StoreClient, RecordsAreReadFromTheListOfNodes) {
  NodeRecord Record{false, {{5, "i-1", Departure::Final, true}}};
  StorePage Page;
  Page.Objects_ = {
      {"node-1", 4, false, encodeRecord({}, Record)},
      {"node-2", 5, false, "{\"departures\":[7,{\"instance\":1},[]]}"},
      {"node-3", 6, false, "{\"departures\":8}"},
      {"node-4", 7, false, "[]"}};
  std::vector<StoredRecord> Expected = {{"node-1", 4, Record}};
  CHECK(parseRecords(Page.Objects_) == Expected);
}

TEST(StoreClient, PagesOfTwoErasAreNoList) {
  list({page(1, 18, "a", true), page(2, 12, "b", false)});
  const StoreFailed &Failed = std::get<StoreFailed>(Inputs_.front());
  CHECK(Failed.Call_ == StoreCall::List);
  CHECK(Failed.Eras_.Answered_ == 2);
}
