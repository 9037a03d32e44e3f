#ifndef FULMARSHELF_DETAIL_TENANCY_TENANT_DIRECTORY_HPP
#define FULMARSHELF_DETAIL_TENANCY_TENANT_DIRECTORY_HPP

#include "fulmarshelf/detail/settings/tenant.hpp" // Tenancy, Tenant

#include <cstddef>       // size_t
#include <cstdint>       // uint8_t
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief What the tenants in force say about a credential.
enum class CredentialVerdict : std::uint8_t {
  Accepted,
  Unknown,     ///< no tenant has it
  Unavailable, ///< it cannot be decided: an entry is unreadable or ambiguous
};

/// @brief Result of looking up a credential.
struct CredentialMatch {
  CredentialVerdict Verdict_ = CredentialVerdict::Unknown;
  const Tenant *Tenant_ = nullptr; ///< set when accepted
};

/// @brief Finds tenants by their credentials and names.
///
/// Lookups compare digests, whose comparison time reveals nothing about a
/// credential.
class TenantDirectory {
public:
  TenantDirectory() = default;
  explicit TenantDirectory(const Tenancy &Source);

  /// @brief Whether requests on routes that are not public need a credential.
  bool isRequired() const { return Required_; }

  /// @brief Whether some tenant has a quota.
  bool hasQuotas() const { return HasQuotas_; }

  /// @param Digest contentDigest() of the credential; O(1)
  CredentialMatch find(const std::string &Digest) const;

  /// @brief Tenant by name; nullptr when there is none or its entry cannot be
  /// read. O(1)
  const Tenant *findByName(const std::string &Name) const;

private:
  static constexpr std::size_t Shared = static_cast<std::size_t>(-1);

  bool Required_ = false;
  bool Incomplete_ = false;
  bool HasQuotas_ = false;
  std::vector<Tenant> Tenants_; ///< without their digests
  /// Index into Tenants_, or Shared when two tenants have the credential.
  std::unordered_map<std::string, std::size_t> TenantOfDigest_;
  std::unordered_map<std::string, std::size_t> TenantOfName_;
};

} // namespace fulmarshelf

#endif
