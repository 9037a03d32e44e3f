#include "fulmarshelf/detail/routing/call_graph.hpp"

namespace fulmarshelf {

namespace {

// No call leaves itself more time than its parent has, but for the work of an
// earlier life of this process, which is not known: a miss with even chances.
constexpr double CallerChance = 0.5;
// Old traces lose half of their weight after this many newer ones.
constexpr double MemoryTraces = 200;
constexpr std::size_t MaxRoutes = 4096;
// A parent with less than this part of a route's traces is one by chance.
constexpr double ChanceShare = 0.1;

} // namespace

CallGraph::Entry *CallGraph::touch(const std::string &Child) {
  if (Routes_.size() >= MaxRoutes && !Routes_.contains(Child))
    return nullptr;
  return &Routes_[Child];
}

void CallGraph::onDeadlineCompared(const std::string &Child, bool Hit,
                                   double Chance) {
  if (Entry *Known = touch(Child))
    Known->ByDeadline_.onCompared(Hit, Chance);
}

void CallGraph::onArrivalTimeCompared(const std::string &Child, bool Hit,
                                      double Chance) {
  if (Entry *Known = touch(Child))
    Known->ByArrivalTime_.onCompared(Hit, Chance);
}

void CallGraph::onParentFound(const std::string &Child,
                              const std::string &Parent) {
  Entry *Known = touch(Child);
  if (Known == nullptr)
    return;
  if (Known->ParentsFound_ >= MemoryTraces) {
    Known->ParentsFound_ /= 2;
    for (std::pair<const std::string, double> &Item : Known->Parents_)
      Item.second /= 2;
  }
  Known->ParentsFound_ += 1;
  Known->Parents_[Parent] += 1;
}

void CallGraph::onCallerRequest(const std::string &Child) {
  onDeadlineCompared(Child, false, CallerChance);
}

RouteOrigin CallGraph::origin(const std::string &Route) const {
  auto Found = Routes_.find(Route);
  if (Found == Routes_.end())
    return RouteOrigin::Undecided;
  RouteOrigin ByEnd = Found->second.ByDeadline_.verdict();
  RouteOrigin ByMoment = Found->second.ByArrivalTime_.verdict();
  if (ByEnd == RouteOrigin::Work || ByMoment == RouteOrigin::Work)
    return RouteOrigin::Work;
  // A request that may be a call is compared both ways.
  bool NoMoments = !Found->second.ByArrivalTime_.hasData();
  bool Callers = ByEnd == RouteOrigin::Callers &&
                 (ByMoment == RouteOrigin::Callers || NoMoments);
  return Callers ? RouteOrigin::Callers : RouteOrigin::Undecided;
}

bool CallGraph::deadlinesMatchCalls(const std::string &Route) const {
  auto Found = Routes_.find(Route);
  return Found == Routes_.end() ||
         Found->second.ByDeadline_.verdict() != RouteOrigin::Callers;
}

double CallGraph::callFrequency(const std::string &Child,
                                const std::string &Parent) const {
  auto Found = Routes_.find(Child);
  if (Found == Routes_.end())
    return 0;
  auto Edge = Found->second.Parents_.find(Parent);
  return Edge == Found->second.Parents_.end() ? 0 : Edge->second;
}

std::vector<std::string>
CallGraph::calledRoutes(const std::string &Parent) const {
  std::vector<std::string> Result;
  for (const std::pair<const std::string, Entry> &Item : Routes_) {
    auto Edge = Item.second.Parents_.find(Parent);
    bool IsEdge = Edge != Item.second.Parents_.end() &&
                  Edge->second >= ChanceShare * Item.second.ParentsFound_;
    if (IsEdge && origin(Item.first) == RouteOrigin::Work)
      Result.push_back(Item.first);
  }
  return Result;
}

} // namespace fulmarshelf
