#ifndef FULMARSHELF_DETAIL_BASE_ERROR_HPP
#define FULMARSHELF_DETAIL_BASE_ERROR_HPP

#include <boost/outcome/outcome.hpp> // unchecked
#include <cstdint>                   // uint16_t
#include <string>                    // string
#include <string_view>               // string_view
#include <vector>                    // vector

namespace fulmarshelf {

/// @brief Errors with a stable number; docs/ERRORS.md is the catalogue.
enum class ErrorCode : std::uint16_t {
  // 1xx: the text of a settings file.
  SyntaxError = 101,
  UnknownSection = 102,
  UnknownKey = 103,
  BadValue = 104,
  DuplicateSection = 105,
  MissingKey = 106,
  ForeignService = 107,
  FileUnreadable = 108,
  FileTooLarge = 109,
  // 2xx: the platform's object API.
  PlatformUnreachable = 201,
  VersionConflict = 202,
  ObjectMissing = 203,
  PlatformRefused = 204,
  // 3xx: responses that the node itself sends to a caller.
  BadRequest = 301,
  UnknownService = 302,
  NoLiveOwner = 303,
  BodyTooLarge = 304,
  Shed = 305,
  DeadlineExceeded = 306,
  OutcomeUnknown = 307,
  TicketRequired = 308,
  TicketInvalid = 309,
  TicketHomeGone = 310,
  TicketMismatch = 311,
  RetryLimit = 312,
  UnknownParent = 313,
  Leaving = 314,
  SettingsUnavailable = 315,
  Cancelled = 316,
  Fenced = 317,
  WrongIncarnation = 318,
  BackendFailed = 319,
  LinkFailed = 320,
  BackendRefused = 321,
  BackendReplaced = 322,
  HeaderTooLarge = 323,
  SetAside = 324,
  UnknownCredential = 325,
  SettingsUnproved = 326,
  QuotaExceeded = 327,
  QuotaUnavailable = 328,
};

/// @brief Stable name of an error, such as `bad-value`; O(1).
std::string_view errorName(ErrorCode Code);

/// @brief Reads the stable name of an error.
/// @return false when no error has this name
bool parseErrorName(std::string_view Name, ErrorCode &Code);

/// @brief One fault of an input together with its location.
struct Finding {
  std::string File_;
  unsigned Line_ = 0; ///< 1-based; 0: the fault concerns the whole input
  ErrorCode Code_ = ErrorCode::SyntaxError;
  std::string Message_;
  friend bool operator==(const Finding &, const Finding &) = default;
};

/// @brief All faults of one input, in the order of their lines.
using Findings = std::vector<Finding>;

/// @brief `file:line: error 104 bad-value: message`.
std::string toString(const Finding &Fault);

/// @brief Either a value or all faults of the input.
template <typename T> using Checked = boost::outcome_v2::unchecked<T, Findings>;

} // namespace fulmarshelf

#endif
