#ifndef FULMARSHELF_DETAIL_TENANCY_TENANCY_MESSAGE_HPP
#define FULMARSHELF_DETAIL_TENANCY_TENANCY_MESSAGE_HPP

#include "fulmarshelf/detail/base/ids.hpp"           // Incarnation
#include "fulmarshelf/detail/base/time.hpp"          // Micros
#include "fulmarshelf/detail/tenancy/quota_pool.hpp" // QuotaGrant

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <variant>  // variant

namespace fulmarshelf {

/// @brief Moves share time of the sender to the receiver's pool of a partition.
struct ShareTimeMoved {
  std::string From_;
  Incarnation Incarnation_ = 0;
  std::uint64_t Sequence_ = 0; ///< rises with each move of one incarnation
  std::uint32_t Partition_ = 0;
  Micros ShareTime_{0};
  friend bool operator==(const ShareTimeMoved &,
                         const ShareTimeMoved &) = default;
};

/// @brief Largest number of tokens in one message.
inline constexpr std::uint32_t MaxTokens = 10'000;

/// @brief Requests tokens of a tenant.
struct TokensRequested {
  std::uint64_t Id_ = 0; ///< of the sender, repeated in the answer
  std::uint32_t Partition_ = 0;
  std::uint32_t Needed_ = 0; ///< for requests that wait
  std::uint32_t Ahead_ = 0;  ///< for requests that are expected
  std::string Tenant_;
  friend bool operator==(const TokensRequested &,
                         const TokensRequested &) = default;
};

/// @brief Answers TokensRequested.
struct TokensGranted {
  std::uint64_t Id_ = 0;
  QuotaGrant Grant_;
  friend bool operator==(const TokensGranted &,
                         const TokensGranted &) = default;
};

/// @brief Asks for the proof that a node has of its settings.
struct ProofRequested {
  std::uint64_t Id_ = 0; ///< of the sender, repeated in the answer
  friend bool operator==(const ProofRequested &,
                         const ProofRequested &) = default;
};

/// @brief Answers ProofRequested. A node without a proof does not answer.
struct ProofGiven {
  std::uint64_t Id_ = 0;
  Micros Age_{0};              ///< of the proof, when the answer was sent
  std::uint64_t Version_ = 0;  ///< of the settings that are proved
  std::uint64_t StoreEra_ = 0; ///< 0: the store names no eras
  friend bool operator==(const ProofGiven &, const ProofGiven &) = default;
};

/// @brief Datagrams between nodes about quotas and about proofs of settings.
using TenancyMessage = std::variant<ShareTimeMoved, TokensRequested,
                                    TokensGranted, ProofRequested, ProofGiven>;

/// @brief Encodes a message as CBOR. Nodes of releases without tenants discard
/// it, since its first element is a text.
std::string encode(const TenancyMessage &Message);

/// @brief Whether a datagram begins like a TenancyMessage and unlike a
/// GossipMessage. O(1)
bool isTenancyMessage(const std::string &Bytes);

/// @brief Decodes a message; checks every type and bound.
/// @return nullopt when the bytes are none
std::optional<TenancyMessage> decodeTenancyMessage(const std::string &Bytes);

} // namespace fulmarshelf

#endif
