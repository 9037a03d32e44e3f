#include "fulmarshelf/detail/engine/parent_search.hpp"

#include <algorithm> // max
#include <iterator>  // prev

namespace fulmarshelf {

namespace {

// A call's end differs from its parent's by the way there and back on one VM
// and by two roundings to a millisecond.
constexpr Micros EarlyTolerance = millis(2);
constexpr Micros LateTolerance = millis(4);
// Twice the tolerance keeps two ends apart; giving up a few milliseconds out of
// hundreds costs the work nothing.
constexpr Micros EndDistance = millis(6);
constexpr int MaxShortened = 12; // milliseconds
constexpr Micros LeastToShorten = millis(100);

struct Choice {
  Work *Best_ = nullptr;
  unsigned Fitting_ = 0;
};

bool isBetter(const NodeState &Node, const Request &Target, const Work &Left,
              const Work &Right) {
  double LeftStrength = Node.Graph_.strength(Target.Route_, Left.Route_);
  double RightStrength = Node.Graph_.strength(Target.Route_, Right.Route_);
  if (LeftStrength != RightStrength)
    return LeftStrength > RightStrength;
  return Left.Context_.Rank_ > Right.Context_.Rank_;
}

Choice chooseBetween(NodeState &Node, const Request &Target, TimePoint From,
                     TimePoint Until) {
  Choice Result;
  for (auto Entry = Node.RunningEnds_.lower_bound(From);
       Entry != Node.RunningEnds_.end() && Entry->first <= Until; ++Entry) {
    Work &Running = Node.Works_.at(Entry->second);
    ++Result.Fitting_;
    if (Result.Best_ == nullptr ||
        isBetter(Node, Target, Running, *Result.Best_))
      Result.Best_ = &Running;
  }
  return Result;
}

void count(NodeState &Node, const Choice &Made) {
  if (Made.Fitting_ > 1)
    ++Node.ParentMatches_.Ambiguous_;
  else if (Made.Fitting_ == 1)
    ++Node.ParentMatches_.Unique_;
  else
    ++Node.ParentMatches_.None_;
}

} // namespace

Work *findParentByDeadline(NodeState &Node, const Request &Target) {
  const std::string &Route = Target.Route_;
  if (!Target.Facts_.TimeLeft_)
    return nullptr;
  TimePoint End = Node.Now_ + *Target.Facts_.TimeLeft_;
  Choice Made =
      chooseBetween(Node, Target, End - EarlyTolerance, End + LateTolerance);
  bool Exact = Made.Best_ != nullptr;
  bool Called = Node.Graph_.isCalled(Route);
  // A call that has a shorter limit of its own ends before its parent does.
  if (!Exact && Called)
    Made = chooseBetween(Node, Target, End, TimePoint::max());
  if (Exact)
    Node.Graph_.onMatch(Route, Made.Best_->Route_);
  else if (!Called || Made.Best_ == nullptr)
    Node.Graph_.onMismatch(Route);
  if (!Called && !Node.Graph_.isUndecided(Route))
    return nullptr;
  if (Called)
    count(Node, Made);
  return Made.Best_;
}

Micros distinctTimeLeft(const NodeState &Node, const Work &Target) {
  Micros Left = std::max(millis(1), Target.Deadline_ - Node.Now_);
  Micros Whole = millis(Left.count() / 1000);
  if (!hasRouteTable(Node) || Whole < LeastToShorten)
    return std::max(millis(1), Whole);
  for (int Shortened = 0; Shortened < MaxShortened; ++Shortened) {
    TimePoint End = Node.Now_ + Whole - millis(Shortened);
    auto Next = Node.RunningEnds_.lower_bound(End - EndDistance);
    if (Next == Node.RunningEnds_.end() || Next->first > End + EndDistance)
      return Whole - millis(Shortened);
  }
  return Whole;
}

void noteRunning(NodeState &Node, Work &Target, Micros Handed) {
  Target.HandedEnd_ = Node.Now_ + Handed;
  Node.RunningEnds_.emplace(Target.HandedEnd_, Target.Id_);
}

void forgetRunning(NodeState &Node, const Work &Target) {
  auto Range = Node.RunningEnds_.equal_range(Target.HandedEnd_);
  for (auto Entry = Range.first; Entry != Range.second; ++Entry)
    if (Entry->second == Target.Id_) {
      Node.RunningEnds_.erase(Entry);
      return;
    }
}

} // namespace fulmarshelf
