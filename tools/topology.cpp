#include "topology.hpp"

#include "fulmarshelf/detail/settings/ini.hpp"        // parseIni
#include "fulmarshelf/detail/settings/key_reader.hpp" // KeyReader

namespace fulmarshelf::tools {

namespace {

constexpr double MicrosPerMillisecond = 1000;

std::vector<RouteCall> readCalls(KeyReader &Keys) {
  std::vector<RouteCall> Calls;
  for (const std::string &Item : Keys.list("calls")) {
    std::vector<std::string> Words = splitList(Item, ' ');
    if (Words.size() == 2)
      Calls.push_back({Words[0], Words[1]});
    else
      Keys.addFinding("calls", ErrorCode::BadValue,
                      "'" + Item + "' is not 'METHOD /service/path'");
  }
  return Calls;
}

} // namespace

Checked<Topology> parseTopology(const std::string &File,
                                const std::string &Text) {
  Checked<std::vector<IniSection>> Sections = parseIni(File, Text);
  if (!Sections)
    return Sections.error();
  Topology Result;
  Findings Faults;
  for (const IniSection &Section : Sections.value()) {
    std::vector<std::string> Words = splitList(Section.Name_, ' ');
    KeyReader Keys(File, Section, Faults);
    if (Words[0] == "service" && Words.size() == 2) {
      unsigned Slots =
          static_cast<unsigned>(Keys.number("slots", 1, 10'000).value_or(1));
      unsigned Connections = static_cast<unsigned>(
          Keys.number("connections", 1, 100'000).value_or(100));
      Result.Services_.push_back({Words[1], Slots, Connections});
    } else if (Words[0] == "route" && Words.size() == 3) {
      RouteBehaviour Route;
      Route.Service_ = Words[1];
      Route.Path_ = Words[2];
      Route.TimeMs_ =
          static_cast<double>(
              Keys.number("time-us", 1, 60'000'000).value_or(1000)) /
          MicrosPerMillisecond;
      Route.Exponential_ = Keys.flag("exponential").value_or(false);
      Route.BodyBytes_ = static_cast<unsigned>(
          Keys.number("body-bytes", 1, 500'000).value_or(64));
      Route.Calls_ = readCalls(Keys);
      Result.Routes_.push_back(Route);
    } else {
      Keys.addFinding("", ErrorCode::UnknownSection,
                      "section [" + Section.Name_ + "] is not known");
    }
    Keys.reportUnknownKeys();
  }
  if (!Faults.empty())
    return Faults;
  return Result;
}

} // namespace fulmarshelf::tools
