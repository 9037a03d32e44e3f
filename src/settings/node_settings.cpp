#include "fulmarshelf/detail/settings/node_settings.hpp"

#include "fulmarshelf/detail/base/ids.hpp"            // parseNumber
#include "fulmarshelf/detail/settings/ini.hpp"        // parseIni
#include "fulmarshelf/detail/settings/key_reader.hpp" // KeyReader

#include <arpa/inet.h> // inet_pton

#include <algorithm> // clamp
#include <fstream>   // ifstream
#include <map>       // map
#include <sstream>   // ostringstream

namespace fulmarshelf {

namespace {

// Form of an endpoint, for error messages.
constexpr const char *EndpointForm =
    "an IP address with a port from 1 to 65535, such as 127.0.0.1:8080 or "
    "[::1]:8080, and no host name";

// A node renews its proof several times within this time.
constexpr double MinRevokeMs = 500;
constexpr double MaxRevokeMs = 3'600'000; // one hour
constexpr std::uint64_t MaxPipelinedRequests = 1024;
constexpr std::uint64_t BytesPerKilobyte = 1024;
constexpr std::uint64_t BytesPerMegabyte =
    std::uint64_t{1024} * BytesPerKilobyte;
constexpr std::uint64_t MaxMemoryBytes =
    std::uint64_t{64} * 1024 * BytesPerMegabyte;

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
    Keys.addFinding(Key, ErrorCode::BadValue,
                    "'" + Key + "' must be " + EndpointForm + ", but is '" +
                        *Text + "'");
  return Result;
}

Endpoint readOptionalEndpoint(KeyReader &Keys, const std::string &Key) {
  std::optional<std::string> Text = Keys.text(Key);
  Endpoint Result;
  if (Text && !parseEndpoint(*Text, Result))
    Keys.addFinding(Key, ErrorCode::BadValue,
                    "'" + Key + "' must be " + EndpointForm + ", but is '" +
                        *Text + "'");
  return Result;
}

void readNode(KeyReader &Keys, NodeSettings &Result) {
  for (const char *Key : {"name", "failure-domain", "region"})
    Keys.require(Key);
  Result.Name_ = Keys.text("name").value_or("");
  if (Result.Name_.find_first_of(" ./") != std::string::npos)
    Keys.addFinding("name", ErrorCode::BadValue,
                    "'name' must not contain a blank, dot or slash, but is '" +
                        Result.Name_ + "'");
  Result.FailureDomain_ = Keys.text("failure-domain").value_or("");
  Result.Region_ = Keys.text("region").value_or("");
}

void readAddresses(KeyReader &Keys, NodeSettings &Result) {
  Result.CallerAddress_ = readEndpoint(Keys, "callers");
  Result.BackendListenAddress_ = readEndpoint(Keys, "backend");
  Result.PeerAddress_ = readEndpoint(Keys, "peers");
  Result.OperatorAddress_ = readEndpoint(Keys, "operator");
  Result.AdvertisedPeer_ = Result.PeerAddress_;
  std::optional<std::string> Advertised = Keys.text("peers-advertised");
  if (Advertised && !parseEndpoint(*Advertised, Result.AdvertisedPeer_))
    Keys.addFinding("peers-advertised", ErrorCode::BadValue,
                    "'peers-advertised' must be " + std::string(EndpointForm) +
                        ", but is '" + *Advertised + "'");
  Result.MetricsAddress_ = readOptionalEndpoint(Keys, "metrics");
}

void readPlatform(KeyReader &Keys, NodeSettings &Result) {
  Result.Platform_ = readEndpoint(Keys, "address");
  for (const std::string &Seed : Keys.list("seeds")) {
    Endpoint Address;
    if (parseEndpoint(Seed, Address))
      Result.Seeds_.push_back(Address);
    else
      Keys.addFinding("seeds", ErrorCode::BadValue,
                      "each item of 'seeds' must be " +
                          std::string(EndpointForm) + ", but one is '" + Seed +
                          "'");
  }
}

// Names of the choices in quotes, separated by commas, for error messages.
template <typename T>
std::string choiceNames(const std::map<std::string, T> &Choices) {
  std::string Names;
  for (const std::pair<const std::string, T> &Choice : Choices)
    Names += (Names.empty() ? "'" : ", '") + Choice.first + "'";
  return Names;
}

template <typename T>
T readChoice(KeyReader &Keys, const std::string &Key,
             const std::map<std::string, T> &Choices, T Default) {
  std::optional<std::string> Text = Keys.text(Key);
  if (!Text)
    return Default;
  auto Choice = Choices.find(*Text);
  if (Choice != Choices.end())
    return Choice->second;
  Keys.addFinding(Key, ErrorCode::BadValue,
                  "'" + Key + "' must be one of " + choiceNames(Choices) +
                      ", not '" + *Text + "'");
  return Default;
}

void readInterface(KeyReader &Keys, NodeSettings &Result) {
  Result.Interface_ = readChoice<InterfaceKind>(
      Keys, "kind",
      {{"own", InterfaceKind::Native}, {"platform", InterfaceKind::Platform}},
      InterfaceKind::Native);
  Result.Service_ = Keys.text("service").value_or("");
  Result.BackendServer_ = readOptionalEndpoint(Keys, "backend-server");
}

// The deployment renders a limit that it does not set as an empty value; the
// default applies to such a limit.
void readBounds(KeyReader &Keys, NodeSettings &Result) {
  MeshBounds &Bounds = Result.Bounds_;
  Bounds.GraceTime_ = Keys.seconds("grace-s").value_or(Bounds.GraceTime_);
  Bounds.RepeatRatio_ = Keys.real("repeat-ratio").value_or(Bounds.RepeatRatio_);
  Bounds.RepeatWindow_ =
      Keys.seconds("repeat-window-s").value_or(Bounds.RepeatWindow_);
  Bounds.RepeatSlack_ = Keys.real("repeat-slack").value_or(Bounds.RepeatSlack_);
  Bounds.FailClosed_ =
      Keys.renderedFlag("fail-closed").value_or(Bounds.FailClosed_);
  if (std::optional<double> Revoke = Keys.real("revoke-ms"))
    Bounds.RevokeTime_ = millis(static_cast<std::int64_t>(
        std::clamp(*Revoke, MinRevokeMs, MaxRevokeMs)));
  Bounds.QuotaWindow_ =
      Keys.seconds("quota-window-s").value_or(Bounds.QuotaWindow_);
  Bounds.QuotaOverage_ =
      Keys.real("quota-overage").value_or(Bounds.QuotaOverage_);
  Bounds.QuotaSlack_ = Keys.real("quota-slack").value_or(Bounds.QuotaSlack_);
}

void readCallers(KeyReader &Keys, NodeSettings &Result) {
  CallerCapacity &Capacity = Result.Callers_;
  Capacity.PipelinedRequests_ = static_cast<std::uint32_t>(
      Keys.number("pipelined-requests", 1, MaxPipelinedRequests)
          .value_or(Capacity.PipelinedRequests_));
  auto ReadBytes = [&Keys](const char *Key, std::uint64_t Unit,
                           std::uint64_t &Bytes) {
    if (std::optional<std::uint64_t> Value =
            Keys.number(Key, 1, MaxMemoryBytes / Unit))
      Bytes = *Value * Unit;
  };
  ReadBytes("held-response-kb", BytesPerKilobyte, Capacity.HeldBytes_);
  ReadBytes("request-memory-mb", BytesPerMegabyte, Capacity.RequestMemory_);
  ReadBytes("response-memory-mb", BytesPerMegabyte, Capacity.ResponseMemory_);
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

std::string toString(const Endpoint &Value) {
  std::string Port = std::to_string(Value.Port_);
  if (Value.Address_.find(':') != std::string::npos)
    return "[" + Value.Address_ + "]:" + Port;
  return Value.Address_ + ":" + Port;
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
        {File, 0, ErrorCode::FileUnreadable,
         "the file cannot be read; check that it exists and that this "
         "process may read it"}};
  return Text.str();
}

Checked<NodeSettings> parseNodeSettings(const std::string &File,
                                        const std::string &Text) {
  using SectionReader = void (*)(KeyReader &, NodeSettings &);
  const std::map<std::string, SectionReader> Readers = {
      {"node", &readNode},         {"addresses", &readAddresses},
      {"platform", &readPlatform}, {"interface", &readInterface},
      {"bounds", &readBounds},     {"callers", &readCallers},
      {"log", &readLog},           {"policy", &readPolicy}};
  Checked<std::vector<IniSection>> Sections = parseIni(File, Text);
  if (!Sections)
    return Sections.error();
  NodeSettings Result;
  Findings Faults;
  std::map<std::string, bool> SeenSections;
  for (const IniSection &Section : Sections.value()) {
    KeyReader Keys(File, Section, Faults);
    auto Reader = Readers.find(Section.Name_);
    if (Reader == Readers.end()) {
      Keys.addFinding(
          "", ErrorCode::UnknownSection,
          "section [" + Section.Name_ +
              "] is none of [node], [addresses], [platform], [interface], "
              "[bounds], [callers], [log], [policy]");
      continue;
    }
    SeenSections[Section.Name_] = true;
    Reader->second(Keys, Result);
    Keys.reportUnknownKeys();
  }
  for (const char *Required : {"node", "addresses", "platform"})
    if (!SeenSections[Required])
      Faults.push_back(
          {File, 0, ErrorCode::MissingKey,
           "required section [" + std::string(Required) + "] is missing"});
  if (!Faults.empty())
    return Faults;
  return Result;
}

} // namespace fulmarshelf
