#ifndef FULMARSHELF_DETAIL_BASE_IDS_HPP
#define FULMARSHELF_DETAIL_BASE_IDS_HPP

#include <compare>    // strong_ordering
#include <cstdint>    // uint64_t
#include <functional> // hash
#include <string>     // string, to_string

namespace fulmarshelf {

/// @brief Strongly typed key of an object in one table.
/// @tparam Tag distinguishes the id types of different tables
template <typename Tag> struct Id {
  std::uint64_t Value_ = 0;
  friend std::strong_ordering operator<=>(const Id &, const Id &) = default;
};

/// @brief A request at its entry.
using RequestId = Id<struct RequestTag>;
/// @brief An attempt that this node runs as its owner.
using WorkId = Id<struct WorkTag>;
/// @brief An exchange with a caller, numbered by the shell.
using CallerKey = Id<struct CallerTag>;
/// @brief An incoming stream from another node, numbered by the shell.
using StreamKey = Id<struct StreamTag>;
/// @brief A connection that this node opened; ids increase within a process.
using LinkId = Id<struct LinkTag>;

/// @brief Start time of a node process in microseconds since 1970; orders the
/// incarnations of one node name.
using Incarnation = std::uint64_t;

/// @brief Decimal text of an id.
template <typename Tag> std::string toString(Id<Tag> Key) {
  return std::to_string(Key.Value_);
}

/// @brief Unique id of an attempt; values are never reused.
struct AttemptId {
  std::string Node_;
  Incarnation Incarnation_ = 0;
  std::uint64_t Sequence_ = 0;
  friend std::strong_ordering operator<=>(const AttemptId &,
                                          const AttemptId &) = default;
};

/// @brief Text form `node.incarnation.sequence`.
/// @return a text that parseAttemptId() accepts; O(length)
std::string toString(const AttemptId &Attempt);

/// @brief Reads the text form of an attempt id.
/// @param Text text from a peer, which is not trusted
/// @param Attempt receives the id
/// @return false when the text is not an attempt id; Attempt is then unchanged
bool parseAttemptId(const std::string &Text, AttemptId &Attempt);

/// @brief Reads a text that consists of one unsigned decimal number.
/// @return false when the text is empty, contains a character that is not a
/// digit, or overflows
bool parseNumber(const std::string &Text, std::uint64_t &Number);

} // namespace fulmarshelf

template <typename Tag> struct std::hash<fulmarshelf::Id<Tag>> {
  std::size_t operator()(const fulmarshelf::Id<Tag> &Key) const noexcept {
    return std::hash<std::uint64_t>()(Key.Value_);
  }
};

#endif
