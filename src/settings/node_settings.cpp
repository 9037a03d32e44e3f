#include "fulmarshelf/detail/settings/node_settings.hpp"

#include "fulmarshelf/detail/base/ids.hpp"            // parseNumber
#include "fulmarshelf/detail/settings/ini.hpp"        // parseIni
#include "fulmarshelf/detail/settings/key_reader.hpp" // KeyReader

#include <arpa/inet.h> // inet_pton

#include <fstream> // ifstream
#include <map>     // map
#include <sstream> // ostringstream

namespace fulmarshelf {

namespace {

bool isAddress(const std::string &Text) {
  in_addr Version4;
  in6_addr Version6;
  return inet_pton(AF_INET, Text.c_str(), &Version4) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), &Version6) == 1;
}

Endpoint readEndpoint(KeyReader &Keys, const std::string &Key) {
  Keys.require(Key);
  Endpoint Result;
  std::optional<std::string> Text = Keys.text(Key);
  if (Text && !parseEndpoint(*Text, Result))
    Keys.fault(Key, ErrorCode::BadValue,
               "'" + Key + "' must be an IP number and a port, not '" + *Text +
                   "'");
  return Result;
}

Endpoint readOptionalEndpoint(KeyReader &Keys, const std::string &Key) {
  std::optional<std::string> Text = Keys.text(Key);
  Endpoint Result;
  if (Text && !parseEndpoint(*Text, Result))
    Keys.fault(Key, ErrorCode::BadValue,
               "'" + Key + "' must be an IP number and a port, not '" + *Text +
                   "'");
  return Result;
}

void readNode(KeyReader &Keys, NodeSettings &Result) {
  for (const char *Key : {"name", "failure-domain", "region"})
    Keys.require(Key);
  Result.Name_ = Keys.text("name").value_or("");
  if (Result.Name_.find_first_of(" ./") != std::string::npos)
    Keys.fault("name", ErrorCode::BadValue,
               "'name' must hold no blank, dot or slash");
  Result.FailureDomain_ = Keys.text("failure-domain").value_or("");
  Result.Region_ = Keys.text("region").value_or("");
}

void readAddresses(KeyReader &Keys, NodeSettings &Result) {
  Result.CallerAddress_ = readEndpoint(Keys, "callers");
  Result.BackendAddress_ = readEndpoint(Keys, "backend");
  Result.PeerAddress_ = readEndpoint(Keys, "peers");
  Result.OperatorAddress_ = readEndpoint(Keys, "operator");
  Result.AdvertisedPeer_ = Result.PeerAddress_;
  std::optional<std::string> Advertised = Keys.text("peers-advertised");
  if (Advertised && !parseEndpoint(*Advertised, Result.AdvertisedPeer_))
    Keys.fault("peers-advertised", ErrorCode::BadValue,
               "'peers-advertised' must be an IP number and a port, not '" +
                   *Advertised + "'");
  Result.MetricsAddress_ = readOptionalEndpoint(Keys, "metrics");
}

void readPlatform(KeyReader &Keys, NodeSettings &Result) {
  Result.Platform_ = readEndpoint(Keys, "address");
  for (const std::string &Seed : Keys.list("seeds")) {
    Endpoint Place;
    if (parseEndpoint(Seed, Place))
      Result.Seeds_.push_back(Place);
    else
      Keys.fault("seeds", ErrorCode::BadValue,
                 "'" + Seed + "' is not an IP number and a port");
  }
}

template <typename T>
T readChoice(KeyReader &Keys, const std::string &Key,
             const std::map<std::string, T> &Choices, T Default) {
  std::optional<std::string> Text = Keys.text(Key);
  if (!Text)
    return Default;
  auto Found = Choices.find(*Text);
  if (Found != Choices.end())
    return Found->second;
  Keys.fault(Key, ErrorCode::BadValue,
             "'" + Key + "' has no choice '" + *Text + "'");
  return Default;
}

void readInterface(KeyReader &Keys, NodeSettings &Result) {
  Result.Interface_ = readChoice<InterfaceKind>(
      Keys, "kind",
      {{"own", InterfaceKind::Native}, {"platform", InterfaceKind::Platform}},
      InterfaceKind::Native);
  Result.Service_ = Keys.text("service").value_or("");
  Result.Backend_ = readOptionalEndpoint(Keys, "backend-server");
}

// A bound that the deployment does not set is rendered as an empty value; its
// default then holds.
void readBounds(KeyReader &Keys, NodeSettings &Result) {
  MeshBounds &Bounds = Result.Bounds_;
  Bounds.GraceTime_ = Keys.seconds("grace-s").value_or(Bounds.GraceTime_);
  Bounds.RepeatRatio_ = Keys.real("repeat-ratio").value_or(Bounds.RepeatRatio_);
  Bounds.RepeatWindow_ =
      Keys.seconds("repeat-window-s").value_or(Bounds.RepeatWindow_);
  Bounds.RepeatSlack_ = Keys.real("repeat-slack").value_or(Bounds.RepeatSlack_);
}

void readLog(KeyReader &Keys, NodeSettings &Result) {
  Result.LogFile_ = Keys.text("file").value_or("");
  Result.LogLevel_ = readChoice<LogLevel>(Keys, "level",
                                          {{"decisions", LogLevel::Decisions},
                                           {"changes", LogLevel::Changes},
                                           {"quiet", LogLevel::Quiet}},
                                          LogLevel::Decisions);
}

void readPolicy(KeyReader &Keys, NodeSettings &Result) {
  Result.Policy_ = readChoice<PolicyMode>(
      Keys, "mode",
      {{"full", PolicyMode::Full}, {"baseline", PolicyMode::Baseline}},
      PolicyMode::Full);
}

} // namespace

std::string toString(const Endpoint &Place) {
  std::string Port = std::to_string(Place.Port_);
  if (Place.Address_.find(':') != std::string::npos)
    return "[" + Place.Address_ + "]:" + Port;
  return Place.Address_ + ":" + Port;
}

bool parseEndpoint(const std::string &Text, Endpoint &Result) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  std::string Address = Text.substr(0, Colon);
  if (Address.size() > 2 && Address.front() == '[' && Address.back() == ']')
    Address = Address.substr(1, Address.size() - 2);
  std::uint64_t Port = 0;
  if (!parseNumber(Text.substr(Colon + 1), Port) || Port == 0 || Port > 65535)
    return false;
  if (!isAddress(Address))
    return false;
  Result = {Address, static_cast<std::uint16_t>(Port)};
  return true;
}

Checked<std::string> readTextFile(const std::string &File) {
  std::ifstream Stream(File, std::ios::binary);
  std::ostringstream Text;
  if (Stream)
    Text << Stream.rdbuf();
  if (!Stream)
    return Findings{
        {File, 0, ErrorCode::FileUnreadable, "the file cannot be read"}};
  return Text.str();
}

Checked<NodeSettings> parseNodeSettings(const std::string &File,
                                        const std::string &Text) {
  using SectionReader = void (*)(KeyReader &, NodeSettings &);
  const std::map<std::string, SectionReader> Readers = {
      {"node", &readNode},         {"addresses", &readAddresses},
      {"platform", &readPlatform}, {"interface", &readInterface},
      {"bounds", &readBounds},     {"log", &readLog},
      {"policy", &readPolicy}};
  Checked<std::vector<IniSection>> Sections = parseIni(File, Text);
  if (!Sections)
    return Sections.error();
  NodeSettings Result;
  Findings Faults;
  std::map<std::string, bool> Seen;
  for (const IniSection &Section : Sections.value()) {
    KeyReader Keys(File, Section, Faults);
    auto Reader = Readers.find(Section.Name_);
    if (Reader == Readers.end()) {
      Keys.fault("", ErrorCode::UnknownSection,
                 "section [" + Section.Name_ + "] is not known");
      continue;
    }
    Seen[Section.Name_] = true;
    Reader->second(Keys, Result);
    Keys.finish();
  }
  for (const char *Needed : {"node", "addresses", "platform"})
    if (!Seen[Needed])
      Faults.push_back({File, 0, ErrorCode::MissingKey,
                        "section [" + std::string(Needed) + "] is missing"});
  if (!Faults.empty())
    return Faults;
  return Result;
}

} // namespace fulmarshelf
