#include "fulmarshelf/detail/wire/messages.hpp"

namespace fulmarshelf {

std::string_view outcomeName(Outcome Value) {
  switch (Value) {
  case Outcome::Complete:
    return "complete";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

bool parseOutcome(std::string_view Name, Outcome &Result) {
  for (Outcome Value : {Outcome::Complete, Outcome::NotRun, Outcome::Unknown}) {
    if (outcomeName(Value) != Name)
      continue;
    Result = Value;
    return true;
  }
  return false;
}

} // namespace fulmarshelf
