#include "fulmarshelf/detail/engine/parent_search.hpp"

#include <algorithm> // max, min
#include <cmath>     // exp
#include <iterator>  // prev

namespace fulmarshelf {

namespace {

// A call's deadline differs from its parent's by the round trip on one VM and
// by two roundings to a millisecond.
constexpr Micros EarlyTolerance = Micros(1500);
constexpr Micros LateTolerance = Micros(2500);
// The gap between two deadlines exceeds the tolerance; losing a few
// milliseconds out of hundreds costs the work nothing.
constexpr Micros MinDeadlineGap = millis(5);
constexpr int MaxShortenedMillis = 12;
constexpr Micros MinShortenedTimeout = millis(100);
// Between an answer and the next call, work computes for a while; for short
// work that makes many calls this takes a few milliseconds.
constexpr Micros MaxTimeBetweenCalls = millis(10);
constexpr double SmoothingMicros = 1e6;

struct ParentMatch {
  Work *Best_ = nullptr;
  unsigned CandidateCount_ = 0;
};

// Most work makes its calls one after the other, each one soon after the answer
// to the previous one.
bool isLikelierParent(const NodeState &Node, const Request &Target,
                      const Work &Left, const Work &Right) {
  bool LeftIdle = Left.OpenCalls_ == 0;
  bool RightIdle = Right.OpenCalls_ == 0;
  if (LeftIdle != RightIdle)
    return LeftIdle;
  double LeftFrequency = Node.Graph_.callFrequency(Target.Route_, Left.Route_);
  double RightFrequency =
      Node.Graph_.callFrequency(Target.Route_, Right.Route_);
  if (LeftFrequency != RightFrequency)
    return LeftFrequency > RightFrequency;
  return Left.LastCallEnd_ > Right.LastCallEnd_;
}

ParentMatch chooseParent(NodeState &Node, const Request &Target, TimePoint From,
                         TimePoint Until) {
  ParentMatch Match;
  for (auto Entry = Node.RunningDeadlines_.lower_bound(From);
       Entry != Node.RunningDeadlines_.end() && Entry->first <= Until;
       ++Entry) {
    Work &Running = Node.Works_.at(Entry->second);
    ++Match.CandidateCount_;
    if (Match.Best_ == nullptr ||
        isLikelierParent(Node, Target, Running, *Match.Best_))
      Match.Best_ = &Running;
  }
  return Match;
}

Micros longestTimeLeft(const NodeState &Node) {
  if (Node.RunningDeadlines_.empty())
    return Micros(0);
  return std::prev(Node.RunningDeadlines_.end())->first - Node.Now_;
}

// Probability that an arbitrary deadline matches that of some running work.
double deadlineMatchProbability(const NodeState &Node) {
  double Covered = static_cast<double>(
      (EarlyTolerance + LateTolerance).count() *
      static_cast<std::int64_t>(Node.RunningDeadlines_.size()));
  double Span =
      std::max(1.0, static_cast<double>(longestTimeLeft(Node).count()));
  return 1 - std::exp(-Covered / Span);
}

double meanBetweenCalls(const NodeState &Node) {
  auto Age = static_cast<double>(
      (Node.Now_ - Node.WorkBetweenCalls_.UpdatedAt_).count());
  return Node.WorkBetweenCalls_.Mean_ * std::exp(-Age / SmoothingMicros);
}

Micros timeSinceLastCall(const NodeState &Node, const Work &Target) {
  return Node.Now_ - Target.LastCallEnd_;
}

// Ends the interval between calls of work that makes a call or ends, and adds
// its length to the mean.
void recordTimeBetweenCalls(NodeState &Node, const Work &Target) {
  if (Target.OpenCalls_ > 0)
    return;
  Micros Elapsed =
      std::min(MaxTimeBetweenCalls, timeSinceLastCall(Node, Target));
  Node.WorkBetweenCalls_.Mean_ =
      meanBetweenCalls(Node) +
      static_cast<double>(Elapsed.count()) / SmoothingMicros;
  Node.WorkBetweenCalls_.UpdatedAt_ = Node.Now_;
}

// Probability that some work is about to make a call at an arbitrary time.
double betweenCallsProbability(const NodeState &Node) {
  return 1 - std::exp(-meanBetweenCalls(Node));
}

bool isAboutToCall(const NodeState &Node, const ParentMatch &Match) {
  return Match.Best_ != nullptr && Match.Best_->OpenCalls_ == 0 &&
         timeSinceLastCall(Node, *Match.Best_) <= MaxTimeBetweenCalls;
}

void countMatch(NodeState &Node, const ParentMatch &Match) {
  if (Match.CandidateCount_ > 1)
    ++Node.ParentMatches_.Ambiguous_;
  else if (Match.CandidateCount_ == 1)
    ++Node.ParentMatches_.Unique_;
  else
    ++Node.ParentMatches_.None_;
}

// Finds work with the request's deadline, up to the network tolerance.
ParentMatch matchByDeadline(NodeState &Node, const Request &Target,
                            TimePoint Deadline) {
  ParentMatch Match = chooseParent(Node, Target, Deadline - EarlyTolerance,
                                   Deadline + LateTolerance);
  Node.Graph_.onDeadlineCompared(Target.Route_, Match.Best_ != nullptr,
                                 deadlineMatchProbability(Node));
  return Match;
}

// Finds work by arrival time for a request with its own timeout: its deadline
// shows only that the parent's deadline is later.
ParentMatch matchByArrivalTime(NodeState &Node, const Request &Target,
                               TimePoint Deadline) {
  ParentMatch Match =
      chooseParent(Node, Target, Deadline - EarlyTolerance, TimePoint::max());
  bool AboutToCall = isAboutToCall(Node, Match);
  Node.Graph_.onArrivalTimeCompared(Target.Route_, AboutToCall,
                                    betweenCallsProbability(Node));
  if (!AboutToCall && Node.Graph_.origin(Target.Route_) != RouteOrigin::Work)
    return {};
  return Match;
}

ParentMatch matchParent(NodeState &Node, const Request &Target) {
  TimePoint Deadline = Node.Now_ + *Target.Metadata_.TimeLeft_;
  ParentMatch Match = matchByDeadline(Node, Target, Deadline);
  bool HasDeadlineMatch =
      Match.Best_ != nullptr && Node.Graph_.deadlinesMatchCalls(Target.Route_);
  return HasDeadlineMatch ? Match : matchByArrivalTime(Node, Target, Deadline);
}

} // namespace

Work *findParentByDeadline(NodeState &Node, const Request &Target) {
  const std::string &Route = Target.Route_;
  if (!Target.Metadata_.TimeLeft_)
    return nullptr;
  if (*Target.Metadata_.TimeLeft_ > longestTimeLeft(Node) + LateTolerance) {
    Node.Graph_.onCallerRequest(Route);
    return nullptr;
  }
  ParentMatch Match = matchParent(Node, Target);
  RouteOrigin Origin = Node.Graph_.origin(Route);
  if (Origin == RouteOrigin::Callers)
    return nullptr;
  if (Match.Best_ != nullptr)
    Node.Graph_.onParentFound(Route, Match.Best_->Route_);
  if (Origin == RouteOrigin::Work)
    countMatch(Node, Match);
  return Match.Best_;
}

void onCallStarted(NodeState &Node, Work &Parent) {
  recordTimeBetweenCalls(Node, Parent);
  ++Parent.OpenCalls_;
}

Micros distinctTimeout(const NodeState &Node, const Work &Target) {
  Micros TimeLeft = std::max(millis(1), Target.Deadline_ - Node.Now_);
  Micros WholeMillis = millis(TimeLeft.count() / 1000);
  if (!hasRouteTable(Node) || WholeMillis < MinShortenedTimeout)
    return std::max(millis(1), WholeMillis);
  for (int ShortenedMillis = 0; ShortenedMillis < MaxShortenedMillis;
       ++ShortenedMillis) {
    TimePoint Deadline = Node.Now_ + WholeMillis - millis(ShortenedMillis);
    auto Next = Node.RunningDeadlines_.lower_bound(Deadline - MinDeadlineGap);
    if (Next == Node.RunningDeadlines_.end() ||
        Next->first > Deadline + MinDeadlineGap)
      return WholeMillis - millis(ShortenedMillis);
  }
  return WholeMillis;
}

void addRunningDeadline(NodeState &Node, Work &Target, Micros Timeout) {
  Target.BackendDeadline_ = Node.Now_ + Timeout;
  Target.LastCallEnd_ = Node.Now_;
  Node.RunningDeadlines_.emplace(Target.BackendDeadline_, Target.Id_);
}

void removeRunningDeadline(NodeState &Node, const Work &Target) {
  recordTimeBetweenCalls(Node, Target);
  auto Range = Node.RunningDeadlines_.equal_range(Target.BackendDeadline_);
  for (auto Entry = Range.first; Entry != Range.second; ++Entry)
    if (Entry->second == Target.Id_) {
      Node.RunningDeadlines_.erase(Entry);
      return;
    }
}

void onCallEnded(NodeState &Node, const Request &Ended) {
  auto Entry = Node.Works_.find(Ended.MatchedParent_);
  if (Entry == Node.Works_.end())
    return;
  Work &Parent = Entry->second;
  Parent.OpenCalls_ -= std::min(Parent.OpenCalls_, 1U);
  Parent.LastCallEnd_ = Node.Now_;
}

} // namespace fulmarshelf
