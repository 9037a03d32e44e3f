#include "fulmarshelf/detail/base/hash.hpp"

#include <sodium.h> // crypto_shorthash, crypto_generichash, sodium_bin2hex

#include <cstring> // memcpy

namespace fulmarshelf {

namespace {

constexpr std::size_t DigestBytes = 16;
// Every node uses this key, so that all nodes compute the same hash.
constexpr HashKey StableHashKey = {0x66, 0x73};

const unsigned char *bytesOf(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

std::uint64_t keyedHash(const HashKey &Key, std::string_view Text) {
  static_assert(crypto_shorthash_KEYBYTES == std::tuple_size<HashKey>::value);
  std::array<unsigned char, crypto_shorthash_BYTES> Bytes{};
  crypto_shorthash(Bytes.data(), bytesOf(Text), Text.size(), Key.data());
  std::uint64_t Value = 0;
  std::memcpy(&Value, Bytes.data(), sizeof(Value));
  return Value;
}

std::uint64_t stableHash(std::string_view Text) {
  return keyedHash(StableHashKey, Text);
}

std::string contentDigest(std::string_view Text) {
  std::array<unsigned char, DigestBytes> Bytes{};
  crypto_generichash(Bytes.data(), Bytes.size(), bytesOf(Text), Text.size(),
                     nullptr, 0);
  std::array<char, 2 * DigestBytes + 1> Hex{};
  sodium_bin2hex(Hex.data(), Hex.size(), Bytes.data(), Bytes.size());
  return Hex.data();
}

std::string toHex(std::uint64_t Value) {
  std::array<unsigned char, sizeof(Value)> Bytes{};
  for (std::size_t Index = 0; Index < Bytes.size(); ++Index)
    Bytes[Index] = static_cast<unsigned char>(Value >> (56 - 8 * Index));
  std::array<char, 2 * sizeof(Value) + 1> Hex{};
  sodium_bin2hex(Hex.data(), Hex.size(), Bytes.data(), Bytes.size());
  return Hex.data();
}

} // namespace fulmarshelf
