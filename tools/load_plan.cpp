#include "load_plan.hpp"

#include "fulmarshelf/detail/base/ids.hpp"            // parseNumber
#include "fulmarshelf/detail/settings/ini.hpp"        // parseIni
#include "fulmarshelf/detail/settings/key_reader.hpp" // KeyReader

namespace fulmarshelf::tools {

namespace {

constexpr std::uint64_t MaxDurationMs = 600'000;

std::chrono::milliseconds readMillis(KeyReader &Keys, const std::string &Key,
                                     std::uint64_t Default) {
  return std::chrono::milliseconds(
      Keys.number(Key, 0, MaxDurationMs).value_or(Default));
}

void readLoad(KeyReader &Keys, LoadPlan &Plan) {
  Plan.Seed_ = Keys.number("seed", 0, UINT64_MAX).value_or(1);
  Plan.Duration_ = readMillis(Keys, "duration-ms", 10'000);
  Plan.Warmup_ = readMillis(Keys, "warmup-ms", 1'000);
  for (const std::string &Item : Keys.list("entries")) {
    Endpoint Address;
    if (parseEndpoint(Item, Address))
      Plan.Entries_.push_back(Address);
    else
      Keys.addFinding("entries", ErrorCode::BadValue,
                      "'" + Item + "' is not an IP number and a port");
  }
}

std::vector<RateStep> readSteps(KeyReader &Keys) {
  std::vector<RateStep> Steps;
  for (const std::string &Item : Keys.list("steps")) {
    std::vector<std::string> Words = splitList(Item, ':');
    std::uint64_t At = 0;
    std::uint64_t Percent = 0;
    if (Words.size() == 2 && parseNumber(Words[0], At) &&
        parseNumber(Words[1], Percent))
      Steps.push_back(
          {std::chrono::milliseconds(At), static_cast<unsigned>(Percent)});
    else
      Keys.addFinding("steps", ErrorCode::BadValue,
                      "'" + Item + "' is not 'millisecond:percent'");
  }
  return Steps;
}

LoadStream readStream(KeyReader &Keys, const std::string &Name) {
  LoadStream Stream;
  Stream.Name_ = Name;
  Keys.require("target");
  Stream.Method_ = Keys.text("method").value_or("GET");
  Stream.Target_ = Keys.text("target").value_or("/");
  Stream.Caller_ = Keys.text("caller").value_or("");
  Stream.Rate_ =
      static_cast<double>(Keys.number("rate", 0, 1'000'000).value_or(10));
  Stream.Steps_ = readSteps(Keys);
  Stream.Patience_ = readMillis(Keys, "patience-ms", 2000);
  Stream.Retries_ =
      static_cast<unsigned>(Keys.number("retries", 0, 100).value_or(0));
  Stream.HonourRetryAfter_ = Keys.flag("honour-retry-after").value_or(false);
  Stream.Ticket_ = Keys.flag("ticket").value_or(false);
  Stream.BodyBytes_ = static_cast<unsigned>(
      Keys.number("body-bytes", 0, 1'000'000).value_or(0));
  Stream.Parts_ =
      static_cast<unsigned>(Keys.number("parts", 0, 100).value_or(0));
  return Stream;
}

LoadEvent readEvent(KeyReader &Keys) {
  LoadEvent Event;
  Event.At_ = readMillis(Keys, "at-ms", 0);
  Event.Target_ = Keys.text("target").value_or("/");
  std::string Address = Keys.text("address").value_or("");
  if (!parseEndpoint(Address, Event.Address_))
    Keys.addFinding("address", ErrorCode::BadValue,
                    "'" + Address + "' is not an IP number and a port");
  return Event;
}

} // namespace

Checked<LoadPlan> parseLoadPlan(const std::string &File,
                                const std::string &Text) {
  Checked<std::vector<IniSection>> Sections = parseIni(File, Text);
  if (!Sections)
    return Sections.error();
  LoadPlan Plan;
  Findings Faults;
  for (const IniSection &Section : Sections.value()) {
    std::vector<std::string> Words = splitList(Section.Name_, ' ');
    KeyReader Keys(File, Section, Faults);
    if (Section.Name_ == "load")
      readLoad(Keys, Plan);
    else if (Words[0] == "stream" && Words.size() == 2)
      Plan.Streams_.push_back(readStream(Keys, Words[1]));
    else if (Words[0] == "event" && Words.size() == 2)
      Plan.Events_.push_back(readEvent(Keys));
    else
      Keys.addFinding("", ErrorCode::UnknownSection,
                      "section [" + Section.Name_ + "] is not known");
    Keys.reportUnknownKeys();
  }
  if (Plan.Entries_.empty())
    Faults.push_back({File, 0, ErrorCode::MissingKey,
                      "no entries; [load] needs entries = IP:PORT, ..."});
  if (!Faults.empty())
    return Faults;
  return Plan;
}

} // namespace fulmarshelf::tools
