#include "fulmarshelf/detail/admission/admission_controller.hpp"

#include <algorithm> // clamp, max, min
#include <utility>   // exchange

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
                            unsigned Importance, double ShareElsewhere) {
  if (!ReportedShares_.contains(Route))
    return {};
  std::size_t ImportanceIndex =
      std::min<std::size_t>(Importance, ImportanceCount - 1);
  double Share = std::max(ShareElsewhere,
                          ReportedShares_.share(Now, Route, ImportanceIndex));
  Credits &RouteCredits = Credits_[Route];
  RouteCredits.Unrepresented_[ImportanceIndex] += 1;
  double &Credit = RouteCredits.Balances_[ImportanceIndex];
  if (Share >= 1)
    Credit = std::max(Credit, InitialCredit);
  Credit += Share;
  bool Admitted = Credit >= 1;
  if (Admitted)
    Credit -= 1;
  return {Admitted, Share};
}

bool AdmissionController::admitsAll(TimePoint Now, const std::string &Route,
                                    unsigned Importance) const {
  return ReportedShares_.share(
             Now, Route,
             std::min<std::size_t>(Importance, ImportanceCount - 1)) >= 1;
}

double AdmissionController::takeRepresented(const std::string &Route,
                                            unsigned Importance) {
  auto Existing = Credits_.find(Route);
  if (Existing == Credits_.end())
    return 1;
  double &Unrepresented = Existing->second.Unrepresented_[std::min<std::size_t>(
      Importance, ImportanceCount - 1)];
  return std::clamp(std::exchange(Unrepresented, 0), 1.0, MaxRepresented);
}

} // namespace fulmarshelf
