#ifndef FULMARSHELF_DETAIL_SETTINGS_TENANT_HPP
#define FULMARSHELF_DETAIL_SETTINGS_TENANT_HPP

#include <cstddef>  // size_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace fulmarshelf {

/// @brief Limit on the requests of one tenant over all nodes together.
struct Quota {
  double RatePerSecond_ = 0; ///< requests a second; 0: no limit
  double Burst_ = 0;         ///< requests beyond the rate
  bool isLimited() const { return RatePerSecond_ > 0; }
  friend bool operator==(const Quota &, const Quota &) = default;
};

/// @brief A group of callers that share credentials and a quota.
struct Tenant {
  std::string Name_;
  /// contentDigest() of each credential. The credentials themselves are not
  /// kept, so that no page, log or message between nodes can show them.
  std::vector<std::string> CredentialDigests_;
  std::optional<unsigned> Importance_; ///< replaces that of the route
  Quota Quota_;
  /// The operator's entry cannot be read; its requests are refused as not run.
  bool OutOfService_ = false;
  friend bool operator==(const Tenant &, const Tenant &) = default;
};

/// @brief Greatest length of a tenant's name, in bytes.
inline constexpr std::size_t MaxTenantNameBytes = std::size_t{16} * 1024;

/// @brief Tenants of a mesh.
struct Tenancy {
  bool Required_ = false; ///< routes need a credential, except public ones
  /// The credentials of some entry cannot be read, so that a credential that no
  /// tenant has may be valid.
  bool Incomplete_ = false;
  std::vector<Tenant> Tenants_;
  friend bool operator==(const Tenancy &, const Tenancy &) = default;
};

} // namespace fulmarshelf

#endif
