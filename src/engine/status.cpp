#include "fulmarshelf/detail/engine/engine.hpp"  // statusJson
#include "fulmarshelf/detail/engine/systems.hpp" // owner_system

#include <nlohmann/json.hpp> // json

namespace fulmarshelf {

namespace {

using Json = nlohmann::json;

Json settingsOf(const NodeState &Node) {
  Json List = Json::array();
  for (const SubtreeVersion &Item : Node.Settings_.all())
    List.push_back({{"path", Item.Path_},
                    {"version", Item.Version_},
                    {"deleted", Item.Deleted_}});
  return List;
}

// What this node has seen of another one's backend server.
Json viewOf(const NodeState &Node, const OwnerView &Seen) {
  const LoadReport &Told = Seen.report();
  return {{"limit", Told.Limit_},
          {"running", Told.InFlight_},
          {"queued", Told.Queued_},
          {"sent_from_here", Seen.inFlight()},
          {"slowness", Seen.slowness(Node.Now_)},
          {"level", Told.Level_},
          {"leaving", Seen.isLeaving(Node.Now_)}};
}

Json membersOf(const NodeState &Node) {
  Json List = Json::array();
  for (const Member &Known : Node.Membership_.all()) {
    Json Entry = {{"node", Known.Node_},
                  {"status", std::string(statusName(Known.Status_))},
                  {"peer", toString(Known.Peer_)},
                  {"region", Known.Region_},
                  {"failure_domain", Known.FailureDomain_},
                  {"service", Known.Service_}};
    auto Seen = Node.Peers_.find(Known.Node_);
    if (Seen != Node.Peers_.end())
      Entry["load"] = viewOf(Node, Seen->second.Owner_);
    List.push_back(Entry);
  }
  return List;
}

Json backendOf(const NodeState &Node) {
  const Announcement &Told = Node.Backend_.Announcement_;
  if (!Node.Backend_.Announced_)
    return nullptr;
  Json Result = {{"service", Told.Service_},
                 {"address", toString(Told.Address_)},
                 {"slots", Told.Slots_},
                 {"draining", Told.State_ == BackendState::Draining}};
  if (!Told.Instance_.empty())
    Result["instance"] = Told.Instance_;
  return Result;
}

// The share of each importance that fits, where it is not all.
std::string reasonByShares(const AdmittedShares &Shares) {
  std::string Text;
  for (std::size_t Level = 0; Level < Shares.size(); ++Level)
    if (Shares[Level] != FullShare)
      Text += (Text.empty() ? "" : ", ") +
              std::to_string(100 * Shares[Level] / FullShare) +
              " % of importance " + std::to_string(Level);
  return Text.empty() ? "nothing is shed here"
                      : "the backend server is full: there is room for " + Text;
}

// Says in one line why work is shed now, or that none is.
std::string reasonOf(const NodeState &Node) {
  Rank Level = std::max(Node.ShortLevel_.level(), Node.LongLevel_.level());
  if (Node.Phase_ == NodePhase::Starting)
    return "no settings yet: all requests are refused";
  if (Node.Phase_ == NodePhase::Leaving)
    return "leaving: new requests are refused";
  if (hasRouteTable(Node))
    return reasonByShares(Node.Demand_.shares().Admitted_);
  if (Level == 0)
    return "nothing is shed here";
  std::string Kind = Node.ShortLevel_.level() == 0 ? "long work" : "work";
  return "the backend server is full: " + Kind + " below importance " +
         std::to_string(importanceOf(Level)) +
         " is refused, and part of importance " +
         std::to_string(importanceOf(Level));
}

Json countsOf(const NodeState &Node) {
  Json List = Json::array();
  for (std::size_t Index = 0; Index < Node.Counts_.size(); ++Index)
    List.push_back({{"importance", Index},
                    {"answered", Node.Counts_[Index].Admitted_},
                    {"refused", Node.Counts_[Index].Shed_}});
  return List;
}

} // namespace

std::string statusJson(const NodeState &Node) {
  Json Document = {{"node", ownName(Node)},
                   {"incarnation", Node.Config_.Incarnation_},
                   {"phase", std::string(phaseName(Node.Phase_))},
                   {"failure_domain", Node.Config_.Settings_.FailureDomain_},
                   {"region", Node.Config_.Settings_.Region_},
                   {"watches_platform", settings_system::isWatcher(Node)},
                   {"settings", settingsOf(Node)},
                   {"backend", backendOf(Node)},
                   {"limit", Node.Limit_.limit()},
                   {"running", Node.Running_},
                   {"queued", Node.Queue_.size()},
                   {"level", Node.ShortLevel_.level()},
                   {"long_level", Node.LongLevel_.level()},
                   {"shedding", reasonOf(Node)},
                   {"by_importance", countsOf(Node)},
                   {"tables",
                    {{"requests", Node.Requests_.size()},
                     {"attempts", Node.Attempts_.size()},
                     {"works", Node.Works_.size()},
                     {"links", Node.Links_.size()},
                     {"tickets", Node.Tickets_.size()},
                     {"ledger", Node.Ledger_.size()},
                     {"timers", Node.Timers_.size()}}},
                   {"members", membersOf(Node)}};
  if (!Node.Sync_.Unreadable_.empty())
    Document["unreadable"] = Node.Sync_.Unreadable_;
  return Document.dump(1) + "\n";
}

} // namespace fulmarshelf
