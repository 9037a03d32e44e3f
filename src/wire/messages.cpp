#include "fulmarshelf/detail/wire/messages.hpp"

#include <algorithm> // min

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

bool parseOutcome(std::string_view Name, Outcome &Value) {
  for (Outcome Named : {Outcome::Complete, Outcome::NotRun, Outcome::Unknown}) {
    if (outcomeName(Named) != Name)
      continue;
    Value = Named;
    return true;
  }
  return false;
}

AdmittedShares minShares(const AdmittedShares &Left,
                         const AdmittedShares &Right) {
  AdmittedShares Result = Left;
  for (std::size_t Importance = 0; Importance < ImportanceCount; ++Importance)
    Result[Importance] = std::min(Left[Importance], Right[Importance]);
  return Result;
}

} // namespace fulmarshelf
