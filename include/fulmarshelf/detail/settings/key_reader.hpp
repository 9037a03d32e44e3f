#ifndef FULMARSHELF_DETAIL_SETTINGS_KEY_READER_HPP
#define FULMARSHELF_DETAIL_SETTINGS_KEY_READER_HPP

#include "fulmarshelf/detail/base/error.hpp"   // Findings
#include "fulmarshelf/detail/base/time.hpp"    // Micros
#include "fulmarshelf/detail/settings/ini.hpp" // IniSection

#include <cstdint>       // uint64_t
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <vector>        // vector

namespace fulmarshelf {

/// @brief Reads the keys of one section and collects their faults.
///
/// Each read marks its key as known; reportUnknownKeys() reports the keys that
/// were never read.
class KeyReader {
public:
  /// @param File file name for findings; must outlive the reader
  /// @param Section section to read; must outlive the reader
  /// @param Faults receives the findings; must outlive the reader
  KeyReader(const std::string &File, const IniSection &Section,
            Findings &Faults);

  /// @brief Whole number from Min to Max, both inclusive.
  std::optional<std::uint64_t> number(const std::string &Key, std::uint64_t Min,
                                      std::uint64_t Max);
  /// @brief Duration in milliseconds, from MinMs to MaxMs, both inclusive.
  std::optional<Micros> duration(const std::string &Key, std::uint64_t MinMs,
                                 std::uint64_t MaxMs);
  /// @brief Decimal number of 0 or more. An empty value, `null` and a
  /// placeholder that was not rendered count as a missing key.
  std::optional<double> real(const std::string &Key);
  /// @brief Duration in seconds, read as real() does.
  std::optional<Micros> seconds(const std::string &Key);
  /// @brief `yes` or `no`.
  std::optional<bool> flag(const std::string &Key);
  /// @brief `yes` or `true`, `no` or `false`; missing in the same cases as
  /// real().
  std::optional<bool> renderedFlag(const std::string &Key);
  /// @brief Non-empty text.
  std::optional<std::string> text(const std::string &Key);
  /// @brief Text as quoteText() writes it.
  std::optional<std::string> quotedText(const std::string &Key);
  /// @brief Non-empty texts separated by commas.
  std::vector<std::string> list(const std::string &Key);
  /// @brief Adds a finding when the key is missing.
  void require(const std::string &Key);
  /// @brief Adds a finding at the line of a key, or at the line of the section
  /// when the section has no such key.
  void addFinding(const std::string &Key, ErrorCode Code, std::string Message);
  /// @brief Adds a finding for every key that was never read.
  void reportUnknownKeys();

private:
  const IniEntry *find(const std::string &Key);

  const std::string &File_;
  const IniSection &Section_;
  Findings &Faults_;
  std::unordered_map<std::string, const IniEntry *> Entries_; ///< by key
  std::unordered_set<std::string> ReadKeys_;
};

} // namespace fulmarshelf

#endif
