#ifndef FULMARSHELF_DETAIL_BASE_IDS_HPP
#define FULMARSHELF_DETAIL_BASE_IDS_HPP

#include <compare>    // strong_ordering
#include <cstdint>    // uint64_t
#include <functional> // hash
#include <string>     // string, to_string

namespace fulmarshelf {

/// @brief Strongly typed number that addresses one object in one table.
/// @tparam Tag makes ids of different tables different types.
template <typename Tag> struct Id {
  std::uint64_t Value_ = 0;
  friend std::strong_ordering operator<=>(const Id &, const Id &) = default;
};

/// @brief A request at the node where it entered.
using RequestId = Id<struct RequestTag>;
/// @brief An attempt that this node runs for somebody.
using WorkId = Id<struct WorkTag>;
/// @brief An exchange with a caller, numbered by the shell.
using CallerKey = Id<struct CallerTag>;
/// @brief An incoming stream from another node, numbered by the shell.
using StreamKey = Id<struct StreamTag>;
/// @brief A connection that this node opened, numbered upwards per process.
using LinkId = Id<struct LinkTag>;

/// @brief Start time of a node process in microseconds since 1970; orders the
/// lives of one node name.
using Incarnation = std::uint64_t;

/// @brief Decimal text of an id.
template <typename Tag> std::string toString(Id<Tag> Key) {
  return std::to_string(Key.Value_);
}

/// @brief Names one attempt for ever: values are never used a second time.
struct AttemptId {
  std::string Node_;
  Incarnation Incarnation_ = 0;
  std::uint64_t Sequence_ = 0;
  friend std::strong_ordering operator<=>(const AttemptId &,
                                          const AttemptId &) = default;
};

/// @brief Text form `node.incarnation.sequence`.
/// @return a text that parseAttemptId() reads back; O(length).
std::string toString(const AttemptId &Attempt);

/// @brief Reads the text form of an attempt id.
/// @param Text the text, from a peer and so not trusted
/// @param Result receives the id
/// @return false when the text is not an attempt id; Result is then unchanged
bool parseAttemptId(const std::string &Text, AttemptId &Result);

/// @brief Reads an unsigned decimal number that fills the whole text.
/// @return false on an empty text, another character or an overflow
bool parseNumber(const std::string &Text, std::uint64_t &Result);

} // namespace fulmarshelf

template <typename Tag> struct std::hash<fulmarshelf::Id<Tag>> {
  std::size_t operator()(const fulmarshelf::Id<Tag> &Key) const noexcept {
    return std::hash<std::uint64_t>()(Key.Value_);
  }
};

#endif
