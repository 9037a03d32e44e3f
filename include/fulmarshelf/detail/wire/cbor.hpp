#ifndef FULMARSHELF_DETAIL_WIRE_CBOR_HPP
#define FULMARSHELF_DETAIL_WIRE_CBOR_HPP

#include <nlohmann/json.hpp> // json

#include <optional> // optional
#include <string>   // string

namespace fulmarshelf {

/// @brief Encodes a document as CBOR.
std::string encodeCbor(const nlohmann::json &Document);

/// @brief Decodes a CBOR array of bounded depth.
/// @return nullopt when the bytes are anything else
std::optional<nlohmann::json> decodeCborArray(const std::string &Bytes);

/// @brief Decodes a CBOR array and passes it to a function that reads it.
/// @param Read may throw the exceptions of the JSON library
/// @return false when the bytes are no array of bounded depth, or Read has
/// thrown
template <typename Reader>
bool readCborArray(const std::string &Bytes, Reader Read) {
  std::optional<nlohmann::json> Document = decodeCborArray(Bytes);
  if (!Document)
    return false;
  try {
    Read(*Document);
    return true;
  } catch (const nlohmann::json::exception &) {
    return false;
  }
}

} // namespace fulmarshelf

#endif
