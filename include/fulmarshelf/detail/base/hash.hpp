#ifndef FULMARSHELF_DETAIL_BASE_HASH_HPP
#define FULMARSHELF_DETAIL_BASE_HASH_HPP

#include <array>       // array
#include <cstdint>     // uint64_t
#include <string>      // string
#include <string_view> // string_view

namespace fulmarshelf {

/// @brief Key of a keyed hash.
using HashKey = std::array<unsigned char, 16>;

/// @brief Hash that is the same on all nodes (SipHash-2-4 with a fixed key);
/// O(n).
std::uint64_t stableHash(std::string_view Text);

/// @brief Keyed hash that cannot be forged without the key (SipHash-2-4).
std::uint64_t keyedHash(const HashKey &Key, std::string_view Text);

/// @brief Content digest for equality checks (BLAKE2b, 16 bytes as hexadecimal
/// digits); O(n).
std::string contentDigest(std::string_view Text);

/// @brief Formats a value as sixteen hexadecimal digits.
std::string toHex(std::uint64_t Value);

} // namespace fulmarshelf

#endif
