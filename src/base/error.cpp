#include "fulmarshelf/detail/base/error.hpp"

#include <array> // array

namespace fulmarshelf {

namespace {

struct NamedError {
  ErrorCode Code_;
  std::string_view Name_;
};

constexpr std::array<NamedError, 41> ErrorNames = {{
    {ErrorCode::SyntaxError, "syntax-error"},
    {ErrorCode::UnknownSection, "unknown-section"},
    {ErrorCode::UnknownKey, "unknown-key"},
    {ErrorCode::BadValue, "bad-value"},
    {ErrorCode::DuplicateSection, "duplicate-section"},
    {ErrorCode::MissingKey, "missing-key"},
    {ErrorCode::ForeignService, "foreign-service"},
    {ErrorCode::FileUnreadable, "file-unreadable"},
    {ErrorCode::FileTooLarge, "file-too-large"},
    {ErrorCode::PlatformUnreachable, "platform-unreachable"},
    {ErrorCode::VersionConflict, "version-conflict"},
    {ErrorCode::ObjectMissing, "object-missing"},
    {ErrorCode::PlatformRefused, "platform-refused"},
    {ErrorCode::BadRequest, "bad-request"},
    {ErrorCode::UnknownService, "unknown-service"},
    {ErrorCode::NoLiveOwner, "no-live-owner"},
    {ErrorCode::BodyTooLarge, "body-too-large"},
    {ErrorCode::Shed, "shed"},
    {ErrorCode::DeadlineExceeded, "deadline-exceeded"},
    {ErrorCode::OutcomeUnknown, "outcome-unknown"},
    {ErrorCode::TicketRequired, "ticket-required"},
    {ErrorCode::TicketInvalid, "ticket-invalid"},
    {ErrorCode::TicketHomeGone, "ticket-home-gone"},
    {ErrorCode::TicketMismatch, "ticket-mismatch"},
    {ErrorCode::RetryLimit, "retry-limit"},
    {ErrorCode::UnknownParent, "unknown-parent"},
    {ErrorCode::Leaving, "leaving"},
    {ErrorCode::SettingsUnavailable, "settings-unavailable"},
    {ErrorCode::Cancelled, "cancelled"},
    {ErrorCode::Fenced, "fenced"},
    {ErrorCode::WrongIncarnation, "wrong-incarnation"},
    {ErrorCode::BackendFailed, "backend-failed"},
    {ErrorCode::LinkFailed, "link-failed"},
    {ErrorCode::BackendRefused, "backend-refused"},
    {ErrorCode::BackendReplaced, "backend-replaced"},
    {ErrorCode::HeaderTooLarge, "header-too-large"},
    {ErrorCode::SetAside, "set-aside"},
    {ErrorCode::UnknownCredential, "unknown-credential"},
    {ErrorCode::SettingsUnproved, "settings-unproved"},
    {ErrorCode::QuotaExceeded, "quota-exceeded"},
    {ErrorCode::QuotaUnavailable, "quota-unavailable"},
}};

} // namespace

std::string_view errorName(ErrorCode Code) {
  for (const NamedError &Entry : ErrorNames)
    if (Entry.Code_ == Code)
      return Entry.Name_;
  return "unnamed";
}

bool parseErrorName(std::string_view Name, ErrorCode &Code) {
  for (const NamedError &Entry : ErrorNames) {
    if (Entry.Name_ != Name)
      continue;
    Code = Entry.Code_;
    return true;
  }
  return false;
}

std::string toString(const Finding &Fault) {
  return Fault.File_ + ":" + std::to_string(Fault.Line_) + ": error " +
         std::to_string(static_cast<unsigned>(Fault.Code_)) + " " +
         std::string(errorName(Fault.Code_)) + ": " + Fault.Message_;
}

} // namespace fulmarshelf
