#ifndef FULMARSHELF_DETAIL_RETRY_TOKEN_SPLIT_HPP
#define FULMARSHELF_DETAIL_RETRY_TOKEN_SPLIT_HPP

#include <cstdint> // uint32_t

namespace fulmarshelf {

// The sum of the tokens of a request over its whole chain never grows: a part
// goes down, and what is unused comes back with the answer.

/// @brief Tokens that go along with an attempt; the sender keeps one for a
/// retry of its own.
constexpr std::uint32_t tokensForAttempt(std::uint32_t Available) {
  return Available == 0 ? 0 : Available - 1;
}

/// @brief Tokens that work hands to one of its calls. Most calls are made one
/// after the other, so a call gets most and hands back what it did not need.
constexpr std::uint32_t tokensForCall(std::uint32_t Available) {
  return Available - Available / 4;
}

} // namespace fulmarshelf

#endif
