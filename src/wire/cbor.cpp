#include "fulmarshelf/detail/wire/cbor.hpp"

#include "fulmarshelf/detail/wire/json_reader.hpp" // MaxJsonDepth

#include <cstdint> // uint64_t
#include <vector>  // vector

namespace fulmarshelf {

namespace {

using Json = nlohmann::json;

constexpr unsigned MajorTypeShift = 5;
constexpr unsigned InfoMask = 31;
constexpr unsigned LargestDirectInfo = 23;
constexpr unsigned LargestLengthInfo = 27;

// Head of a CBOR item: its major type and its argument.
struct CborHead {
  unsigned MajorType_ = 0;
  std::uint64_t Argument_ = 0;
};

// Reads the head at a position and moves the position behind it. Returns
// nullopt at the end, and for indefinite lengths, which encode() does not
// write.
std::optional<CborHead> readHead(const std::string &Bytes,
                                 std::size_t &Position) {
  if (Position >= Bytes.size())
    return std::nullopt;
  unsigned First = static_cast<unsigned char>(Bytes[Position++]);
  CborHead Head{First >> MajorTypeShift, First & InfoMask};
  if (Head.Argument_ <= LargestDirectInfo)
    return Head;
  if (Head.Argument_ > LargestLengthInfo)
    return std::nullopt;
  std::size_t Size = std::size_t{1} << (Head.Argument_ - LargestDirectInfo - 1);
  if (Bytes.size() - Position < Size)
    return std::nullopt;
  Head.Argument_ = 0;
  for (; Size > 0; --Size)
    Head.Argument_ =
        Head.Argument_ << 8U | static_cast<unsigned char>(Bytes[Position++]);
  return Head;
}

// Returns whether a message is nested no deeper than MaxJsonDepth. from_cbor()
// recurses once a level.
bool isNestingBounded(const std::string &Bytes) {
  constexpr unsigned ByteString = 2;
  constexpr unsigned TextString = 3;
  constexpr unsigned Array = 4;
  constexpr unsigned Map = 5;
  constexpr unsigned Tag = 6;
  std::vector<std::uint64_t> Remaining = {1}; // items of each open level
  std::size_t Position = 0;
  while (!Remaining.empty()) {
    if (Remaining.back() == 0) {
      Remaining.pop_back();
      continue;
    }
    --Remaining.back();
    std::optional<CborHead> Head = readHead(Bytes, Position);
    if (!Head || Head->MajorType_ == Tag || Head->MajorType_ == Map)
      return false;
    if (Head->MajorType_ == ByteString || Head->MajorType_ == TextString) {
      if (Head->Argument_ > Bytes.size() - Position)
        return false;
      Position += Head->Argument_;
    }
    if (Head->MajorType_ == Array)
      Remaining.push_back(Head->Argument_);
    if (Remaining.size() > MaxJsonDepth)
      return false;
  }
  return true;
}

} // namespace

std::string encodeCbor(const Json &Document) {
  std::string Bytes;
  Json::to_cbor(Document, Bytes);
  return Bytes;
}

std::optional<Json> decodeCborArray(const std::string &Bytes) {
  if (!isNestingBounded(Bytes))
    return std::nullopt;
  // from_cbor() throws on impossible sizes even though its last argument
  // disables exceptions.
  try {
    Json Document = Json::from_cbor(Bytes, true, false);
    if (!Document.is_array())
      return std::nullopt;
    return Document;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

} // namespace fulmarshelf
