#include "fulmarshelf/detail/shell/store_documents.hpp"

#include "platform/config_codec.hpp" // parseConfig

#include "fulmarshelf/detail/wire/json_reader.hpp" // readJson

#include <algorithm> // replace

namespace fulmarshelf {

namespace {

using Json = nlohmann::json;

// Names of objects hold no slash; paths of teams hold no tilde.
constexpr char PathSeparator = '/';
constexpr char NameSeparator = '~';

std::string teamPath(std::string Name) {
  std::replace(Name.begin(), Name.end(), NameSeparator, PathSeparator);
  return PathSeparator + Name;
}

// A value that is no settings document becomes an empty text, which does not
// pass the check and so never gets in force.
SubtreeVersion teamSubtree(const StoreObject &Object) {
  SubtreeVersion Result;
  Result.Path_ = teamPath(Object.Name_);
  Result.Version_ = Object.Revision_;
  Result.Deleted_ = Object.Deleted_;
  SettingsDocument Document;
  if (!Object.Deleted_ && parseDocument(Object.Spec_, Document))
    Result.Text_ = Document.Text_;
  return Result;
}

} // namespace

std::string teamObject(const std::string &TeamPath) {
  std::string Name = TeamPath.substr(TeamPath.starts_with('/') ? 1 : 0);
  std::replace(Name.begin(), Name.end(), PathSeparator, NameSeparator);
  return Name;
}

std::string encodeDocument(const SettingsDocument &Document) {
  Json Writes = Json::array();
  for (const WriteMark &Mark : Document.Writes_)
    Writes.push_back({{"id", Mark.WriteId_}, {"author", Mark.Author_}});
  return Json{{"text", Document.Text_},
              {"previous", Document.Previous_},
              {"writes", Writes}}
      .dump();
}

bool parseDocument(const std::string &Text, SettingsDocument &Result) {
  return readJson(Text, [&Result](const Json &From) {
    SettingsDocument Parsed;
    From.at("text").get_to(Parsed.Text_);
    Parsed.Previous_ = From.value("previous", std::string());
    for (const Json &Mark : From.at("writes"))
      Parsed.Writes_.push_back({Mark.at("id").get<std::string>(),
                                Mark.at("author").get<std::string>()});
    Result = Parsed;
  });
}

std::string encodeAddresses(const NodeAddresses &Value) {
  return Json{{"peer", toString(Value.Peer_)},
              {"operator", toString(Value.Operator_)}}
      .dump();
}

bool parseAddresses(const StoreObject &Object, NodeAddresses &Result) {
  bool Good = false;
  readJson(Object.Spec_, [&](const Json &From) {
    Good =
        parseEndpoint(From.at("peer").get<std::string>(), Result.Peer_) &&
        parseEndpoint(From.at("operator").get<std::string>(), Result.Operator_);
  });
  Result.Node_ = Object.Name_;
  return Good;
}

std::vector<NodeAddresses> nodesOf(const std::vector<StoreObject> &Objects) {
  std::vector<NodeAddresses> Result;
  for (const StoreObject &Object : Objects) {
    NodeAddresses Addresses;
    if (!Object.Deleted_ && parseAddresses(Object, Addresses))
      Result.push_back(Addresses);
  }
  return Result;
}

std::optional<SubtreeVersion>
subtreeOf(Collection Kind, const StoreObject &Object, std::string &Fault) {
  if (Kind == Collection::Teams)
    return teamSubtree(Object);
  if (Object.Name_ != ConfigName || Object.Deleted_)
    return std::nullopt;
  std::variant<SubtreeVersion, UnreadableConfig> Read =
      parseConfig(Object.Spec_);
  if (const UnreadableConfig *Bad = std::get_if<UnreadableConfig>(&Read)) {
    Fault = Bad->Detail_;
    return std::nullopt;
  }
  return std::get<SubtreeVersion>(Read);
}

const char *kindOf(Collection Value) {
  return Value == Collection::Teams ? TeamsKind : ConfigKind;
}

} // namespace fulmarshelf
