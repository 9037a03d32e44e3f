#ifndef FULMARSHELF_DETAIL_ENGINE_TENANCY_STATE_HPP
#define FULMARSHELF_DETAIL_ENGINE_TENANCY_STATE_HPP

#include "fulmarshelf/detail/engine/tables.hpp"          // Request
#include "fulmarshelf/detail/settings/registry.hpp"      // EffectiveRules
#include "fulmarshelf/detail/tenancy/quota_pool.hpp"     // QuotaPool
#include "fulmarshelf/detail/tenancy/quota_wallet.hpp"   // QuotaWallet
#include "fulmarshelf/detail/tenancy/settings_proof.hpp" // SettingsProof

#include <array>         // array
#include <cstdint>       // uint64_t
#include <deque>         // deque
#include <map>           // map
#include <string>        // string
#include <unordered_map> // unordered_map
#include <utility>       // pair

namespace fulmarshelf {

/// @brief Progress of proving that the settings in force are current. Times are
/// those of bootTime().
struct ProofSync {
  SettingsProof Proof_;
  std::uint64_t LastQuestion_ = 0;
  std::map<std::uint64_t, TimePoint> Questions_; ///< asked at, by id
  TimePoint NextQuestionAt_;
  bool WasProved_ = false; ///< at the last check, for the log
};

/// @brief Number of parts into which tenants are divided by a hash of their
/// names. The tenants of one partition have their quota pool on one node.
inline constexpr std::size_t QuotaPartitions = 8;

/// @brief Where this node moves its part of the quotas of one partition.
struct QuotaPartition {
  std::string PoolNode_; ///< receiver of the last move; empty: none yet
  TimePoint MovedAt_;    ///< up to which share time was moved
  std::uint64_t ChosenAmong_ = 0; ///< Membership::changes() at the choice
  TimePoint ChosenUntil_;         ///< time at which it is chosen again
  unsigned Unanswered_ = 0;       ///< requests in a row without an answer
};

/// @brief A request for tokens.
struct TokensQuestion {
  std::string Tenant_;
  std::string PoolNode_;
  std::uint32_t Partition_ = 0;
  unsigned Needed_ = 0;
  TimePoint AskedAt_;     ///< on the clock of bootTime()
  bool TimedOut_ = false; ///< an answer may still arrive and count
};

/// @brief A request that waits for a quota token.
struct HeldRequest {
  Request Request_;
  EffectiveRules Rules_;
  bool FromBackend_ = false;
};

/// @brief Tokens and waiting requests of one tenant at this entry.
struct TenantTokens {
  std::uint64_t Number_ = 0; ///< identifies the tenant in timers
  QuotaWallet Wallet_;
  std::deque<RequestId> Held_;
  std::uint64_t Question_ =
      0;                  ///< request for tokens without an answer; 0: none
  bool RetrySet_ = false; ///< a timer will request tokens again
  TimePoint NoRoomUntil_; ///< until then requests are refused at once
  QuotaGrant LastGrant_;
};

/// @brief Number of requests of one tenant by the decision on them.
struct TenantCounts {
  std::uint64_t Admitted_ = 0;
  std::uint64_t OverQuota_ = 0;
  std::uint64_t NoTokens_ = 0; ///< refused though the quota may not be used up
};

/// @brief Quotas as this node divides, keeps and spends them.
struct QuotaState {
  std::array<QuotaPartition, QuotaPartitions> Partitions_;
  std::uint32_t NextPartition_ = 0; ///< next one whose share time is moved
  bool MoveTimerSet_ = false;
  std::uint64_t LastMove_ = 0;
  std::map<std::uint32_t, QuotaPool> Pools_; ///< kept here, by partition
  /// Incarnation and sequence of the last move received, by node and partition.
  std::map<std::pair<std::string, std::uint32_t>,
           std::pair<Incarnation, std::uint64_t>>
      Moves_;
  /// Nodes that did not answer, and the time at which they are tried again.
  std::unordered_map<std::string, TimePoint> Silent_;
  std::uint64_t LastQuestion_ = 0;
  std::map<std::uint64_t, TokensQuestion> Questions_;
  std::unordered_map<std::string, TenantTokens> Tenants_;
  std::uint64_t LastTenant_ = 0;
  std::unordered_map<std::uint64_t, std::string> TenantOfNumber_;
  std::unordered_map<RequestId, HeldRequest> Held_;
  std::map<std::string, TenantCounts> Counts_;
  std::size_t ListedNodes_ = 0; ///< in the last list of the store
  TimePoint ListedAt_;
};

} // namespace fulmarshelf

#endif
