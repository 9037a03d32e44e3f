#ifndef FULMARSHELF_DETAIL_QUARANTINE_REQUEST_DIGEST_HPP
#define FULMARSHELF_DETAIL_QUARANTINE_REQUEST_DIGEST_HPP

#include "fulmarshelf/detail/wire/http.hpp" // HttpRequest

#include <compare>     // strong ordering
#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace fulmarshelf {

/// @brief Identity of a request across attempts, entries and owners: a 128-bit
/// BLAKE2b hash of method, host, target, credentials and body.
struct RequestDigest {
  std::uint64_t High_ = 0;
  std::uint64_t Low_ = 0;
  friend auto operator<=>(const RequestDigest &,
                          const RequestDigest &) = default;
};

/// @brief Digest of a request; O(size of the body).
RequestDigest digestOf(const HttpRequest &Request);

/// @brief 32 hexadecimal digits.
std::string toString(const RequestDigest &Digest);

/// @brief Reads the text that toString() writes; nullopt when it is malformed.
std::optional<RequestDigest> parseRequestDigest(std::string_view Text);

} // namespace fulmarshelf

#endif
