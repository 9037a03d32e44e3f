#include "fulmarshelf/detail/wire/json_reader.hpp"

#include <cmath>   // isfinite
#include <cstdlib> // strtod

namespace fulmarshelf {

namespace {

// Objects, since no reader takes one for a string or a number.
constexpr std::string_view TooDeep = R"({"unreadable":"nested too deeply"})";
constexpr std::string_view OutOfRange =
    R"({"unreadable":"number out of range"})";
// A double has at most this many digits before its decimal point.
constexpr std::size_t MaxDoubleDigits = 309;

bool opens(char Letter) { return Letter == '[' || Letter == '{'; }
bool closes(char Letter) { return Letter == ']' || Letter == '}'; }

// Returns the position after the string that begins at a position.
std::size_t endOfString(std::string_view Text, std::size_t Position) {
  for (++Position; Position < Text.size() && Text[Position] != '"'; ++Position)
    if (Text[Position] == '\\')
      ++Position;
  return std::min(Position + 1, Text.size());
}

// Returns the position after the array or object that begins at a position.
std::size_t endOfNested(std::string_view Text, std::size_t Position) {
  std::size_t Depth = 0;
  while (Position < Text.size()) {
    char Letter = Text[Position];
    if (Letter == '"') {
      Position = endOfString(Text, Position);
      continue;
    }
    ++Position;
    if (opens(Letter))
      ++Depth;
    if (closes(Letter) && --Depth == 0)
      break;
  }
  return Position;
}

std::size_t endOfNumber(std::string_view Text, std::size_t Position) {
  return std::min(Text.find_first_not_of("+-.0123456789eE", Position),
                  Text.size());
}

bool isInRange(std::string_view Number) {
  bool MayExceed = Number.size() > MaxDoubleDigits ||
                   Number.find_first_of("eE") != std::string_view::npos;
  return !MayExceed ||
         std::isfinite(std::strtod(std::string(Number).c_str(), nullptr));
}

// Replaces the values that parseJson() does not read.
std::string boundValues(std::string_view Text) {
  std::string Result;
  Result.reserve(Text.size());
  unsigned Depth = 0;
  std::size_t Position = 0;
  while (Position < Text.size()) {
    char Letter = Text[Position];
    std::size_t End = Position + 1;
    std::string_view Replacement;
    if (Letter == '"') {
      End = endOfString(Text, Position);
    } else if (opens(Letter) && Depth == MaxJsonDepth) {
      End = endOfNested(Text, Position);
      Replacement = TooDeep;
    } else if (Letter == '-' || (Letter >= '0' && Letter <= '9')) {
      End = endOfNumber(Text, Position);
      if (!isInRange(Text.substr(Position, End - Position)))
        Replacement = OutOfRange;
    } else if (opens(Letter)) {
      ++Depth;
    } else if (closes(Letter) && Depth > 0) {
      --Depth;
    }
    Result += Replacement.empty() ? Text.substr(Position, End - Position)
                                  : Replacement;
    Position = End;
  }
  return Result;
}

} // namespace

nlohmann::json parseJson(std::string_view Text) {
  return nlohmann::json::parse(boundValues(Text), nullptr, false);
}

} // namespace fulmarshelf
