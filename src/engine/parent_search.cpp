#include "fulmarshelf/detail/engine/parent_search.hpp"

#include <algorithm> // max, min
#include <cmath>     // exp
#include <iterator>  // prev

namespace fulmarshelf {

namespace {

// A call's end differs from its parent's by the way there and back on one VM
// and by two roundings to a millisecond.
constexpr Micros EarlyTolerance = Micros(1500);
constexpr Micros LateTolerance = Micros(2500);
// More than the tolerance keeps two ends apart; giving up a few milliseconds
// out of hundreds costs the work nothing.
constexpr Micros EndDistance = millis(5);
constexpr int MaxShortened = 12; // milliseconds
constexpr Micros LeastToShorten = millis(100);
// Between an answer and the next call, work does a slice of its own, which for
// the short work that makes many calls takes a few milliseconds.
constexpr Micros SoonAfter = millis(10);
constexpr double IdleMemoryMicros = 1e6;

struct Choice {
  Work *Best_ = nullptr;
  unsigned Fitting_ = 0;
};

// Most work makes its calls one after the other, and the next one soon after
// the answer to the last.
bool isBetter(const NodeState &Node, const Request &Target, const Work &Left,
              const Work &Right) {
  bool LeftIdle = Left.OpenCalls_ == 0;
  bool RightIdle = Right.OpenCalls_ == 0;
  if (LeftIdle != RightIdle)
    return LeftIdle;
  double LeftStrength = Node.Graph_.callFrequency(Target.Route_, Left.Route_);
  double RightStrength = Node.Graph_.callFrequency(Target.Route_, Right.Route_);
  if (LeftStrength != RightStrength)
    return LeftStrength > RightStrength;
  return Left.LastCallEnd_ > Right.LastCallEnd_;
}

Choice chooseBetween(NodeState &Node, const Request &Target, TimePoint From,
                     TimePoint Until) {
  Choice Result;
  for (auto Entry = Node.RunningDeadlines_.lower_bound(From);
       Entry != Node.RunningDeadlines_.end() && Entry->first <= Until;
       ++Entry) {
    Work &Running = Node.Works_.at(Entry->second);
    ++Result.Fitting_;
    if (Result.Best_ == nullptr ||
        isBetter(Node, Target, Running, *Result.Best_))
      Result.Best_ = &Running;
  }
  return Result;
}

Micros longestLeft(const NodeState &Node) {
  if (Node.RunningDeadlines_.empty())
    return Micros(0);
  return std::prev(Node.RunningDeadlines_.end())->first - Node.Now_;
}

// Part of all moments at which some running work ends.
double chanceOfSameEnd(const NodeState &Node) {
  double Covered = static_cast<double>(
      (EarlyTolerance + LateTolerance).count() *
      static_cast<std::int64_t>(Node.RunningDeadlines_.size()));
  double Span = std::max(1.0, static_cast<double>(longestLeft(Node).count()));
  return 1 - std::exp(-Covered / Span);
}

double idleMean(const NodeState &Node) {
  auto Age =
      static_cast<double>((Node.Now_ - Node.WorkBetweenCalls_.At_).count());
  return Node.WorkBetweenCalls_.Mean_ * std::exp(-Age / IdleMemoryMicros);
}

Micros idleFor(const NodeState &Node, const Work &Target) {
  return Node.Now_ - Target.LastCallEnd_;
}

// Work that makes a call or ends is no longer about to make one.
void noteIdleEnd(NodeState &Node, const Work &Target) {
  if (Target.OpenCalls_ > 0)
    return;
  Micros Idle = std::min(SoonAfter, idleFor(Node, Target));
  Node.WorkBetweenCalls_.Mean_ =
      idleMean(Node) + static_cast<double>(Idle.count()) / IdleMemoryMicros;
  Node.WorkBetweenCalls_.At_ = Node.Now_;
}

// Part of all moments at which some work is about to make a call.
double chanceOfIdleWork(const NodeState &Node) {
  return 1 - std::exp(-idleMean(Node));
}

bool isAboutToCall(const NodeState &Node, const Choice &Made) {
  return Made.Best_ != nullptr && Made.Best_->OpenCalls_ == 0 &&
         idleFor(Node, *Made.Best_) <= SoonAfter;
}

void count(NodeState &Node, const Choice &Made) {
  if (Made.Fitting_ > 1)
    ++Node.ParentMatches_.Ambiguous_;
  else if (Made.Fitting_ == 1)
    ++Node.ParentMatches_.Unique_;
  else
    ++Node.ParentMatches_.None_;
}

// The request's end is that of work, up to what the way there takes.
Choice traceByEnd(NodeState &Node, const Request &Target, TimePoint End) {
  Choice Made =
      chooseBetween(Node, Target, End - EarlyTolerance, End + LateTolerance);
  Node.Graph_.onDeadlineCompared(Target.Route_, Made.Best_ != nullptr,
                                 chanceOfSameEnd(Node));
  return Made;
}

// A request with a limit of its own: its end only says that the work ends
// later.
Choice traceByMoment(NodeState &Node, const Request &Target, TimePoint End) {
  Choice Made =
      chooseBetween(Node, Target, End - EarlyTolerance, TimePoint::max());
  bool Soon = isAboutToCall(Node, Made);
  Node.Graph_.onArrivalTimeCompared(Target.Route_, Soon,
                                    chanceOfIdleWork(Node));
  if (!Soon && Node.Graph_.origin(Target.Route_) != RouteOrigin::Work)
    return {};
  return Made;
}

Choice trace(NodeState &Node, const Request &Target) {
  TimePoint End = Node.Now_ + *Target.Metadata_.TimeLeft_;
  Choice Made = traceByEnd(Node, Target, End);
  bool ByEnd =
      Made.Best_ != nullptr && Node.Graph_.deadlinesMatchCalls(Target.Route_);
  return ByEnd ? Made : traceByMoment(Node, Target, End);
}

} // namespace

Work *findParentByDeadline(NodeState &Node, const Request &Target) {
  const std::string &Route = Target.Route_;
  if (!Target.Metadata_.TimeLeft_)
    return nullptr;
  if (*Target.Metadata_.TimeLeft_ > longestLeft(Node) + LateTolerance) {
    Node.Graph_.onCallerRequest(Route);
    return nullptr;
  }
  Choice Made = trace(Node, Target);
  RouteOrigin Origin = Node.Graph_.origin(Route);
  if (Origin == RouteOrigin::Callers)
    return nullptr;
  if (Made.Best_ != nullptr)
    Node.Graph_.onParentFound(Route, Made.Best_->Route_);
  if (Origin == RouteOrigin::Work)
    count(Node, Made);
  return Made.Best_;
}

void onCallStarted(NodeState &Node, Work &Parent) {
  noteIdleEnd(Node, Parent);
  ++Parent.OpenCalls_;
}

Micros distinctTimeout(const NodeState &Node, const Work &Target) {
  Micros Left = std::max(millis(1), Target.Deadline_ - Node.Now_);
  Micros Whole = millis(Left.count() / 1000);
  if (!hasRouteTable(Node) || Whole < LeastToShorten)
    return std::max(millis(1), Whole);
  for (int Shortened = 0; Shortened < MaxShortened; ++Shortened) {
    TimePoint End = Node.Now_ + Whole - millis(Shortened);
    auto Next = Node.RunningDeadlines_.lower_bound(End - EndDistance);
    if (Next == Node.RunningDeadlines_.end() || Next->first > End + EndDistance)
      return Whole - millis(Shortened);
  }
  return Whole;
}

void addRunningDeadline(NodeState &Node, Work &Target, Micros Handed) {
  Target.BackendDeadline_ = Node.Now_ + Handed;
  Target.LastCallEnd_ = Node.Now_;
  Node.RunningDeadlines_.emplace(Target.BackendDeadline_, Target.Id_);
}

void removeRunningDeadline(NodeState &Node, const Work &Target) {
  noteIdleEnd(Node, Target);
  auto Range = Node.RunningDeadlines_.equal_range(Target.BackendDeadline_);
  for (auto Entry = Range.first; Entry != Range.second; ++Entry)
    if (Entry->second == Target.Id_) {
      Node.RunningDeadlines_.erase(Entry);
      return;
    }
}

void onCallEnded(NodeState &Node, const Request &Ended) {
  auto Found = Node.Works_.find(Ended.MatchedParent_);
  if (Found == Node.Works_.end())
    return;
  Work &Parent = Found->second;
  Parent.OpenCalls_ -= std::min(Parent.OpenCalls_, 1U);
  Parent.LastCallEnd_ = Node.Now_;
}

} // namespace fulmarshelf
