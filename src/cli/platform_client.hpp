#ifndef FULMARSHELF_CLI_PLATFORM_CLIENT_HPP
#define FULMARSHELF_CLI_PLATFORM_CLIENT_HPP

#include "fulmarshelf/detail/shell/store_documents.hpp" // SettingsDocument

#include <chrono>   // milliseconds
#include <optional> // optional
#include <string>   // string
#include <variant>  // variant

namespace fulmarshelf::cli {

/// @brief The write took effect and produced this version.
struct WriteApplied {
  std::uint64_t Version_ = 0;
  /// The answer was lost, and a read confirmed the write.
  bool ConfirmedByRead_ = false;
};

/// @brief Another write took effect first.
struct WriteConflict {
  std::uint64_t Version_ = 0; ///< version now stored
  std::string Author_;        ///< author of the stored version
};

/// @brief The platform did not answer, or rejected the write.
struct WriteFailed {
  ErrorCode Code_ = ErrorCode::PlatformUnreachable;
  std::string Detail_;
  bool MayHaveApplied_ = false; ///< the write may have taken effect
};

/// @brief Outcome of a settings write.
using WriteResult = std::variant<WriteApplied, WriteConflict, WriteFailed>;

/// @brief A team's object as one read returned it.
struct StoredSettings {
  bool Exists_ = false;
  std::uint64_t Version_ = 0;        ///< 0 when there is no object
  std::uint64_t Revision_ = 0;       ///< revision of the object
  std::optional<std::uint64_t> Era_; ///< era of the store, when it names one
  SettingsDocument Document_;
};

/// @brief Reads and writes settings in the platform for one operator.
class PlatformClient {
public:
  /// @param Author name stored with each change
  /// @param Timeout time limit of each HTTP call
  PlatformClient(const Endpoint &Platform, std::string Author,
                 std::chrono::milliseconds Timeout);

  /// @brief Reads a team's object.
  Checked<StoredSettings> read(const std::string &TeamPath) const;

  /// @brief Replaces a team's text if its version is still the given one.
  ///
  /// When the answer is lost, the write is repeated under the same condition.
  /// If the repeat is rejected, the write mark in the object shows whether an
  /// earlier attempt took effect, also after further writes by others.
  /// @param IfVersion version that the change is based on, 0 for none
  WriteResult write(const std::string &TeamPath, const std::string &Text,
                    std::uint64_t IfVersion) const;

  /// @brief Removes a team's object if its version is still the given one.
  WriteResult remove(const std::string &TeamPath,
                     std::uint64_t IfVersion) const;

  /// @brief Reads the settings of all teams, to check that no service belongs
  /// to two teams.
  Checked<std::vector<SubtreeVersion>> readAll() const;

  /// @brief Reads the addresses of all nodes.
  Checked<std::vector<NodeAddresses>> readNodes() const;

private:
  struct ObjectList {
    std::vector<StoreObject> Objects_;
    std::optional<std::uint64_t>
        Era_; ///< named by the answer with the last page
  };

  Checked<ObjectList> readObjects(const std::string &Kind) const;
  WriteResult resolveWrite(const std::string &TeamPath,
                           const std::string &WriteId) const;

  Endpoint Platform_;
  std::string Author_;
  std::chrono::milliseconds Timeout_;
};

} // namespace fulmarshelf::cli

#endif
