#ifndef FULMARSHELF_DETAIL_SHELL_STORE_DOCUMENTS_HPP
#define FULMARSHELF_DETAIL_SHELL_STORE_DOCUMENTS_HPP

#include "fulmarshelf/detail/engine/inputs.hpp" // Collection
#include "platform/store_codec.hpp"             // StoreObject

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace fulmarshelf {

/// @brief Kinds of objects that fulmarshelf keeps in the store.
inline constexpr const char *TeamsKind = "fulmarshelf-teams";
inline constexpr const char *NodesKind = "fulmarshelf-nodes";

/// @brief Identifies one accepted write of a team's settings.
struct WriteMark {
  std::string WriteId_; ///< random id that the writer generates
  std::string Author_;
  friend bool operator==(const WriteMark &, const WriteMark &) = default;
};

/// @brief Content of a team's object in the store.
struct SettingsDocument {
  std::string Text_;     ///< INI
  std::string Previous_; ///< text before the last write, for undo
  /// Last writes, the latest first. A writer that lost the response to its
  /// write reads here whether the write took effect.
  std::vector<WriteMark> Writes_;
  /// Era of the store in which the writer began the write; 0: none named.
  std::uint64_t Era_ = 0;
  friend bool operator==(const SettingsDocument &,
                         const SettingsDocument &) = default;
};

/// @brief Maximum number of writes that a document lists.
inline constexpr std::size_t MaxWriteMarks = 16;

/// @brief Name of the object that holds a team's settings.
/// @param TeamPath path that begins with a slash
std::string teamObject(const std::string &TeamPath);

/// @brief Converts a document to JSON and back.
/// @return for parseDocument, false when the text is not a settings document;
/// the result is then unchanged
std::string encodeDocument(const SettingsDocument &Document);
bool parseDocument(const std::string &Text, SettingsDocument &Result);

/// @brief Addresses of a running node.
struct NodeAddresses {
  std::string Node_; ///< name of the node and of its object
  Endpoint Peer_;
  Endpoint Operator_;
  friend bool operator==(const NodeAddresses &,
                         const NodeAddresses &) = default;
};

/// @brief Converts the record of a node to JSON.
/// @param Addresses left out of a record that is not reachable
std::string encodeRecord(const NodeAddresses &Addresses,
                         const NodeRecord &Record);
/// @return false when the object does not hold two valid addresses
bool parseAddresses(const StoreObject &Object, NodeAddresses &Result);
/// @return the departures that can be read, in the order of mergeDepartures()
std::vector<Departure> parseDepartures(const StoreObject &Object);

/// @brief Reads the records that hold departures.
std::vector<StoredRecord> parseRecords(const std::vector<StoreObject> &Objects);

/// @brief Reads the addresses from all objects that hold valid ones.
std::vector<NodeAddresses>
parseNodeAddresses(const std::vector<StoreObject> &Objects);

/// @brief Version of a team's settings in an object of the store. The era is
/// that of the writer: an object that the store has restored keeps its version.
/// @param Era era that the answer with the object names
std::uint64_t documentVersion(const SettingsDocument &Document,
                              const StoreObject &Object,
                              const std::optional<std::uint64_t> &Era);

/// @brief Converts an object of a collection to a version of a subtree.
/// @param Era era that the answer with the object names
/// @param Fault receives the reason when the settings, or some entries of them,
/// cannot be read
/// @return nullopt when the object holds no settings or only unreadable ones
std::optional<SubtreeVersion>
parseSubtree(Collection Kind, const StoreObject &Object,
             const std::optional<std::uint64_t> &Era, std::string &Fault);

/// @brief Returns the kind of the objects of a collection.
const char *objectKind(Collection Value);

} // namespace fulmarshelf

#endif
