#include "../../src/cli/node_pages.hpp" // quarantineText

#include <nlohmann/json.hpp> // json

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf::cli;
using Json = nlohmann::json;

TEST_GROUP(NodePages){};

TEST(NodePages, QuarantineListsARequestALine) {
  Json Requests = {{{"request", "0a"},
                    {"state", "set-aside"},
                    {"crashes", 3},
                    {"refused", 28},
                    {"target", "GET shop.example/look/1"}},
                   {{"request", "0b"},
                    {"state", "suspect"},
                    {"crashes", 1},
                    {"refused", 0}}};
  STRCMP_EQUAL("0a set-aside, 3 crashes, 28 refused here, "
               "GET shop.example/look/1\n"
               "0b suspect, 1 crashes, 0 refused here, target not seen here\n",
               quarantineText(Requests).c_str());
}

TEST(NodePages, EmptyQuarantineSaysSo) {
  STRCMP_EQUAL("no request was in progress at a crash of a backend server\n",
               quarantineText(Json::array()).c_str());
}
