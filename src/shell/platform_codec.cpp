#include "fulmarshelf/detail/shell/platform_codec.hpp"

#include <nlohmann/json.hpp> // json

namespace fulmarshelf {

namespace {

using Json = nlohmann::json;

const std::string SettingsPrefix = "/settings";
const std::string NodesPrefix = "/nodes/";
const std::string ObjectsPath = "/v1/objects";

template <typename Reader>
bool parseJson(const std::string &Text, Reader Read) {
  Json Document = Json::parse(Text, nullptr, false);
  if (Document.is_discarded())
    return false;
  try {
    Read(Document);
  } catch (const Json::exception &) {
    return false;
  }
  return true;
}

PlatformObject readObject(const Json &From) {
  PlatformObject Result;
  From.at("path").get_to(Result.Path_);
  From.at("version").get_to(Result.Version_);
  Result.Deleted_ = From.value("deleted", false);
  Result.Value_ = From.value("value", std::string());
  return Result;
}

// A value that is no settings document becomes an empty text, which does not
// pass the check and so never gets in force.
SubtreeVersion toSubtree(const PlatformObject &Object) {
  SubtreeVersion Result;
  Result.Path_ = Object.Path_.substr(SettingsPrefix.size());
  Result.Version_ = Object.Version_;
  Result.Deleted_ = Object.Deleted_;
  SettingsDocument Document;
  if (!Object.Deleted_ && parseDocument(Object.Value_, Document))
    Result.Text_ = Document.Text_;
  return Result;
}

bool isSettings(const PlatformObject &Object) {
  return Object.Path_.starts_with(SettingsPrefix + "/");
}

HttpRequest conditional(const std::string &Method, const std::string &Object,
                        std::uint64_t IfVersion, bool Unconditional) {
  HttpRequest Request{Method, ObjectsPath + Object, {}, {}};
  if (!Unconditional)
    Request.Headers_.push_back({"If-Match", std::to_string(IfVersion)});
  return Request;
}

} // namespace

std::string settingsObject(const std::string &TeamPath) {
  return SettingsPrefix + TeamPath;
}

std::string nodeObject(const std::string &Node) { return NodesPrefix + Node; }

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
  return parseJson(Text, [&Result](const Json &From) {
    SettingsDocument Parsed;
    From.at("text").get_to(Parsed.Text_);
    Parsed.Previous_ = From.value("previous", std::string());
    for (const Json &Mark : From.at("writes"))
      Parsed.Writes_.push_back({Mark.at("id").get<std::string>(),
                                Mark.at("author").get<std::string>()});
    Result = Parsed;
  });
}

HttpRequest listRequest(const std::string &Prefix) {
  return {"GET", ObjectsPath + "?prefix=" + Prefix, {}, {}};
}

std::string encodeAddresses(const NodeAddresses &Value) {
  return toString(Value.Peer_) + " " + toString(Value.Operator_);
}

bool parseAddresses(const std::string &Text, NodeAddresses &Result) {
  std::size_t Blank = Text.find(' ');
  return Blank != std::string::npos &&
         parseEndpoint(Text.substr(0, Blank), Result.Peer_) &&
         parseEndpoint(Text.substr(Blank + 1), Result.Operator_);
}

bool parseNodeList(const std::string &Body,
                   std::vector<NodeAddresses> &Result) {
  return parseJson(Body, [&Result](const Json &From) {
    for (const Json &Item : From.at("items")) {
      PlatformObject Object = readObject(Item);
      NodeAddresses Addresses;
      if (!Object.Path_.starts_with(NodesPrefix) ||
          !parseAddresses(Object.Value_, Addresses))
        continue;
      Addresses.Node_ = Object.Path_.substr(NodesPrefix.size());
      Result.push_back(Addresses);
    }
  });
}

HttpRequest watchRequest(std::uint64_t Since, unsigned TimeoutMs) {
  return {"GET",
          "/v1/watch?prefix=" + SettingsPrefix +
              "/&since=" + std::to_string(Since) +
              "&timeout-ms=" + std::to_string(TimeoutMs),
          {},
          {}};
}

HttpRequest getRequest(const std::string &Object) {
  return {"GET", ObjectsPath + Object, {}, {}};
}

HttpRequest putRequest(const std::string &Object, const std::string &Value,
                       std::uint64_t IfVersion, bool Unconditional) {
  HttpRequest Request = conditional("PUT", Object, IfVersion, Unconditional);
  Request.Body_ = Value;
  return Request;
}

HttpRequest deleteRequest(const std::string &Object, std::uint64_t IfVersion,
                          bool Unconditional) {
  return conditional("DELETE", Object, IfVersion, Unconditional);
}

bool parseObject(const std::string &Body, PlatformObject &Result) {
  return parseJson(Body,
                   [&Result](const Json &From) { Result = readObject(From); });
}

bool parseList(const std::string &Body, StoreListed &Result) {
  return parseJson(Body, [&Result](const Json &From) {
    From.at("revision").get_to(Result.Revision_);
    for (const Json &Item : From.at("items")) {
      PlatformObject Object = readObject(Item);
      if (isSettings(Object))
        Result.Subtrees_.push_back(toSubtree(Object));
    }
  });
}

bool parseWatch(const std::string &Body, StoreWatched &Result) {
  return parseJson(Body, [&Result](const Json &From) {
    From.at("revision").get_to(Result.Revision_);
    for (const Json &Item : From.at("items")) {
      PlatformObject Object = readObject(Item);
      if (isSettings(Object))
        Result.Changes_.push_back(toSubtree(Object));
    }
  });
}

bool parseVersion(const std::string &Body, std::uint64_t &Result) {
  return parseJson(
      Body, [&Result](const Json &From) { From.at("version").get_to(Result); });
}

} // namespace fulmarshelf
