#ifndef FULMARSHELF_CLI_PLATFORM_CLIENT_HPP
#define FULMARSHELF_CLI_PLATFORM_CLIENT_HPP

#include "fulmarshelf/detail/shell/store_documents.hpp" // SettingsDocument

#include <chrono>  // milliseconds
#include <string>  // string
#include <variant> // variant

namespace fulmarshelf::cli {

/// @brief The write took effect as this version.
struct WriteApplied {
  std::uint64_t Version_ = 0;
  bool Settled_ = false; ///< the answer was lost; reading back told
};

/// @brief Another write came first.
struct WriteConflict {
  std::uint64_t Version_ = 0; ///< that is there now
  std::string Author_;        ///< of that version
};

/// @brief The platform did not answer, or refused.
struct WriteFailed {
  ErrorCode Code_ = ErrorCode::PlatformUnreachable;
  std::string Detail_;
  bool MayHaveApplied_ = false;
};

/// @brief How a write of settings ended.
using WriteResult = std::variant<WriteApplied, WriteConflict, WriteFailed>;

/// @brief A team's object as it was read.
struct StoredSettings {
  bool Exists_ = false;
  std::uint64_t Version_ = 0;
  SettingsDocument Document_;
};

/// @brief Reads and writes settings in the platform for one operator.
class PlatformClient {
public:
  /// @param Author name written along with each change
  PlatformClient(const Endpoint &Platform, std::string Author,
                 std::chrono::milliseconds Timeout);

  /// @brief Reads a team's object.
  Checked<StoredSettings> read(const std::string &TeamPath) const;

  /// @brief Replaces a team's text if its version is still the given one.
  ///
  /// When the answer is lost, the write is repeated under the same condition;
  /// if that is refused, the write's own mark in the object tells whether the
  /// first try took effect, also when others have written since.
  /// @param IfVersion version that the change is based on, 0 for none
  WriteResult write(const std::string &TeamPath, const std::string &Text,
                    std::uint64_t IfVersion) const;

  /// @brief Removes a team's object if its version is still the given one.
  WriteResult remove(const std::string &TeamPath,
                     std::uint64_t IfVersion) const;

  /// @brief Other teams' texts by path, for the check of shared services.
  Checked<std::vector<SubtreeVersion>> readAll() const;

  /// @brief Addresses of all nodes.
  Checked<std::vector<NodeAddresses>> readNodes() const;

private:
  Checked<std::vector<StoreObject>> readObjects(const std::string &Kind) const;
  WriteResult settle(const std::string &TeamPath,
                     const std::string &WriteId) const;

  Endpoint Platform_;
  std::string Author_;
  std::chrono::milliseconds Timeout_;
};

} // namespace fulmarshelf::cli

#endif
