#include "fulmarshelf/detail/admission/admission_controller.hpp"

#include <algorithm> // max, min

namespace fulmarshelf {

namespace {

// Halfway between 0 and 1, the credit at which a request is admitted.
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
  std::size_t ImportanceIndex =
      std::min<std::size_t>(Importance, ImportanceCount - 1);
  double Share = ReportedShares_.share(Now, Route, ImportanceIndex);
  double &Credit = Credits_[Route].Balances_[ImportanceIndex];
  if (Share >= 1)
    Credit = std::max(Credit, InitialCredit);
  Credit += Share;
  bool Admitted = Credit >= 1;
  if (Admitted)
    Credit -= 1;
  return {Admitted, Share};
}

} // namespace fulmarshelf
