#include "entry_admission.hpp"

#include "fulmarshelf/detail/engine/answers.hpp"      // notRun
#include "fulmarshelf/detail/engine/owner_search.hpp" // hasCapacityInOtherDomain
#include "fulmarshelf/detail/engine/parent_search.hpp" // findParentByDeadline

#include <algorithm> // max
#include <random>    // uniform_real_distribution

namespace fulmarshelf {

namespace {

// Parts of a route's target over which comebacks are spread; the rest of it is
// left for the work itself.
constexpr double EarliestComeback = 0.1;
constexpr double LatestComeback = 0.5;
// An entry that lets hardly anything in must not count for too many others.
constexpr double LeastCountedShare = 0.02;

// A call that names no parent takes over its importance from the work that made
// it, so that it is shed with its root and not on its own.
bool inheritByDeadline(NodeState &Node, Request &Fresh) {
  Work *Parent = findParentByDeadline(Node, Fresh);
  if (Parent == nullptr)
    return false;
  Fresh.MatchedParent_ = Parent->Id_;
  onCallStarted(Node, *Parent);
  const CallContext &Above = Parent->Context_;
  Fresh.Context_.Root_ = Above.Root_;
  Fresh.Context_.Depth_ = Above.Depth_ + 1;
  Fresh.Context_.DemandWeight_ = Above.DemandWeight_;
  Fresh.ParentInRootDomain_ = Above.InRootDomain_;
  Fresh.RootPlacementWeight_ = Above.PlacementWeight_;
  Fresh.Context_.Repeat_ = Above.Repeat_;
  if (Above.Repeat_)
    Node.Repeats_[Fresh.Service_].onInheritedRepeat(Node.Now_,
                                                    repeatBound(Node));
  Fresh.Context_.Rank_ = makeRank(importanceOf(Above.Rank_), true, Above.Rank_);
  log(Node, EventNumber::CallMatched,
      {{"request", toString(Fresh.Id_)},
       {"id", Fresh.Metadata_.CallerRequestId_},
       {"work", toString(Parent->Id_)},
       {"parent", Above.CallerRequestId_},
       {"route", Parent->Route_},
       {"offset", std::to_string((Node.Now_ + *Fresh.Metadata_.TimeLeft_ -
                                  Parent->BackendDeadline_)
                                     .count())}});
  return true;
}

// Spread over the part of the target that leaves time for the work itself, so
// that those who come back do not come all at once and can still be in time.
Micros gateRetryAfter(NodeState &Node, const EffectiveRules &Rules) {
  std::uniform_real_distribution<double> Part(EarliestComeback, LatestComeback);
  return Micros(static_cast<Micros::rep>(
      static_cast<double>(Rules.LatencyTarget_.count()) * Part(Node.Random_)));
}

} // namespace

std::optional<AdmissionRejection> admitRequest(NodeState &Node, Request &Fresh,
                                               const EffectiveRules &Rules) {
  if (inheritByDeadline(Node, Fresh) ||
      Node.Graph_.origin(Fresh.Route_) != RouteOrigin::Callers)
    return std::nullopt;
  AdmissionController::Decision Verdict =
      Node.Admission_.decide(Node.Now_, Fresh.Route_, Rules.Importance_);
  if (!Verdict.Admitted_ && !hasCapacityInOtherDomain(Node, Fresh))
    return AdmissionRejection{
        notRun(ErrorCode::Shed, gateRetryAfter(Node, Rules)),
        "share " + std::to_string(Verdict.Share_) + " of route " +
            Fresh.Route_ + " is used up"};
  Fresh.Context_.DemandWeight_ =
      1 / std::max(Verdict.Share_, LeastCountedShare);
  return std::nullopt;
}

} // namespace fulmarshelf
