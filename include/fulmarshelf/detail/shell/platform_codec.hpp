#ifndef FULMARSHELF_DETAIL_SHELL_PLATFORM_CODEC_HPP
#define FULMARSHELF_DETAIL_SHELL_PLATFORM_CODEC_HPP

#include "fulmarshelf/detail/engine/inputs.hpp" // StoreListed, StoreWatched
#include "fulmarshelf/detail/wire/http.hpp"     // HttpRequest

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

namespace fulmarshelf {

/// @brief One accepted write of a team's settings.
struct WriteMark {
  std::string WriteId_; ///< random, chosen by the writer
  std::string Author_;
  friend bool operator==(const WriteMark &, const WriteMark &) = default;
};

/// @brief Value of a team's object in the platform.
struct SettingsDocument {
  std::string Text_;     ///< INI
  std::string Previous_; ///< text before the last write, for undo
  /// Marks of the last writes, the latest first, so that a writer whose answer
  /// was lost can find out whether its write took effect.
  std::vector<WriteMark> Writes_;
  friend bool operator==(const SettingsDocument &,
                         const SettingsDocument &) = default;
};

/// @brief Writes that a document remembers.
inline constexpr std::size_t MaxWriteMarks = 16;

/// @brief Object paths in the platform.
std::string settingsObject(const std::string &TeamPath);
std::string nodeObject(const std::string &Node);

/// @brief Where a node that runs can be reached.
struct NodeAddresses {
  std::string Node_; ///< from the object's path
  Endpoint Peer_;
  Endpoint Operator_;
  friend bool operator==(const NodeAddresses &,
                         const NodeAddresses &) = default;
};

/// @brief Text of a node's object, and back.
std::string encodeAddresses(const NodeAddresses &Value);
bool parseAddresses(const std::string &Text, NodeAddresses &Result);

/// @brief Reads the objects of all nodes from a list answer.
bool parseNodeList(const std::string &Body, std::vector<NodeAddresses> &Result);

/// @brief JSON of a document, and back.
/// @return for parse: false when the text is no such document
std::string encodeDocument(const SettingsDocument &Document);
bool parseDocument(const std::string &Text, SettingsDocument &Result);

/// @brief Calls of the platform's object API.
HttpRequest listRequest(const std::string &Prefix);
HttpRequest watchRequest(std::uint64_t Since, unsigned TimeoutMs);
HttpRequest getRequest(const std::string &Object);
/// @param IfVersion version that must be there, 0 for none; ignored when
/// Unconditional
HttpRequest putRequest(const std::string &Object, const std::string &Value,
                       std::uint64_t IfVersion, bool Unconditional);
HttpRequest deleteRequest(const std::string &Object, std::uint64_t IfVersion,
                          bool Unconditional);

/// @brief One object as the platform tells it.
struct PlatformObject {
  std::string Path_;
  std::uint64_t Version_ = 0;
  bool Deleted_ = false;
  std::string Value_;
  friend bool operator==(const PlatformObject &,
                         const PlatformObject &) = default;
};

/// @brief Reads the platform's answers.
/// @return false on a malformed answer
bool parseObject(const std::string &Body, PlatformObject &Result);
bool parseList(const std::string &Body, StoreListed &Result);
bool parseWatch(const std::string &Body, StoreWatched &Result);
/// @brief Reads `{"version": N}`, as writes are answered.
bool parseVersion(const std::string &Body, std::uint64_t &Result);

} // namespace fulmarshelf

#endif
