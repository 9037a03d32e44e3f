#include "fulmarshelf/detail/routing/call_graph.hpp"

namespace fulmarshelf {

namespace {

// Requests of a route before it is told apart.
constexpr double EnoughSeen = 10;
// Calls agree with running work nearly always, callers' requests in less than
// a third of cases even beside a full backend server.
constexpr double CalledShare = 0.5;
// Old observations lose half of their weight after this many newer ones.
constexpr double MemoryRequests = 200;
constexpr std::size_t MaxRoutes = 4096;
// A parent with less than this part of a route's matches is one by chance.
constexpr double ChanceShare = 0.1;

} // namespace

CallGraph::Entry *CallGraph::touch(const std::string &Child) {
  if (Routes_.size() >= MaxRoutes && !Routes_.contains(Child))
    return nullptr;
  Entry &Known = Routes_[Child];
  if (Known.Seen_ >= MemoryRequests) {
    Known.Seen_ /= 2;
    Known.Matched_ /= 2;
    for (std::pair<const std::string, double> &Parent : Known.Parents_)
      Parent.second /= 2;
  }
  Known.Seen_ += 1;
  return &Known;
}

void CallGraph::onMatch(const std::string &Child, const std::string &Parent) {
  Entry *Known = touch(Child);
  if (Known == nullptr)
    return;
  Known->Matched_ += 1;
  Known->Parents_[Parent] += 1;
}

void CallGraph::onMismatch(const std::string &Child) { touch(Child); }

bool CallGraph::isCalled(const std::string &Route) const {
  auto Found = Routes_.find(Route);
  return Found != Routes_.end() && Found->second.Seen_ >= EnoughSeen &&
         Found->second.Matched_ >= CalledShare * Found->second.Seen_;
}

bool CallGraph::isUndecided(const std::string &Route) const {
  auto Found = Routes_.find(Route);
  return Found == Routes_.end() || Found->second.Seen_ < EnoughSeen;
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
    if (!isCalled(Item.first))
      continue;
    auto Edge = Item.second.Parents_.find(Parent);
    if (Edge != Item.second.Parents_.end() &&
        Edge->second >= ChanceShare * Item.second.Matched_)
      Result.push_back(Item.first);
  }
  return Result;
}

} // namespace fulmarshelf
