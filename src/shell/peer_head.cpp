#include "fulmarshelf/detail/shell/peer_head.hpp"

#include <algorithm>   // min
#include <charconv>    // from_chars
#include <string_view> // string_view
#include <utility>     // move

namespace fulmarshelf {

namespace {

// Size of the header list at the start of the body, in bytes.
constexpr std::string_view PackedHeadField = "fs-packed-head";

bool isPlain(const PeerMessage &Message) {
  std::size_t Bytes = 0;
  for (const Header &Field : Message.Headers_)
    Bytes += Field.Name_.size() + Field.Value_.size();
  return Bytes <= MaxPlainHeadBytes;
}

// Encodes each field as `NAME-BYTES VALUE-BYTES\n` and both texts.
std::string encodeFields(const std::vector<Header> &Headers) {
  std::string Bytes;
  for (const Header &Field : Headers) {
    Bytes.append(std::to_string(Field.Name_.size())).append(" ");
    Bytes.append(std::to_string(Field.Value_.size())).append("\n");
    Bytes.append(Field.Name_).append(Field.Value_);
  }
  return Bytes;
}

// Reads a number and the character that ends it, and removes both.
bool readSize(std::string_view &Bytes, char End, std::size_t &Size) {
  std::from_chars_result Parsed =
      std::from_chars(Bytes.data(), Bytes.data() + Bytes.size(), Size);
  std::size_t Digits = static_cast<std::size_t>(Parsed.ptr - Bytes.data());
  if (Parsed.ec != std::errc() || Digits == Bytes.size() ||
      Bytes[Digits] != End)
    return false;
  Bytes.remove_prefix(Digits + 1);
  return true;
}

std::optional<std::vector<Header>> decodeFields(std::string_view Bytes) {
  std::vector<Header> Headers;
  while (!Bytes.empty()) {
    std::size_t NameBytes = 0;
    std::size_t ValueBytes = 0;
    if (!readSize(Bytes, ' ', NameBytes) ||
        !readSize(Bytes, '\n', ValueBytes) || NameBytes > Bytes.size() ||
        ValueBytes > Bytes.size() - NameBytes)
      return std::nullopt;
    Headers.push_back({std::string(Bytes.substr(0, NameBytes)),
                       std::string(Bytes.substr(NameBytes, ValueBytes))});
    Bytes.remove_prefix(NameBytes + ValueBytes);
  }
  return Headers;
}

PeerMessage pack(const PeerMessage &Message, std::vector<Header> PlainHead) {
  if (isPlain(Message))
    return Message;
  PeerMessage Packed{std::move(PlainHead), encodeFields(Message.Headers_)};
  Packed.Headers_.push_back(
      {std::string(PackedHeadField), std::to_string(Packed.Body_.size())});
  Packed.Body_ += Message.Body_;
  return Packed;
}

} // namespace

PeerMessage packRequest(const PeerMessage &Message) {
  return pack(Message, {{":method", "POST"},
                        {":scheme", "http"},
                        {":authority", "fulmarshelf"},
                        {":path", "/"}});
}

PeerMessage packResponse(const PeerMessage &Message) {
  return pack(Message, {{":status", "200"}});
}

std::optional<PeerMessage> unpackHead(PeerMessage Received) {
  const std::string *Size = findHeader(Received.Headers_, PackedHeadField);
  if (Size == nullptr)
    return Received;
  std::size_t HeadBytes = 0;
  std::string_view Digits = *Size;
  std::from_chars_result Parsed =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), HeadBytes);
  if (Parsed.ec != std::errc() || Parsed.ptr != Digits.data() + Digits.size() ||
      HeadBytes > std::min(MaxPackedHeadBytes, Received.Body_.size()))
    return std::nullopt;
  std::optional<std::vector<Header>> Headers =
      decodeFields(std::string_view(Received.Body_).substr(0, HeadBytes));
  if (!Headers)
    return std::nullopt;
  return PeerMessage{std::move(*Headers), Received.Body_.substr(HeadBytes)};
}

} // namespace fulmarshelf
