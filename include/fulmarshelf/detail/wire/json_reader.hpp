#ifndef FULMARSHELF_DETAIL_WIRE_JSON_READER_HPP
#define FULMARSHELF_DETAIL_WIRE_JSON_READER_HPP

#include <nlohmann/json.hpp> // json

#include <string> // string

namespace fulmarshelf {

/// @brief Parses a text and hands the document to a reader, whose getters may
/// throw nlohmann's exceptions on a missing field or a wrong type.
/// @return false when the text is no JSON or the reader threw
template <typename Reader> bool readJson(const std::string &Text, Reader Read) {
  nlohmann::json Document = nlohmann::json::parse(Text, nullptr, false);
  if (Document.is_discarded())
    return false;
  try {
    Read(Document);
  } catch (const nlohmann::json::exception &) {
    return false;
  }
  return true;
}

} // namespace fulmarshelf

#endif
