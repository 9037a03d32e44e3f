#ifndef FULMARSHELF_DETAIL_RETRY_TOKEN_SPLIT_HPP
#define FULMARSHELF_DETAIL_RETRY_TOKEN_SPLIT_HPP

#include <cstdint> // uint32_t

namespace fulmarshelf {

// The sum of the retry tokens of a request over its whole chain never grows: a
// part is passed downstream, and unused tokens are returned with the reply.

/// @brief Tokens passed with an attempt; the sender keeps one for a retry of
/// its own.
constexpr std::uint32_t tokensForAttempt(std::uint32_t Available) {
  return Available == 0 ? 0 : Available - 1;
}

/// @brief Tokens that running work passes to one of its calls. Most calls are
/// sequential, so a call gets most of the tokens and returns the unused ones.
constexpr std::uint32_t tokensForCall(std::uint32_t Available) {
  return Available - Available / 4;
}

} // namespace fulmarshelf

#endif
