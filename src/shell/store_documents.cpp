#include "fulmarshelf/detail/shell/store_documents.hpp"

#include "platform/config_codec.hpp" // parseConfig

#include "fulmarshelf/detail/settings/settings_version.hpp" // versionOf
#include "fulmarshelf/detail/wire/json_reader.hpp"          // readJson

#include <algorithm> // min, replace

namespace fulmarshelf {

namespace {

using Json = nlohmann::json;

// Object names cannot contain a slash, and team paths never contain a tilde.
constexpr char PathSeparator = '/';
constexpr char NameSeparator = '~';

// The number of the last announcement is left out where it is
// Departure::Final: a store may keep numbers as doubles.
Json encodeDeparture(const Departure &Entry) {
  Json Result = {{"instance", Entry.Instance_},
                 {"started", Entry.StartedMs_},
                 {"start-known", Entry.StartKnown_}};
  if (Entry.LastSequence_ != Departure::Final)
    Result["sequence"] = Entry.LastSequence_;
  return Result;
}

// An entry that another writer may have written.
std::optional<Departure> parseDeparture(const Json &Source) {
  try {
    Departure Result;
    Source.at("instance").get_to(Result.Instance_);
    readUnsigned(Source.at("started"), Result.StartedMs_);
    Source.at("start-known").get_to(Result.StartKnown_);
    if (Source.contains("sequence"))
      readUnsigned(Source["sequence"], Result.LastSequence_);
    return Result;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

std::string teamPath(std::string Name) {
  std::replace(Name.begin(), Name.end(), NameSeparator, PathSeparator);
  return PathSeparator + Name;
}

// An object that is not a settings document yields an empty text. An empty text
// fails validation, so it never comes into force.
SubtreeVersion teamSubtree(const StoreObject &Object,
                           const std::optional<std::uint64_t> &Era) {
  SubtreeVersion Result;
  Result.Path_ = teamPath(Object.Name_);
  Result.Deleted_ = Object.Deleted_;
  SettingsDocument Document;
  if (Object.Deleted_)
    Result.Version_ = versionOf({Era.value_or(0), Object.Revision_});
  else if (parseDocument(Object.Spec_, Document))
    Result.Text_ = Document.Text_;
  if (!Object.Deleted_)
    Result.Version_ = documentVersion(Document, Object, Era);
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
              {"era", Document.Era_},
              {"writes", Writes}}
      .dump();
}

bool parseDocument(const std::string &Text, SettingsDocument &Result) {
  return readJson(Text, [&Result](const Json &Source) {
    SettingsDocument Parsed;
    Source.at("text").get_to(Parsed.Text_);
    Parsed.Previous_ = Source.value("previous", std::string());
    if (Source.contains("era"))
      readUnsigned(Source["era"], Parsed.Era_, MaxStoreEra);
    for (const Json &Mark : Source.at("writes"))
      Parsed.Writes_.push_back({Mark.at("id").get<std::string>(),
                                Mark.at("author").get<std::string>()});
    Result = Parsed;
  });
}

std::string encodeRecord(const NodeAddresses &Addresses,
                         const NodeRecord &Record) {
  Json Document = Json::object();
  if (Record.Reachable_) {
    Document["peer"] = toString(Addresses.Peer_);
    Document["operator"] = toString(Addresses.Operator_);
  }
  for (const Departure &Entry : Record.Departures_)
    Document["departures"].push_back(encodeDeparture(Entry));
  return Document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool parseAddresses(const StoreObject &Object, NodeAddresses &Result) {
  bool Valid = false;
  readJson(Object.Spec_, [&](const Json &Source) {
    Valid = parseEndpoint(Source.at("peer").get<std::string>(), Result.Peer_) &&
            parseEndpoint(Source.at("operator").get<std::string>(),
                          Result.Operator_);
  });
  Result.Node_ = Object.Name_;
  return Valid;
}

std::vector<Departure> parseDepartures(const StoreObject &Object) {
  std::vector<Departure> Result;
  readJson(Object.Spec_, [&Result](const Json &Source) {
    if (!Source.is_object() || !Source.contains("departures"))
      return;
    for (const Json &Element : Source["departures"])
      if (std::optional<Departure> Entry = parseDeparture(Element))
        mergeDepartures(Result, {*Entry});
  });
  return Result;
}

std::vector<StoredRecord>
parseRecords(const std::vector<StoreObject> &Objects) {
  std::vector<StoredRecord> Result;
  for (const StoreObject &Object : Objects) {
    NodeAddresses Addresses;
    std::vector<Departure> Departures = parseDepartures(Object);
    if (!Object.Deleted_ && !Departures.empty())
      Result.push_back({Object.Name_,
                        Object.Revision_,
                        {parseAddresses(Object, Addresses), Departures}});
  }
  return Result;
}

std::vector<NodeAddresses>
parseNodeAddresses(const std::vector<StoreObject> &Objects) {
  std::vector<NodeAddresses> Result;
  for (const StoreObject &Object : Objects) {
    NodeAddresses Addresses;
    if (!Object.Deleted_ && parseAddresses(Object, Addresses))
      Result.push_back(Addresses);
  }
  return Result;
}

// No write begins in an era that the store has not reached.
std::uint64_t documentVersion(const SettingsDocument &Document,
                              const StoreObject &Object,
                              const std::optional<std::uint64_t> &Era) {
  return versionOf(
      {std::min(Document.Era_, Era.value_or(MaxStoreEra)), Object.Revision_});
}

std::optional<SubtreeVersion>
parseSubtree(Collection Kind, const StoreObject &Object,
             const std::optional<std::uint64_t> &Era, std::string &Fault) {
  if (Kind == Collection::Teams)
    return teamSubtree(Object, Era);
  if (Object.Name_ != ConfigName || Object.Deleted_)
    return std::nullopt;
  std::variant<ReadableConfig, UnreadableConfig> Parsed =
      parseConfig(Object.Spec_);
  if (const UnreadableConfig *Unreadable =
          std::get_if<UnreadableConfig>(&Parsed)) {
    Fault = Unreadable->Detail_;
    return std::nullopt;
  }
  const ReadableConfig &Config = std::get<ReadableConfig>(Parsed);
  for (const std::string &EntryFault : Config.Faults_)
    Fault += (Fault.empty() ? "" : "; ") + EntryFault;
  return Config.Version_;
}

const char *objectKind(Collection Value) {
  return Value == Collection::Teams ? TeamsKind : ConfigKind;
}

} // namespace fulmarshelf
