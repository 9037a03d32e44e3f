#include "entry_admission.hpp"

#include "fulmarshelf/detail/engine/answers.hpp"       // notRun
#include "fulmarshelf/detail/engine/owner_search.hpp"  // shareInOtherDomains
#include "fulmarshelf/detail/engine/parent_search.hpp" // findMatchingParent

#include <random> // uniform_real_distribution

namespace fulmarshelf {

namespace {

// Bounds of the retry delay as shares of a route's latency target; the rest of
// the target is left for the work itself.
constexpr double MinRetryAfterShare = 0.1;
constexpr double MaxRetryAfterShare = 0.5;

// A call that names no parent inherits the root and importance of the work that
// made it, so that the call is shed together with its root and never alone.
bool inheritFromMatchedParent(NodeState &Node, Request &NewRequest) {
  Work *Parent = findMatchingParent(Node, NewRequest);
  if (Parent == nullptr)
    return false;
  NewRequest.MatchedParent_ = Parent->Id_;
  onCallStarted(Node, *Parent);
  const CallContext &ParentContext = Parent->Context_;
  NewRequest.Context_.Root_ = ParentContext.Root_;
  NewRequest.Context_.Depth_ = ParentContext.Depth_ + 1;
  NewRequest.Context_.DemandWeight_ = ParentContext.DemandWeight_;
  NewRequest.ParentInRootDomain_ = ParentContext.InRootDomain_;
  NewRequest.RootPlacementWeight_ = ParentContext.PlacementWeight_;
  NewRequest.Context_.Repeat_ = ParentContext.Repeat_;
  if (ParentContext.Repeat_)
    Node.Repeats_[NewRequest.Service_].onInheritedRepeat(Node.Now_,
                                                         repeatBound(Node));
  NewRequest.Context_.Rank_ =
      makeRank(importanceOf(ParentContext.Rank_), true, ParentContext.Rank_);
  log(Node, EventNumber::CallMatched,
      {{"request", toString(NewRequest.Id_)},
       {"id", NewRequest.Metadata_.CallerRequestId_},
       {"work", toString(Parent->Id_)},
       {"parent", ParentContext.CallerRequestId_},
       {"route", Parent->Route_},
       {"offset", std::to_string((Node.Now_ + *NewRequest.Metadata_.TimeLeft_ -
                                  Parent->BackendDeadline_)
                                     .count())}});
  return true;
}

// Spreads the retry times, so that returning callers do not arrive all at once
// and can still be answered within the latency target.
Micros rejectionRetryAfter(NodeState &Node, const EffectiveRules &Rules) {
  std::uniform_real_distribution<double> TargetShare(MinRetryAfterShare,
                                                     MaxRetryAfterShare);
  return Micros(static_cast<Micros::rep>(
      static_cast<double>(Rules.LatencyTarget_.count()) *
      TargetShare(Node.Random_)));
}

} // namespace

std::optional<AdmissionRejection> admitRequest(NodeState &Node,
                                               Request &NewRequest,
                                               const EffectiveRules &Rules) {
  if (inheritFromMatchedParent(Node, NewRequest) ||
      Node.Graph_.origin(NewRequest.Route_) != RouteOrigin::Callers)
    return std::nullopt;
  const std::string &Route = NewRequest.Route_;
  double ShareElsewhere =
      Node.Admission_.admitsAll(Node.Now_, Route, Rules.Importance_)
          ? 0
          : shareInOtherDomains(Node, NewRequest);
  AdmissionController::Decision Decision = Node.Admission_.decide(
      Node.Now_, Route, Rules.Importance_, ShareElsewhere);
  if (!Decision.Admitted_)
    return AdmissionRejection{
        notRun(ErrorCode::Shed, rejectionRetryAfter(Node, Rules)),
        "share " + std::to_string(Decision.Share_) + " of route " +
            NewRequest.Route_ + " is used up"};
  NewRequest.Context_.DemandWeight_ =
      Node.Admission_.takeRepresented(NewRequest.Route_, Rules.Importance_);
  return std::nullopt;
}

} // namespace fulmarshelf
