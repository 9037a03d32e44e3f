#include "fulmarshelf/detail/engine/answers.hpp" // notRun
#include "fulmarshelf/detail/engine/systems.hpp" // tenant_system

namespace fulmarshelf::tenant_system {

namespace {

// A node renews its proof several times a second, and reads a repaired entry
// within seconds.
constexpr Micros UnprovedRetryAfter = millis(500);
constexpr Micros UnavailableRetryAfter = millis(1000);

} // namespace

std::optional<CallReply> identify(const NodeState &Node, Request &NewRequest,
                                  EffectiveRules &Rules) {
  if (!Rules.NeedsCredential_)
    return std::nullopt;
  if (!proof_system::isProved(Node))
    return notRun(ErrorCode::SettingsUnproved, UnprovedRetryAfter);
  const std::optional<std::string> &Digest =
      NewRequest.Metadata_.CredentialDigest_;
  if (!Digest)
    return notRun(ErrorCode::UnknownCredential);
  CredentialMatch Match = Node.Settings_.tenants().find(*Digest);
  if (Match.Verdict_ == CredentialVerdict::Unknown)
    return notRun(ErrorCode::UnknownCredential);
  if (Match.Verdict_ == CredentialVerdict::Unavailable)
    return notRun(ErrorCode::SettingsUnavailable, UnavailableRetryAfter);
  NewRequest.Context_.Tenant_ = Match.Tenant_->Name_;
  Rules.Importance_ = Match.Tenant_->Importance_.value_or(Rules.Importance_);
  return std::nullopt;
}

} // namespace fulmarshelf::tenant_system
