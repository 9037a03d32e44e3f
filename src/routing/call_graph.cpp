#include "fulmarshelf/detail/routing/call_graph.hpp"

#include <algorithm> // clamp
#include <cmath>     // log

namespace fulmarshelf {

namespace {

// Calls agree with the work that made them in nine cases of ten.
constexpr double CallHits = 0.9;
constexpr double LeastChance = 0.02;
constexpr double MostChance = 0.85;
// Odds of 20 to 1 decide; beyond 3000 to 1 nothing more is kept, so that a
// route that changes its nature is noticed.
constexpr double DecidingEvidence = 3;
constexpr double MostEvidence = 8;
// No call leaves itself more time than its parent has, but for the work of an
// earlier life of this process, which is not known.
constexpr double CallerEvidence = 1.5;
// Old traces lose half of their weight after this many newer ones.
constexpr double MemoryTraces = 200;
constexpr std::size_t MaxRoutes = 4096;
// A parent with less than this part of a route's traces is one by chance.
constexpr double ChanceShare = 0.1;
// Times left are spread over hundreds of milliseconds; so many equal ones at
// the very top are no chance.
constexpr unsigned EnoughAtLimit = 4;

} // namespace

CallGraph::Entry *CallGraph::touch(const std::string &Child) {
  if (Routes_.size() >= MaxRoutes && !Routes_.contains(Child))
    return nullptr;
  return &Routes_[Child];
}

void CallGraph::onCompared(const std::string &Child, bool Hit, double Chance) {
  Entry *Known = touch(Child);
  if (Known == nullptr)
    return;
  double Random = std::clamp(Chance, LeastChance, MostChance);
  double Change = Hit ? std::log(CallHits / Random)
                      : std::log((1 - CallHits) / (1 - Random));
  Known->Evidence_ =
      std::clamp(Known->Evidence_ + Change, -MostEvidence, MostEvidence);
}

void CallGraph::onTraced(const std::string &Child, const std::string &Parent) {
  Entry *Known = touch(Child);
  if (Known == nullptr)
    return;
  if (Known->Traced_ >= MemoryTraces) {
    Known->Traced_ /= 2;
    for (std::pair<const std::string, double> &Item : Known->Parents_)
      Item.second /= 2;
  }
  Known->Traced_ += 1;
  Known->Parents_[Parent] += 1;
}

void CallGraph::onCaller(const std::string &Child) {
  Entry *Known = touch(Child);
  if (Known != nullptr)
    Known->Evidence_ =
        std::max(Known->Evidence_ - CallerEvidence, -MostEvidence);
}

bool CallGraph::isAtLimit(const std::string &Child, Micros Left) {
  Entry *Known = touch(Child);
  if (Known == nullptr)
    return false;
  if (Left > Known->MostLeft_) {
    Known->MostLeft_ = Left;
    Known->SeenAtMost_ = 0;
  }
  if (Left < Known->MostLeft_)
    return false;
  return ++Known->SeenAtMost_ >= EnoughAtLimit;
}

RouteOrigin CallGraph::origin(const std::string &Route) const {
  auto Found = Routes_.find(Route);
  if (Found == Routes_.end())
    return RouteOrigin::Undecided;
  if (Found->second.Evidence_ >= DecidingEvidence)
    return RouteOrigin::Work;
  return Found->second.Evidence_ <= -DecidingEvidence ? RouteOrigin::Callers
                                                      : RouteOrigin::Undecided;
}

double CallGraph::strength(const std::string &Child,
                           const std::string &Parent) const {
  auto Found = Routes_.find(Child);
  if (Found == Routes_.end())
    return 0;
  auto Edge = Found->second.Parents_.find(Parent);
  return Edge == Found->second.Parents_.end() ? 0 : Edge->second;
}

std::vector<std::string> CallGraph::callsOf(const std::string &Parent) const {
  std::vector<std::string> Result;
  for (const std::pair<const std::string, Entry> &Item : Routes_) {
    if (origin(Item.first) != RouteOrigin::Work)
      continue;
    auto Edge = Item.second.Parents_.find(Parent);
    if (Edge != Item.second.Parents_.end() &&
        Edge->second >= ChanceShare * Item.second.Traced_)
      Result.push_back(Item.first);
  }
  return Result;
}

} // namespace fulmarshelf
