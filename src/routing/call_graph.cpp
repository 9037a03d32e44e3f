#include "fulmarshelf/detail/routing/call_graph.hpp"

#include <utility> // exchange

namespace fulmarshelf {

namespace {

// Chance of a match for a request with more time left than any running work. A
// call never has more time left than its parent, but the parent is unknown when
// it is work of an earlier incarnation of this process. The request therefore
// counts as a miss with even chances.
constexpr double CallerChance = 0.5;
// The counts of found parents are halved when their sum reaches this number, so
// that older calls have less weight.
constexpr double MaxParentsFound = 200;
constexpr std::size_t MaxRoutes = 4096;
// A parent with a smaller share of a route's found parents is a chance match.
constexpr double MinParentShare = 0.1;

} // namespace

CallGraph::Entry *CallGraph::findOrAdd(const std::string &Child) {
  if (Routes_.size() >= MaxRoutes && !Routes_.contains(Child))
    return nullptr;
  return &Routes_[Child];
}

void CallGraph::onDeadlineCompared(const std::string &Child, bool Hit,
                                   double Chance) {
  if (Entry *ChildEntry = findOrAdd(Child))
    ChildEntry->ByDeadline_.onCompared(Hit, Chance);
}

void CallGraph::onArrivalTimeCompared(const std::string &Child, bool Hit,
                                      double Chance) {
  if (Entry *ChildEntry = findOrAdd(Child))
    ChildEntry->ByArrivalTime_.onCompared(Hit, Chance);
}

void CallGraph::onParentFound(const std::string &Child,
                              const std::string &Parent) {
  Entry *ChildEntry = findOrAdd(Child);
  if (ChildEntry == nullptr)
    return;
  if (ChildEntry->ParentsFound_ >= MaxParentsFound) {
    ChildEntry->ParentsFound_ /= 2;
    for (std::pair<const std::string, double> &ParentCount :
         ChildEntry->Parents_)
      ParentCount.second /= 2;
  }
  ChildEntry->ParentsFound_ += 1;
  ChildEntry->Parents_[Parent] += 1;
}

void CallGraph::onCallerRequest(const std::string &Child) {
  onDeadlineCompared(Child, false, CallerChance);
}

void CallGraph::onOriginReported(const std::string &Child,
                                 RouteOrigin Reported) {
  if (Reported == RouteOrigin::Undecided)
    return;
  if (Entry *ChildEntry = findOrAdd(Child))
    ChildEntry->OwnersOrigin_ = Reported;
}

RouteOrigin CallGraph::origin(const std::string &Route) const {
  auto Existing = Routes_.find(Route);
  if (Existing == Routes_.end())
    return RouteOrigin::Undecided;
  if (Existing->second.OwnersOrigin_ != RouteOrigin::Undecided)
    return Existing->second.OwnersOrigin_;
  RouteOrigin ByDeadline = Existing->second.ByDeadline_.verdict();
  RouteOrigin ByArrivalTime = Existing->second.ByArrivalTime_.verdict();
  if (ByDeadline == RouteOrigin::Work || ByArrivalTime == RouteOrigin::Work)
    return RouteOrigin::Work;
  // Arrival times are compared only for requests whose deadline matches no
  // running work, so there may be no data for them.
  bool NoArrivalTimeData = !Existing->second.ByArrivalTime_.hasData();
  bool Callers = ByDeadline == RouteOrigin::Callers &&
                 (ByArrivalTime == RouteOrigin::Callers || NoArrivalTimeData);
  return Callers ? RouteOrigin::Callers : RouteOrigin::Undecided;
}

std::optional<RouteOrigin>
CallGraph::takeOriginChange(const std::string &Route) {
  auto Existing = Routes_.find(Route);
  if (Existing == Routes_.end())
    return std::nullopt;
  RouteOrigin Current = origin(Route);
  RouteOrigin Previous = std::exchange(Existing->second.LoggedOrigin_, Current);
  if (Current == Previous)
    return std::nullopt;
  return Current;
}

std::vector<std::string>
CallGraph::callingRoutes(const std::string &Child) const {
  std::vector<std::string> Result;
  auto Existing = Routes_.find(Child);
  if (Existing == Routes_.end())
    return Result;
  const Entry &ChildEntry = Existing->second;
  for (const std::pair<const std::string, double> &Parent : ChildEntry.Parents_)
    if (Parent.second >= MinParentShare * ChildEntry.ParentsFound_)
      Result.push_back(Parent.first);
  return Result;
}

bool CallGraph::deadlinesMatchCalls(const std::string &Route) const {
  auto Existing = Routes_.find(Route);
  return Existing == Routes_.end() ||
         Existing->second.ByDeadline_.verdict() != RouteOrigin::Callers;
}

double CallGraph::callFrequency(const std::string &Child,
                                const std::string &Parent) const {
  auto Existing = Routes_.find(Child);
  if (Existing == Routes_.end())
    return 0;
  auto Edge = Existing->second.Parents_.find(Parent);
  return Edge == Existing->second.Parents_.end() ? 0 : Edge->second;
}

std::vector<std::string>
CallGraph::calledRoutes(const std::string &Parent) const {
  std::vector<std::string> Result;
  for (const std::pair<const std::string, Entry> &RouteEntry : Routes_) {
    auto Edge = RouteEntry.second.Parents_.find(Parent);
    bool IsFrequent =
        Edge != RouteEntry.second.Parents_.end() &&
        Edge->second >= MinParentShare * RouteEntry.second.ParentsFound_;
    if (IsFrequent && origin(RouteEntry.first) == RouteOrigin::Work)
      Result.push_back(RouteEntry.first);
  }
  return Result;
}

} // namespace fulmarshelf
