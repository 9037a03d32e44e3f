#include "fulmarshelf/detail/membership/gossip_message.hpp"

#include "fulmarshelf/detail/wire/cbor.hpp"        // encodeCbor, readCborArray
#include "fulmarshelf/detail/wire/json_reader.hpp" // readUnsigned

#include <algorithm> // min
#include <vector>    // vector

namespace fulmarshelf {

namespace {

using Json = nlohmann::json;

// Nodes of earlier versions send fewer fields.
constexpr std::size_t DeparturesField = 8; // of a member
constexpr std::size_t QuarantineField = 9;
constexpr std::size_t StoreEraField = 11;
constexpr std::size_t StoreEvidenceField = 12;
constexpr std::size_t EvidenceField = 3;
// A node that has waited for longer than a minute has asked the store itself.
constexpr Micros MaxEvidenceAge = millis(60'000);

// Arrays instead of objects keep the field names out of the datagrams.
Json toJson(const Endpoint &Address) {
  return Json::array({Address.Address_, Address.Port_});
}

Json toJson(const Departure &Entry) {
  return Json::array({Entry.StartedMs_, Entry.Instance_, Entry.LastSequence_,
                      Entry.StartKnown_});
}

Json toJson(const Member &Report) {
  Json Fields =
      Json::array({Report.Node_, Report.Incarnation_, Report.Version_,
                   static_cast<unsigned>(Report.Status_), toJson(Report.Peer_),
                   Report.Region_, Report.FailureDomain_, Report.Service_});
  if (!Report.Departures_.empty()) {
    Fields.push_back(Json::array());
    for (const Departure &Entry : Report.Departures_)
      Fields.back().push_back(toJson(Entry));
  }
  return Fields;
}

Json toJson(const SettingsVersion &Version) {
  return Json::array({Version.Path_, Version.Version_});
}

Json toJson(const SubtreeVersion &Subtree) {
  return Json::array(
      {Subtree.Path_, Subtree.Version_, Subtree.Deleted_, Subtree.Text_});
}

Json toJson(const StoreEvidence &Evidence) {
  return Json::array({Evidence.Node_, Evidence.Elected_, Evidence.Age_.count(),
                      Evidence.Root_});
}

Json toJson(const RequestDigest &Digest) {
  return Json::array({Digest.High_, Digest.Low_});
}

// The lists in these elements need the templates below.
Json toJson(const CrashReport &Report);
Json toJson(const CrashEvidence &Evidence);
void fromJson(const Json &Source, RequestDigest &Decoded);
void fromJson(const Json &Source, CrashReport &Decoded);
void fromJson(const Json &Source, CrashEvidence &Decoded);

template <typename T> Json listToJson(const std::vector<T> &Values) {
  Json List = Json::array();
  for (const T &Value : Values)
    List.push_back(toJson(Value));
  return List;
}

// at() and get_to() throw on a missing element or a wrong type; decodeWith()
// catches the exceptions and rejects the message.
void fromJson(const Json &Source, Endpoint &Decoded) {
  Source.at(0).get_to(Decoded.Address_);
  readUnsigned(Source.at(1), Decoded.Port_);
}

void fromJson(const Json &Source, Departure &Decoded) {
  readUnsigned(Source.at(0), Decoded.StartedMs_);
  Source.at(1).get_to(Decoded.Instance_);
  readUnsigned(Source.at(2), Decoded.LastSequence_);
  Source.at(3).get_to(Decoded.StartKnown_);
}

void fromJson(const Json &Source, Member &Decoded) {
  Source.at(0).get_to(Decoded.Node_);
  readUnsigned(Source.at(1), Decoded.Incarnation_);
  readUnsigned(Source.at(2), Decoded.Version_);
  unsigned Status = 0;
  readUnsigned(Source.at(3), Status);
  if (Status > static_cast<unsigned>(MemberStatus::Dead))
    throw Json::other_error::create(501, "status out of range", &Source);
  Decoded.Status_ = static_cast<MemberStatus>(Status);
  fromJson(Source.at(4), Decoded.Peer_);
  Source.at(5).get_to(Decoded.Region_);
  Source.at(6).get_to(Decoded.FailureDomain_);
  Source.at(7).get_to(Decoded.Service_);
  if (Source.size() <= DeparturesField)
    return;
  std::vector<Departure> Departures;
  for (const Json &Element : Source.at(DeparturesField)) {
    Departure Entry;
    fromJson(Element, Entry);
    Departures.push_back(Entry);
  }
  mergeDepartures(Decoded.Departures_, Departures);
}

void fromJson(const Json &Source, SettingsVersion &Decoded) {
  Source.at(0).get_to(Decoded.Path_);
  readUnsigned(Source.at(1), Decoded.Version_);
}

void fromJson(const Json &Source, SubtreeVersion &Decoded) {
  Source.at(0).get_to(Decoded.Path_);
  readUnsigned(Source.at(1), Decoded.Version_);
  Source.at(2).get_to(Decoded.Deleted_);
  Source.at(3).get_to(Decoded.Text_);
}

void fromJson(const Json &Source, StoreEvidence &Decoded) {
  Source.at(0).get_to(Decoded.Node_);
  Source.at(1).get_to(Decoded.Elected_);
  std::uint64_t Age = 0;
  readUnsigned(Source.at(2), Age);
  Decoded.Age_ = Micros(static_cast<Micros::rep>(
      std::min(Age, static_cast<std::uint64_t>(MaxEvidenceAge.count()))));
  Source.at(3).get_to(Decoded.Root_);
}

template <typename T>
void listFromJson(const Json &Source, std::vector<T> &Decoded) {
  for (const Json &Element : Source) {
    T Parsed;
    fromJson(Element, Parsed);
    Decoded.push_back(Parsed);
  }
}

Json toJson(const CrashReport &Report) {
  return Json::array({Report.Crash_, listToJson(Report.InProgress_)});
}

Json toJson(const CrashEvidence &Evidence) {
  return Json::array(
      {toJson(Evidence.Digest_), Evidence.Crashes_, Evidence.CrashTimes_});
}

void fromJson(const Json &Source, RequestDigest &Decoded) {
  readUnsigned(Source.at(0), Decoded.High_);
  readUnsigned(Source.at(1), Decoded.Low_);
}

void fromJson(const Json &Source, CrashReport &Decoded) {
  readUnsigned(Source.at(0), Decoded.Crash_);
  listFromJson(Source.at(1), Decoded.InProgress_);
}

void fromJson(const Json &Source, CrashEvidence &Decoded) {
  fromJson(Source.at(0), Decoded.Digest_);
  Source.at(1).get_to(Decoded.Crashes_);
  Source.at(2).get_to(Decoded.CrashTimes_);
}

template <typename T, typename Reader>
bool decodeWith(const std::string &Bytes, T &Decoded, Reader ReadFields) {
  return readCborArray(Bytes, [&](const Json &Fields) {
    T Parsed;
    ReadFields(Fields, Parsed);
    Decoded = std::move(Parsed);
  });
}

} // namespace

std::string encode(const GossipMessage &Message) {
  Json Fields = Json::array(
      {static_cast<unsigned>(Message.Kind_), Message.Sequence_, Message.From_,
       Message.Target_, toJson(Message.TargetPeer_), Message.SettingsDigest_,
       Message.MembersDigest_, listToJson(Message.Members_),
       listToJson(Message.SettingsUpdates_)});
  bool HasEvidence = !Message.Evidence_.Node_.empty();
  bool HasEra = Message.StoreEra_ != 0 || HasEvidence;
  if (!Message.Quarantine_.empty() || HasEra) {
    Fields.push_back(listToJson(Message.Quarantine_.Crashes_));
    Fields.push_back(listToJson(Message.Quarantine_.Cleared_));
  }
  if (HasEra)
    Fields.push_back(Message.StoreEra_);
  if (HasEvidence)
    Fields.push_back(toJson(Message.Evidence_));
  return encodeCbor(Fields);
}

bool decode(const std::string &Bytes, GossipMessage &Decoded) {
  return decodeWith(
      Bytes, Decoded, [](const Json &Fields, GossipMessage &Message) {
        unsigned Kind = 0;
        readUnsigned(Fields.at(0), Kind);
        if (Kind > static_cast<unsigned>(GossipKind::StoreEvidence))
          throw Json::other_error::create(501, "kind out of range", &Fields);
        Message.Kind_ = static_cast<GossipKind>(Kind);
        readUnsigned(Fields.at(1), Message.Sequence_);
        Fields.at(2).get_to(Message.From_);
        Fields.at(3).get_to(Message.Target_);
        fromJson(Fields.at(4), Message.TargetPeer_);
        readUnsigned(Fields.at(5), Message.SettingsDigest_);
        readUnsigned(Fields.at(6), Message.MembersDigest_);
        listFromJson(Fields.at(7), Message.Members_);
        listFromJson(Fields.at(8), Message.SettingsUpdates_);
        if (Fields.size() <= QuarantineField)
          return;
        listFromJson(Fields.at(QuarantineField), Message.Quarantine_.Crashes_);
        listFromJson(Fields.at(QuarantineField + 1),
                     Message.Quarantine_.Cleared_);
        if (Fields.size() > StoreEraField)
          readUnsigned(Fields.at(StoreEraField), Message.StoreEra_);
        if (Fields.size() > StoreEvidenceField)
          fromJson(Fields.at(StoreEvidenceField), Message.Evidence_);
        if (Message.Evidence_.Node_.empty())
          Message.Evidence_ = {};
      });
}

std::string encode(const SyncMessage &Message) {
  return encodeCbor(Json::array({toJson(Message.From_), Message.MembersDigest_,
                                 listToJson(Message.Settings_)}));
}

bool decode(const std::string &Bytes, SyncMessage &Decoded) {
  return decodeWith(Bytes, Decoded,
                    [](const Json &Fields, SyncMessage &Message) {
                      fromJson(Fields.at(0), Message.From_);
                      readUnsigned(Fields.at(1), Message.MembersDigest_);
                      listFromJson(Fields.at(2), Message.Settings_);
                    });
}

std::string encode(const SyncReply &Message) {
  Json Fields = Json::array({Message.Serving_, listToJson(Message.Members_),
                             listToJson(Message.Subtrees_)});
  if (!Message.Evidence_.empty())
    Fields.push_back(listToJson(Message.Evidence_));
  return encodeCbor(Fields);
}

bool decode(const std::string &Bytes, SyncReply &Decoded) {
  return decodeWith(Bytes, Decoded, [](const Json &Fields, SyncReply &Message) {
    Fields.at(0).get_to(Message.Serving_);
    listFromJson(Fields.at(1), Message.Members_);
    listFromJson(Fields.at(2), Message.Subtrees_);
    if (Fields.size() > EvidenceField)
      listFromJson(Fields.at(EvidenceField), Message.Evidence_);
  });
}

} // namespace fulmarshelf
