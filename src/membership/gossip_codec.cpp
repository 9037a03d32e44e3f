#include "fulmarshelf/detail/membership/gossip_message.hpp"

#include <nlohmann/json.hpp> // json, to_cbor, from_cbor

namespace fulmarshelf {

namespace {

using Json = nlohmann::json;

// Arrays instead of objects keep the field names out of the datagrams.
Json toJson(const Endpoint &Address) {
  return Json::array({Address.Address_, Address.Port_});
}

Json toJson(const Member &Value) {
  return Json::array({Value.Node_, Value.Incarnation_, Value.Version_,
                      static_cast<unsigned>(Value.Status_), toJson(Value.Peer_),
                      Value.Region_, Value.FailureDomain_, Value.Service_});
}

Json toJson(const SettingsVersion &Value) {
  return Json::array({Value.Path_, Value.Version_});
}

Json toJson(const SubtreeVersion &Value) {
  return Json::array(
      {Value.Path_, Value.Version_, Value.Deleted_, Value.Text_});
}

template <typename T> Json listToJson(const std::vector<T> &Values) {
  Json List = Json::array();
  for (const T &Value : Values)
    List.push_back(toJson(Value));
  return List;
}

// The getters throw nlohmann's exceptions on a wrong type; decodeWith() catches
// them and rejects the message.
void fromJson(const Json &Source, Endpoint &Result) {
  Source.at(0).get_to(Result.Address_);
  Source.at(1).get_to(Result.Port_);
}

void fromJson(const Json &Source, Member &Result) {
  Source.at(0).get_to(Result.Node_);
  Source.at(1).get_to(Result.Incarnation_);
  Source.at(2).get_to(Result.Version_);
  unsigned Status = Source.at(3).get<unsigned>();
  if (Status > static_cast<unsigned>(MemberStatus::Dead))
    throw Json::other_error::create(501, "status out of range", &Source);
  Result.Status_ = static_cast<MemberStatus>(Status);
  fromJson(Source.at(4), Result.Peer_);
  Source.at(5).get_to(Result.Region_);
  Source.at(6).get_to(Result.FailureDomain_);
  Source.at(7).get_to(Result.Service_);
}

void fromJson(const Json &Source, SettingsVersion &Result) {
  Source.at(0).get_to(Result.Path_);
  Source.at(1).get_to(Result.Version_);
}

void fromJson(const Json &Source, SubtreeVersion &Result) {
  Source.at(0).get_to(Result.Path_);
  Source.at(1).get_to(Result.Version_);
  Source.at(2).get_to(Result.Deleted_);
  Source.at(3).get_to(Result.Text_);
}

template <typename T>
void listFromJson(const Json &Source, std::vector<T> &Result) {
  for (const Json &Element : Source) {
    T Value;
    fromJson(Element, Value);
    Result.push_back(Value);
  }
}

std::string encodeJson(const Json &Document) {
  std::string Bytes;
  Json::to_cbor(Document, Bytes);
  return Bytes;
}

template <typename T, typename Reader>
bool decodeWith(const std::string &Bytes, T &Result, Reader Read) {
  // Impossible sizes throw even when exceptions are disabled by the argument of
  // from_cbor().
  try {
    Json Document = Json::from_cbor(Bytes, true, false);
    if (!Document.is_array())
      return false;
    T Parsed;
    Read(Document, Parsed);
    Result = std::move(Parsed);
  } catch (const Json::exception &) {
    return false;
  }
  return true;
}

} // namespace

std::string encode(const GossipMessage &Message) {
  return encodeJson(Json::array(
      {static_cast<unsigned>(Message.Kind_), Message.Sequence_, Message.From_,
       Message.Target_, toJson(Message.TargetPeer_), Message.SettingsDigest_,
       Message.MembersDigest_, listToJson(Message.Members_),
       listToJson(Message.SettingsUpdates_)}));
}

bool decode(const std::string &Bytes, GossipMessage &Result) {
  return decodeWith(Bytes, Result, [](const Json &From, GossipMessage &To) {
    unsigned Kind = From.at(0).get<unsigned>();
    if (Kind > static_cast<unsigned>(GossipKind::SettingsUpdate))
      throw Json::other_error::create(501, "kind out of range", &From);
    To.Kind_ = static_cast<GossipKind>(Kind);
    From.at(1).get_to(To.Sequence_);
    From.at(2).get_to(To.From_);
    From.at(3).get_to(To.Target_);
    fromJson(From.at(4), To.TargetPeer_);
    From.at(5).get_to(To.SettingsDigest_);
    From.at(6).get_to(To.MembersDigest_);
    listFromJson(From.at(7), To.Members_);
    listFromJson(From.at(8), To.SettingsUpdates_);
  });
}

std::string encode(const SyncMessage &Message) {
  return encodeJson(Json::array({toJson(Message.From_), Message.MembersDigest_,
                                 listToJson(Message.Settings_)}));
}

bool decode(const std::string &Bytes, SyncMessage &Result) {
  return decodeWith(Bytes, Result, [](const Json &From, SyncMessage &To) {
    fromJson(From.at(0), To.From_);
    From.at(1).get_to(To.MembersDigest_);
    listFromJson(From.at(2), To.Settings_);
  });
}

std::string encode(const SyncReply &Message) {
  return encodeJson(Json::array({Message.Serving_, listToJson(Message.Members_),
                                 listToJson(Message.Subtrees_)}));
}

bool decode(const std::string &Bytes, SyncReply &Result) {
  return decodeWith(Bytes, Result, [](const Json &From, SyncReply &To) {
    From.at(0).get_to(To.Serving_);
    listFromJson(From.at(1), To.Members_);
    listFromJson(From.at(2), To.Subtrees_);
  });
}

} // namespace fulmarshelf
