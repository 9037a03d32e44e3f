#include "../../src/cli/backends.hpp" // backendRows, backendTable

#include <nlohmann/json.hpp> // json

#include <algorithm> // count

#include <CppUTest/TestHarness.h> // TEST

using namespace fulmarshelf::cli;
using Json = nlohmann::json;

namespace {

Json memberOf(const char *Node, const char *Service, const char *Status) {
  return {{"node", Node},
          {"service", Service},
          {"failure_domain", "a"},
          {"status", Status}};
}

Json statusPage() {
  Json Remote = memberOf("n2", "deep", "alive");
  Remote["load"] = {{"limit", 9},      {"running", 8}, {"queued", 3},
                    {"slowness", 1.5}, {"level", 0},   {"leaving", false}};
  return {
      {"node", "n1"},
      {"failure_domain", "a"},
      {"backend",
       {{"service", "front"}, {"draining", true}, {"instance", "i-1"}}},
      {"limit", 4},
      {"running", 2},
      {"queued", 0},
      {"level", 7},
      {"members",
       {Remote, memberOf("n3", "deep", "dead"), memberOf("n4", "", "alive")}}};
}

} // namespace

TEST_GROUP(Backends){};

TEST(Backends, LocalBackendServerIsListedWithItsInstance) {
  Json Row = backendRows(statusPage())[0];
  CHECK(Row["state"] == "draining");
  CHECK(Row["instance"] == "i-1");
  CHECK(Row["limit"] == 4);
}

TEST(Backends, OtherNodesShowTheirReportedState) {
  Json Rows = backendRows(statusPage());
  CHECK(Rows[1]["state"] == "serving");
  CHECK(Rows[1]["queued"] == 3);
  CHECK(Rows[2]["state"] == "dead");
  CHECK_FALSE(Rows[2].contains("limit"));
  CHECK(Rows[3]["state"] == "not serving");
}

TEST(Backends, LeavingOverridesServing) {
  Json Status = statusPage();
  Status["members"][0]["load"]["leaving"] = true;
  CHECK(backendRows(Status)[1]["state"] == "leaving");
}

TEST(Backends, TableHasALineForEachBackendServer) {
  std::string Table = backendTable(backendRows(statusPage()));
  CHECK(Table.find("n3") != std::string::npos);
  CHECK(Table.find("1.50") != std::string::npos);
  CHECK_EQUAL(5, std::count(Table.begin(), Table.end(), '\n'));
}
