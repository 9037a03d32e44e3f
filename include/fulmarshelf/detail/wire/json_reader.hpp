#ifndef FULMARSHELF_DETAIL_WIRE_JSON_READER_HPP
#define FULMARSHELF_DETAIL_WIRE_JSON_READER_HPP

#include <nlohmann/json.hpp> // json

#include <string> // string

namespace fulmarshelf {

/// @brief Parses a text and passes the document to a reader, whose getters may
/// throw nlohmann's exceptions on a missing field or a wrong type.
/// @return false when the text is not valid JSON or the reader threw one of
/// these exceptions
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
