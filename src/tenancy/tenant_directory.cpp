#include "fulmarshelf/detail/tenancy/tenant_directory.hpp"

#include <utility> // exchange

namespace fulmarshelf {

TenantDirectory::TenantDirectory(const Tenancy &Source)
    : Required_(Source.Required_), Incomplete_(Source.Incomplete_),
      Tenants_(Source.Tenants_) {
  for (std::size_t Index = 0; Index < Tenants_.size(); ++Index) {
    Tenant &Entry = Tenants_[Index];
    for (const std::string &Digest :
         std::exchange(Entry.CredentialDigests_, {})) {
      auto Added = TenantOfDigest_.emplace(Digest, Index);
      if (!Added.second && Added.first->second != Index)
        Added.first->second = Shared;
    }
    if (Entry.OutOfService_)
      continue;
    TenantOfName_.emplace(Entry.Name_, Index);
    HasQuotas_ = HasQuotas_ || Entry.Quota_.isLimited();
  }
}

CredentialMatch TenantDirectory::find(const std::string &Digest) const {
  auto Entry = TenantOfDigest_.find(Digest);
  if (Entry == TenantOfDigest_.end())
    return {Incomplete_ ? CredentialVerdict::Unavailable
                        : CredentialVerdict::Unknown,
            nullptr};
  if (Entry->second == Shared || Tenants_[Entry->second].OutOfService_)
    return {CredentialVerdict::Unavailable, nullptr};
  return {CredentialVerdict::Accepted, &Tenants_[Entry->second]};
}

const Tenant *TenantDirectory::findByName(const std::string &Name) const {
  auto Entry = TenantOfName_.find(Name);
  return Entry == TenantOfName_.end() ? nullptr : &Tenants_[Entry->second];
}

} // namespace fulmarshelf
