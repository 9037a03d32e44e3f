#include "fulmarshelf/detail/tenancy/tenancy_message.hpp"

#include "fulmarshelf/detail/settings/tenant.hpp"  // MaxTenantNameBytes
#include "fulmarshelf/detail/wire/cbor.hpp"        // encodeCbor, readCborArray
#include "fulmarshelf/detail/wire/json_reader.hpp" // readUnsigned

#include <utility> // move

namespace fulmarshelf {

namespace {

using Json = nlohmann::json;

constexpr const char *ShareTimeTag = "share-time";
constexpr const char *RequestTag = "tokens?";
constexpr const char *GrantTag = "tokens";
constexpr const char *ProofRequestTag = "proof?";
constexpr const char *ProofTag = "proof";
constexpr std::uint64_t MaxMicros = std::uint64_t{3'600} * 1'000'000;
constexpr std::size_t MaxNodeNameBytes = 256;

struct Encoder {
  Json operator()(const ShareTimeMoved &Message) const {
    return Json::array({ShareTimeTag, Message.From_, Message.Incarnation_,
                        Message.Sequence_, Message.Partition_,
                        Message.ShareTime_.count()});
  }
  Json operator()(const TokensRequested &Message) const {
    return Json::array({RequestTag, Message.Id_, Message.Partition_,
                        Message.Needed_, Message.Ahead_, Message.Tenant_});
  }
  Json operator()(const TokensGranted &Message) const {
    return Json::array({GrantTag, Message.Id_, Message.Grant_.Tokens_,
                        Message.Grant_.RoomIn_.count(),
                        Message.Grant_.Complete_});
  }
  Json operator()(const ProofRequested &Message) const {
    return Json::array({ProofRequestTag, Message.Id_});
  }
  Json operator()(const ProofGiven &Message) const {
    return Json::array({ProofTag, Message.Id_, Message.Age_.count(),
                        Message.Version_, Message.StoreEra_});
  }
};

Micros readMicros(const Json &Source) {
  std::uint64_t Value = 0;
  readUnsigned(Source, Value, MaxMicros);
  return Micros(static_cast<Micros::rep>(Value));
}

ShareTimeMoved readShareTime(const Json &Fields) {
  ShareTimeMoved Result;
  Fields.at(1).get_to(Result.From_);
  if (Result.From_.size() > MaxNodeNameBytes)
    throw Json::other_error::create(501, "name too long", &Fields);
  readUnsigned(Fields.at(2), Result.Incarnation_);
  readUnsigned(Fields.at(3), Result.Sequence_);
  readUnsigned(Fields.at(4), Result.Partition_);
  Result.ShareTime_ = readMicros(Fields.at(5));
  return Result;
}

TokensRequested readRequest(const Json &Fields) {
  TokensRequested Result;
  readUnsigned(Fields.at(1), Result.Id_);
  readUnsigned(Fields.at(2), Result.Partition_);
  readUnsigned(Fields.at(3), Result.Needed_, MaxTokens);
  readUnsigned(Fields.at(4), Result.Ahead_, MaxTokens);
  Fields.at(5).get_to(Result.Tenant_);
  if (Result.Tenant_.size() > MaxTenantNameBytes)
    throw Json::other_error::create(501, "value out of range", &Fields);
  return Result;
}

TokensGranted readGrant(const Json &Fields) {
  TokensGranted Result;
  readUnsigned(Fields.at(1), Result.Id_);
  readUnsigned(Fields.at(2), Result.Grant_.Tokens_, MaxTokens);
  Result.Grant_.RoomIn_ = readMicros(Fields.at(3));
  Fields.at(4).get_to(Result.Grant_.Complete_);
  return Result;
}

ProofGiven readProof(const Json &Fields) {
  ProofGiven Result;
  readUnsigned(Fields.at(1), Result.Id_);
  Result.Age_ = readMicros(Fields.at(2));
  readUnsigned(Fields.at(3), Result.Version_);
  readUnsigned(Fields.at(4), Result.StoreEra_);
  return Result;
}

TenancyMessage readMessage(const Json &Fields) {
  std::string Tag = Fields.at(0).get<std::string>();
  if (Tag == ShareTimeTag)
    return readShareTime(Fields);
  if (Tag == RequestTag)
    return readRequest(Fields);
  if (Tag == GrantTag)
    return readGrant(Fields);
  if (Tag == ProofTag)
    return readProof(Fields);
  if (Tag != ProofRequestTag)
    throw Json::other_error::create(501, "unknown kind of message", &Fields);
  ProofRequested Result;
  readUnsigned(Fields.at(1), Result.Id_);
  return Result;
}

} // namespace

std::string encode(const TenancyMessage &Message) {
  return encodeCbor(std::visit(Encoder(), Message));
}

// An array of less than 24 elements has a head of one byte.
bool isTenancyMessage(const std::string &Bytes) {
  constexpr unsigned MajorTypeShift = 5;
  constexpr unsigned TextString = 3;
  return Bytes.size() > 1 &&
         static_cast<unsigned char>(Bytes[1]) >> MajorTypeShift == TextString;
}

std::optional<TenancyMessage> decodeTenancyMessage(const std::string &Bytes) {
  std::optional<TenancyMessage> Result;
  bool Valid = readCborArray(
      Bytes, [&Result](const Json &Fields) { Result = readMessage(Fields); });
  return Valid ? std::move(Result) : std::nullopt;
}

} // namespace fulmarshelf
