#include "fulmarshelf/detail/admission/room_table.hpp"

namespace fulmarshelf {

void RoomTable::learn(TimePoint Now, const std::string &Route,
                      const OwnerShares &Told) {
  Kept_.learn(Now, Route, Told.Kept_);
  Foreign_.learn(Now, Route, Told.Foreign_);
}

void RoomTable::learnNone(TimePoint Now, const std::string &Route) {
  constexpr AdmittedShares None{};
  Kept_.learn(Now, Route, None);
  Foreign_.learn(Now, Route, None);
}

AdmittedShares RoomTable::kept(TimePoint Now, const std::string &Route) const {
  return Kept_.shares(Now, Route);
}

AdmittedShares RoomTable::foreign(TimePoint Now,
                                  const std::string &Route) const {
  return Foreign_.shares(Now, Route);
}

} // namespace fulmarshelf
