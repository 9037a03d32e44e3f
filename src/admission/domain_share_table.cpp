#include "fulmarshelf/detail/admission/domain_share_table.hpp"

namespace fulmarshelf {

void DomainShareTable::learn(TimePoint Now, const std::string &Route,
                             const OwnerShares &Told) {
  Local_.learn(Now, Route, Told.Local_);
  Remote_.learn(Now, Route, Told.Remote_);
}

void DomainShareTable::learnNoOwner(TimePoint Now, const std::string &Route) {
  constexpr AdmittedShares None{};
  Local_.learn(Now, Route, None);
  Remote_.learn(Now, Route, None);
}

AdmittedShares DomainShareTable::localShares(TimePoint Now,
                                             const std::string &Route) const {
  return Local_.shares(Now, Route);
}

AdmittedShares DomainShareTable::remoteShares(TimePoint Now,
                                              const std::string &Route) const {
  return Remote_.shares(Now, Route);
}

} // namespace fulmarshelf
