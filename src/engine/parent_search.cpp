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
bool isLikelierParent(const NodeState &Node, const Request &NewRequest,
                      const Work &Left, const Work &Right) {
  bool LeftIdle = Left.OpenCalls_ == 0;
  bool RightIdle = Right.OpenCalls_ == 0;
  if (LeftIdle != RightIdle)
    return LeftIdle;
  double LeftFrequency =
      Node.Graph_.callFrequency(NewRequest.Route_, Left.Route_);
  double RightFrequency =
      Node.Graph_.callFrequency(NewRequest.Route_, Right.Route_);
  if (LeftFrequency != RightFrequency)
    return LeftFrequency > RightFrequency;
  return Left.LastCallEnd_ > Right.LastCallEnd_;
}

ParentMatch chooseParent(NodeState &Node, const Request &NewRequest,
                         TimePoint From, TimePoint Until) {
  ParentMatch Match;
  for (auto Entry = Node.RunningDeadlines_.lower_bound(From);
       Entry != Node.RunningDeadlines_.end() && Entry->first <= Until;
       ++Entry) {
    Work &Running = Node.Works_.at(Entry->second);
    ++Match.CandidateCount_;
    if (Match.Best_ == nullptr ||
        isLikelierParent(Node, NewRequest, Running, *Match.Best_))
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

double meanWorkBetweenCalls(const NodeState &Node) {
  auto Age = static_cast<double>(
      (Node.Now_ - Node.WorkBetweenCalls_.UpdatedAt_).count());
  return Node.WorkBetweenCalls_.Mean_ * std::exp(-Age / SmoothingMicros);
}

Micros timeSinceLastCall(const NodeState &Node, const Work &Running) {
  return Node.Now_ - Running.LastCallEnd_;
}

// Work that makes a call or ends is no longer between calls. Adds the length of
// this interval to the mean.
void recordTimeBetweenCalls(NodeState &Node, const Work &Running) {
  if (Running.OpenCalls_ > 0)
    return;
  Micros Elapsed =
      std::min(MaxTimeBetweenCalls, timeSinceLastCall(Node, Running));
  Node.WorkBetweenCalls_.Mean_ =
      meanWorkBetweenCalls(Node) +
      static_cast<double>(Elapsed.count()) / SmoothingMicros;
  Node.WorkBetweenCalls_.UpdatedAt_ = Node.Now_;
}

// Probability that some work is about to make a call at an arbitrary time.
double betweenCallsProbability(const NodeState &Node) {
  return 1 - std::exp(-meanWorkBetweenCalls(Node));
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
ParentMatch matchByDeadline(NodeState &Node, const Request &NewRequest,
                            TimePoint Deadline) {
  ParentMatch Match = chooseParent(Node, NewRequest, Deadline - EarlyTolerance,
                                   Deadline + LateTolerance);
  Node.Graph_.onDeadlineCompared(NewRequest.Route_, Match.Best_ != nullptr,
                                 deadlineMatchProbability(Node));
  return Match;
}

// Finds work by arrival time, for a call with a shorter timeout than its
// parent: the call's deadline shows only that the parent's deadline is later.
ParentMatch matchByArrivalTime(NodeState &Node, const Request &NewRequest,
                               TimePoint Deadline) {
  ParentMatch Match = chooseParent(Node, NewRequest, Deadline - EarlyTolerance,
                                   TimePoint::max());
  bool AboutToCall = isAboutToCall(Node, Match);
  Node.Graph_.onArrivalTimeCompared(NewRequest.Route_, AboutToCall,
                                    betweenCallsProbability(Node));
  if (!AboutToCall &&
      Node.Graph_.origin(NewRequest.Route_) != RouteOrigin::Work)
    return {};
  return Match;
}

ParentMatch matchParent(NodeState &Node, const Request &NewRequest) {
  TimePoint Deadline = Node.Now_ + *NewRequest.Metadata_.TimeLeft_;
  ParentMatch Match = matchByDeadline(Node, NewRequest, Deadline);
  bool HasDeadlineMatch = Match.Best_ != nullptr &&
                          Node.Graph_.deadlinesMatchCalls(NewRequest.Route_);
  return HasDeadlineMatch ? Match
                          : matchByArrivalTime(Node, NewRequest, Deadline);
}

} // namespace

namespace {

void logOriginChange(NodeState &Node, const std::string &Route) {
  std::optional<RouteOrigin> Origin = Node.Graph_.takeOriginChange(Route);
  if (!Origin)
    return;
  std::string CallingRoutes;
  if (*Origin == RouteOrigin::Work)
    for (const std::string &Parent : Node.Graph_.callingRoutes(Route))
      CallingRoutes += (CallingRoutes.empty() ? "" : ",") + Parent;
  log(Node, EventNumber::RouteOriginChanged,
      {{"route", Route},
       {"origin", std::string(originName(*Origin))},
       {"called-by", CallingRoutes}});
}

Work *searchParent(NodeState &Node, const Request &NewRequest) {
  const std::string &Route = NewRequest.Route_;
  if (!NewRequest.Metadata_.TimeLeft_)
    return nullptr;
  if (*NewRequest.Metadata_.TimeLeft_ > longestTimeLeft(Node) + LateTolerance) {
    Node.Graph_.onCallerRequest(Route);
    return nullptr;
  }
  ParentMatch Match = matchParent(Node, NewRequest);
  RouteOrigin Origin = Node.Graph_.origin(Route);
  if (Origin == RouteOrigin::Callers)
    return nullptr;
  if (Match.Best_ != nullptr)
    Node.Graph_.onParentFound(Route, Match.Best_->Route_);
  if (Origin == RouteOrigin::Work)
    countMatch(Node, Match);
  return Match.Best_;
}

} // namespace

Work *findMatchingParent(NodeState &Node, const Request &NewRequest) {
  Work *Parent = searchParent(Node, NewRequest);
  logOriginChange(Node, NewRequest.Route_);
  return Parent;
}

void onCallStarted(NodeState &Node, Work &Parent) {
  recordTimeBetweenCalls(Node, Parent);
  ++Parent.OpenCalls_;
}

Micros distinctTimeout(const NodeState &Node, const Work &Running) {
  Micros TimeLeft = std::max(millis(1), Running.Deadline_ - Node.Now_);
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

void addRunningDeadline(NodeState &Node, Work &Running, Micros Timeout) {
  Running.BackendDeadline_ = Node.Now_ + Timeout;
  Running.LastCallEnd_ = Node.Now_;
  Node.RunningDeadlines_.emplace(Running.BackendDeadline_, Running.Id_);
}

void removeRunningDeadline(NodeState &Node, const Work &Running) {
  recordTimeBetweenCalls(Node, Running);
  auto Range = Node.RunningDeadlines_.equal_range(Running.BackendDeadline_);
  for (auto Entry = Range.first; Entry != Range.second; ++Entry)
    if (Entry->second == Running.Id_) {
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
