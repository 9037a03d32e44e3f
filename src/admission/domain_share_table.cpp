#include "fulmarshelf/detail/admission/domain_share_table.hpp"

namespace fulmarshelf {

void DomainShareTable::learn(TimePoint Now, const std::string &Route,
                             const OwnerShares &Reported) {
  Local_.learn(Now, Route, Reported.Local_);
  Remote_.learn(Now, Route, Reported.Remote_);
}

void DomainShareTable::learnNoOwner(TimePoint Now, const std::string &Route) {
  constexpr AdmittedShares NoShares{};
  Local_.learn(Now, Route, NoShares);
  Remote_.learn(Now, Route, NoShares);
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
