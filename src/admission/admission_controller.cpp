#include "fulmarshelf/detail/admission/admission_controller.hpp"

#include <algorithm> // max, min

namespace fulmarshelf {

namespace {

// Halfway between admitting and rejecting the next request.
constexpr double InitialCredit = 0.5;

} // namespace

AdmissionController::Credits::Credits() { Balances_.fill(InitialCredit); }

void AdmissionController::learn(TimePoint Now, const std::string &Route,
                                const AdmittedShares &Reported) {
  ReportedShares_.learn(Now, Route, Reported);
}

AdmittedShares AdmissionController::shares(TimePoint Now,
                                           const std::string &Route) const {
  return ReportedShares_.shares(Now, Route);
}

AdmissionController::Decision
AdmissionController::decide(TimePoint Now, const std::string &Route,
                            unsigned Importance) {
  if (!ReportedShares_.contains(Route))
    return {};
  std::size_t Level = std::min<std::size_t>(Importance, ImportanceCount - 1);
  double Share = ReportedShares_.share(Now, Route, Level);
  double &Credit = Credits_[Route].Balances_[Level];
  if (Share >= 1)
    Credit = std::max(Credit, InitialCredit);
  Credit += Share;
  bool Admitted = Credit >= 1;
  if (Admitted)
    Credit -= 1;
  return {Admitted, Share};
}

} // namespace fulmarshelf
