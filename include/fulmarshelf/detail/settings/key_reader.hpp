#ifndef FULMARSHELF_DETAIL_SETTINGS_KEY_READER_HPP
#define FULMARSHELF_DETAIL_SETTINGS_KEY_READER_HPP

#include "fulmarshelf/detail/base/error.hpp"   // Findings
#include "fulmarshelf/detail/base/time.hpp"    // Micros
#include "fulmarshelf/detail/settings/ini.hpp" // IniSection

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace fulmarshelf {

/// @brief Reads the keys of one section and collects what is wrong with them.
///
/// Each read marks its key as known; finish() reports the keys that nobody
/// asked for.
class KeyReader {
public:
  /// @param File name that findings carry
  /// @param Section read from; must outlive the reader
  /// @param Faults receives the findings; must outlive the reader
  KeyReader(const std::string &File, const IniSection &Section,
            Findings &Faults);

  /// @brief Whole number between two bounds, both allowed.
  std::optional<std::uint64_t> number(const std::string &Key,
                                      std::uint64_t Least, std::uint64_t Most);
  /// @brief Duration given in milliseconds.
  std::optional<Micros> duration(const std::string &Key, std::uint64_t LeastMs,
                                 std::uint64_t MostMs);
  /// @brief Number with a fraction, 0 or above; an empty value counts as left
  /// out.
  std::optional<double> real(const std::string &Key);
  /// @brief Duration given in seconds; an empty value counts as left out.
  std::optional<Micros> seconds(const std::string &Key);
  /// @brief `yes` or `no`.
  std::optional<bool> flag(const std::string &Key);
  /// @brief Any text that is not empty.
  std::optional<std::string> text(const std::string &Key);
  /// @brief Texts separated by commas, none of them empty.
  std::vector<std::string> list(const std::string &Key);
  /// @brief Adds a finding when the key is missing.
  void require(const std::string &Key);
  /// @brief Adds a finding at the line of a key, or of the section.
  void fault(const std::string &Key, ErrorCode Code, std::string Message);
  /// @brief Reports every key that was not asked for.
  void finish();

private:
  const IniEntry *find(const std::string &Key);

  const std::string &File_;
  const IniSection &Section_;
  Findings &Faults_;
  std::vector<std::string> Known_;
};

} // namespace fulmarshelf

#endif
