#ifndef FULMARSHELF_DETAIL_RETRY_TOKEN_SPLIT_HPP
#define FULMARSHELF_DETAIL_RETRY_TOKEN_SPLIT_HPP

#include <cstdint> // uint32_t

namespace fulmarshelf {

/// @brief Retry tokens that go down with a call; the rest stays with the
/// sender for its own retries. The sum never grows.
constexpr std::uint32_t tokensToCarry(std::uint32_t Available) {
  return Available / 2;
}

} // namespace fulmarshelf

#endif
