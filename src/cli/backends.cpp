#include "backends.hpp"

#include <nlohmann/json.hpp> // json

#include <algorithm> // max
#include <array>     // array
#include <vector>    // vector

namespace fulmarshelf::cli {

namespace {

using Json = nlohmann::json;

constexpr std::array<const char *, 10> Columns = {
    "node",  "service", "failure_domain", "state",    "instance",
    "limit", "running", "queued",         "slowness", "level"};

// Fills in the local backend server from the node's full status.
void addLocalBackend(const Json &Status, Json &Row) {
  const Json &Backend = Status.at("backend");
  Row["state"] = Backend.is_null()                    ? "unknown"
                 : Backend.at("draining").get<bool>() ? "draining"
                                                      : "serving";
  if (Backend.is_null())
    return;
  Row["service"] = Backend.at("service");
  if (Backend.contains("instance"))
    Row["instance"] = Backend.at("instance");
  Row["limit"] = Status.at("limit");
  Row["running"] = Status.at("running");
  Row["queued"] = Status.at("queued");
  Row["level"] = Status.at("level");
}

// Fills in the backend server of another node, as far as that node has reported
// its load.
void addMember(const Json &Member, Json &Row) {
  bool Alive = Member.at("status") == "alive";
  bool Serves = !Member.at("service").get<std::string>().empty();
  Row["state"] = !Alive   ? Member.at("status").get<std::string>()
                 : Serves ? "serving"
                          : "not serving";
  if (!Member.contains("load"))
    return;
  const Json &Load = Member.at("load");
  for (const char *Name : {"limit", "running", "queued", "slowness", "level"})
    Row[Name] = Load.at(Name);
  if (Load.at("leaving").get<bool>())
    Row["state"] = "leaving";
}

std::string cellText(const Json &Row, const std::string &Name) {
  if (!Row.contains(Name))
    return "-";
  const Json &Value = Row.at(Name);
  if (Value.is_string())
    return Value.get<std::string>().empty() ? "-" : Value.get<std::string>();
  if (Value.is_number_float())
    return std::to_string(Value.get<double>()).substr(0, 4);
  return Value.dump();
}

} // namespace

Json backendRows(const Json &Status) {
  Json LocalRow = {{"node", Status.at("node")},
                   {"failure_domain", Status.at("failure_domain")}};
  addLocalBackend(Status, LocalRow);
  Json Rows = Json::array({LocalRow});
  for (const Json &Member : Status.at("members")) {
    Json Row = {{"node", Member.at("node")},
                {"service", Member.at("service")},
                {"failure_domain", Member.at("failure_domain")}};
    addMember(Member, Row);
    Rows.push_back(Row);
  }
  return Rows;
}

std::string backendTable(const Json &Rows) {
  std::vector<std::array<std::string, Columns.size()>> Lines(1);
  for (std::size_t Index = 0; Index < Columns.size(); ++Index)
    Lines[0][Index] = Columns[Index];
  for (const Json &Row : Rows) {
    Lines.emplace_back();
    for (std::size_t Index = 0; Index < Columns.size(); ++Index)
      Lines.back()[Index] = cellText(Row, Columns[Index]);
  }
  std::array<std::size_t, Columns.size()> Widths{};
  for (const std::array<std::string, Columns.size()> &Line : Lines)
    for (std::size_t Index = 0; Index < Columns.size(); ++Index)
      Widths[Index] = std::max(Widths[Index], Line[Index].size());
  std::string Text;
  for (const std::array<std::string, Columns.size()> &Line : Lines) {
    for (std::size_t Index = 0; Index < Columns.size(); ++Index)
      Text += Line[Index] +
              std::string(Widths[Index] - Line[Index].size() + 2, ' ');
    Text.erase(Text.find_last_not_of(' ') + 1);
    Text += '\n';
  }
  return Text;
}

} // namespace fulmarshelf::cli
