#include "fulmarshelf/detail/base/ids.hpp"

#include <charconv> // from_chars

namespace fulmarshelf {

std::string toString(const AttemptId &Attempt) {
  return Attempt.Node_ + "." + std::to_string(Attempt.Incarnation_) + "." +
         std::to_string(Attempt.Sequence_);
}

bool parseNumber(const std::string &Text, std::uint64_t &Result) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  std::from_chars_result Parsed = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return false;
  Result = Number;
  return true;
}

bool parseAttemptId(const std::string &Text, AttemptId &Result) {
  std::size_t Last = Text.rfind('.');
  if (Last == std::string::npos || Last == 0)
    return false;
  std::size_t Middle = Text.rfind('.', Last - 1);
  if (Middle == std::string::npos || Middle == 0)
    return false;
  AttemptId Parsed;
  Parsed.Node_ = Text.substr(0, Middle);
  if (!parseNumber(Text.substr(Middle + 1, Last - Middle - 1),
                   Parsed.Incarnation_))
    return false;
  if (!parseNumber(Text.substr(Last + 1), Parsed.Sequence_))
    return false;
  Result = Parsed;
  return true;
}

} // namespace fulmarshelf
