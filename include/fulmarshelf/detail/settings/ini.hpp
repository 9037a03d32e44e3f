#ifndef FULMARSHELF_DETAIL_SETTINGS_INI_HPP
#define FULMARSHELF_DETAIL_SETTINGS_INI_HPP

#include "fulmarshelf/detail/base/error.hpp" // Checked

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace fulmarshelf {

/// @brief One `key = value` line.
struct IniEntry {
  std::string Key_;
  std::string Value_;
  unsigned Line_ = 0;
  friend bool operator==(const IniEntry &, const IniEntry &) = default;
};

/// @brief One `[name]` section with its entries in file order.
struct IniSection {
  std::string Name_;
  unsigned Line_ = 0;
  std::vector<IniEntry> Entries_;
  friend bool operator==(const IniSection &, const IniSection &) = default;
};

/// @brief Largest settings text in bytes. A platform object holds 1 MiB, enough
/// for two such texts inside JSON strings.
inline constexpr std::size_t MaxSettingsBytes = std::size_t{256} * 1024;

/// @brief Splits an INI text into sections. Lines may have any length.
/// @param File file name for findings
/// @param Text complete INI text
/// @param MaxBytes longer texts are rejected
/// @return the sections in file order, or findings for all syntax faults,
/// repeated sections and repeated keys; O(length of the text)
Checked<std::vector<IniSection>>
parseIni(const std::string &File, const std::string &Text,
         std::size_t MaxBytes = MaxSettingsBytes);

/// @brief Writes a text so that it can be a value, an item of a list or part of
/// a section's name: unchanged, or as a JSON string where a character would
/// end it or be removed.
std::string quoteText(const std::string &Text);

/// @brief Reads what quoteText() has written.
/// @return nullopt when the value begins with a quotation mark, but is no JSON
/// string
std::optional<std::string> unquoteText(const std::string &Value);

/// @brief Splits a text at a separator and trims blanks from the parts.
std::vector<std::string> splitList(const std::string &Text, char Separator);

} // namespace fulmarshelf

#endif
