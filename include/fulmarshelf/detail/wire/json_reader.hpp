#ifndef FULMARSHELF_DETAIL_WIRE_JSON_READER_HPP
#define FULMARSHELF_DETAIL_WIRE_JSON_READER_HPP

#include <nlohmann/json.hpp> // json

#include <limits>      // numeric_limits
#include <string>      // string
#include <string_view> // string_view

namespace fulmarshelf {

/// @brief Greatest depth of arrays and objects that parseJson() reads.
inline constexpr unsigned MaxJsonDepth = 32;

/// @brief Parses a text from another process.
///
/// A value below MaxJsonDepth, and a number beyond the range of a double, is
/// read as an object that says so. Otherwise the first would exhaust the stack
/// of functions that recurse over a document, and the second would make the
/// whole text unreadable.
/// @return a discarded value when the text is not valid JSON
nlohmann::json parseJson(std::string_view Text);

/// @brief Reads an unsigned integer.
/// @throw nlohmann::json::exception when the value is another type, negative or
/// above Max
template <typename T>
void readUnsigned(const nlohmann::json &Source, T &Result,
                  T Max = std::numeric_limits<T>::max()) {
  if (!Source.is_number_unsigned() || Source.get<std::uint64_t>() > Max)
    throw nlohmann::json::other_error::create(
        501, "no unsigned integer up to " + std::to_string(Max), &Source);
  Result = static_cast<T>(Source.get<std::uint64_t>());
}

/// @brief Parses a text and passes the document to a reader, whose getters may
/// throw nlohmann's exceptions on a missing field or a wrong type.
/// @return false when the text is not valid JSON or the reader threw one of
/// these exceptions
template <typename Reader> bool readJson(const std::string &Text, Reader Read) {
  nlohmann::json Document = parseJson(Text);
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
