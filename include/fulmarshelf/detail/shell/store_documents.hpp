#ifndef FULMARSHELF_DETAIL_SHELL_STORE_DOCUMENTS_HPP
#define FULMARSHELF_DETAIL_SHELL_STORE_DOCUMENTS_HPP

#include "fulmarshelf/detail/engine/inputs.hpp" // StoreListed, NodeSeed
#include "platform/store_codec.hpp"             // StoreObject

#include <string> // string
#include <vector> // vector

namespace fulmarshelf {

/// @brief Kinds of objects that the project keeps in the store.
inline constexpr const char *TeamsKind = "fulmarshelf-teams";
inline constexpr const char *NodesKind = "fulmarshelf-nodes";

/// @brief One accepted write of a team's settings.
struct WriteMark {
  std::string WriteId_; ///< random, chosen by the writer
  std::string Author_;
  friend bool operator==(const WriteMark &, const WriteMark &) = default;
};

/// @brief Content of a team's object in the store.
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

/// @brief Name of the object that holds a team's settings.
/// @param TeamPath begins with a slash
std::string teamObject(const std::string &TeamPath);

/// @brief JSON of a document, and back.
/// @return for parse: false when the text is no such document
std::string encodeDocument(const SettingsDocument &Document);
bool parseDocument(const std::string &Text, SettingsDocument &Result);

/// @brief Where a node that runs can be reached.
struct NodeAddresses {
  std::string Node_; ///< from the object's name
  Endpoint Peer_;
  Endpoint Operator_;
  friend bool operator==(const NodeAddresses &,
                         const NodeAddresses &) = default;
};

/// @brief JSON of a node's object, and back.
std::string encodeAddresses(const NodeAddresses &Value);
/// @return false when the object holds no addresses
bool parseAddresses(const StoreObject &Object, NodeAddresses &Result);

/// @brief Addresses in all objects that hold some.
std::vector<NodeAddresses> nodesOf(const std::vector<StoreObject> &Objects);

/// @brief What an object of a collection puts in force.
/// @return nullopt when it holds no settings, or none that can be read;
/// Fault then says why
std::optional<SubtreeVersion>
subtreeOf(Collection Kind, const StoreObject &Object, std::string &Fault);

/// @brief Kind of the objects of a collection.
const char *kindOf(Collection Value);

} // namespace fulmarshelf

#endif
