#include "fulmarshelf/detail/routing/call_graph.hpp"

#include <algorithm> // clamp
#include <cmath>     // sqrt

namespace fulmarshelf {

namespace {

// So many standard deviations above chance come about by chance once in 700.
constexpr double DecidingDeviations = 3;
// A caller's requests are told when, with two standard deviations to spare,
// less than this part of what chance leaves over agreed as well; of calls it is
// half at the least, even where slow work makes them late.
constexpr double SparedDeviations = 2;
constexpr double CallersExcess = 0.35;
// With a chance near 0 or 1 one comparison would decide on its own.
constexpr double LeastChance = 0.02;
constexpr double MostChance = 0.98;
// No call leaves itself more time than its parent has, but for the work of an
// earlier life of this process, which is not known: a miss with even chances.
constexpr double CallerChance = 0.5;
// Comparisons lose their weight over so many newer ones, so that a route that
// changes its nature is noticed.
constexpr double MemoryComparisons = 200;
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
  double Kept = 1 - 1 / MemoryComparisons;
  Known->Excess_ = Kept * Known->Excess_ + (Hit ? 1 : 0) - Random;
  Known->Variance_ = Kept * Known->Variance_ + Random * (1 - Random);
  Known->Rest_ = Kept * Known->Rest_ + 1 - Random;
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
  onCompared(Child, false, CallerChance);
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
  const Entry &Known = Found->second;
  double Deviation = std::sqrt(Known.Variance_);
  if (Known.Excess_ >= DecidingDeviations * Deviation &&
      Known.Excess_ > CallersExcess * Known.Rest_)
    return RouteOrigin::Work;
  bool ByChance = Known.Excess_ + SparedDeviations * Deviation <
                  CallersExcess * Known.Rest_;
  return ByChance ? RouteOrigin::Callers : RouteOrigin::Undecided;
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
