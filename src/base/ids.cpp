#include "fulmarshelf/detail/base/ids.hpp"

#include <charconv> // from_chars

namespace fulmarshelf {

std::string toString(const AttemptId &Attempt) {
  return Attempt.Node_ + "." + std::to_string(Attempt.Incarnation_) + "." +
         std::to_string(Attempt.Sequence_);
}

bool parseNumber(const std::string &Text, std::uint64_t &Number) {
  std::uint64_t Value = 0;
  const char *TextEnd = Text.data() + Text.size();
  std::from_chars_result Parsed = std::from_chars(Text.data(), TextEnd, Value);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != TextEnd)
    return false;
  Number = Value;
  return true;
}

bool parseAttemptId(const std::string &Text, AttemptId &Attempt) {
  std::size_t LastDot = Text.rfind('.');
  if (LastDot == std::string::npos || LastDot == 0)
    return false;
  std::size_t MiddleDot = Text.rfind('.', LastDot - 1);
  if (MiddleDot == std::string::npos || MiddleDot == 0)
    return false;
  AttemptId Parsed;
  Parsed.Node_ = Text.substr(0, MiddleDot);
  if (!parseNumber(Text.substr(MiddleDot + 1, LastDot - MiddleDot - 1),
                   Parsed.Incarnation_))
    return false;
  if (!parseNumber(Text.substr(LastDot + 1), Parsed.Sequence_))
    return false;
  Attempt = Parsed;
  return true;
}

} // namespace fulmarshelf
