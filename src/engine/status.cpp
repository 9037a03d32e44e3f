#include "fulmarshelf/detail/engine/engine.hpp"  // statusJson
#include "fulmarshelf/detail/engine/systems.hpp" // owner_system

#include <nlohmann/json.hpp> // json

namespace fulmarshelf {

namespace {

using Json = nlohmann::json;

Json settingsOf(const NodeState &Node) {
  Json List = Json::array();
  for (const SubtreeVersion &Subtree : Node.Settings_.all())
    List.push_back({{"path", Subtree.Path_},
                    {"version", Subtree.Version_},
                    {"label", versionText(Subtree)},
                    {"deleted", Subtree.Deleted_}});
  return List;
}

Json storeOf(const NodeState &Node) {
  Json Result = {{"restores", Node.Sync_.Restores_}};
  if (Node.Sync_.Era_)
    Result["era"] = *Node.Sync_.Era_;
  return Result;
}

// Load of another node's backend server as this node observes it.
Json viewOf(const NodeState &Node, const OwnerView &View) {
  const LoadReport &Report = View.report();
  return {{"limit", Report.Limit_},
          {"running", Report.InFlight_},
          {"queued", Report.Queued_},
          {"sent_from_here", View.inFlight()},
          {"slowness", View.slowness(Node.Now_)},
          {"level", Report.Level_},
          {"leaving", View.isLeaving(Node.Now_)}};
}

Json membersOf(const NodeState &Node) {
  Json List = Json::array();
  for (const Member &Peer : Node.Membership_.all()) {
    Json Entry = {{"node", Peer.Node_},
                  {"status", std::string(statusName(Peer.Status_))},
                  {"peer", toString(Peer.Peer_)},
                  {"region", Peer.Region_},
                  {"failure_domain", Peer.FailureDomain_},
                  {"service", Peer.Service_}};
    auto PeerEntry = Node.Peers_.find(Peer.Node_);
    if (PeerEntry != Node.Peers_.end())
      Entry["load"] = viewOf(Node, PeerEntry->second.Owner_);
    List.push_back(Entry);
  }
  return List;
}

Json backendOf(const NodeState &Node) {
  const Announcement &Announced = Node.Backend_.Announcement_;
  if (!Node.Backend_.Announced_)
    return nullptr;
  Json Result = {{"service", Announced.Service_},
                 {"address", toString(Announced.Address_)},
                 {"slots", Announced.Slots_},
                 {"draining", Announced.State_ == BackendState::Draining}};
  if (std::optional<double> Rate = Node.Rate_.namedRate())
    Result["rate_limit"] = *Rate;
  if (!Announced.Instance_.empty())
    Result["instance"] = Announced.Instance_;
  return Result;
}

// Lists the importances that are not fully admitted, with the admitted share.
std::string sheddingByShares(const AdmittedShares &Shares) {
  std::string Text;
  for (std::size_t Importance = 0; Importance < Shares.size(); ++Importance)
    if (Shares[Importance] != FullShare)
      Text += (Text.empty() ? "" : ", ") +
              std::to_string(100 * Shares[Importance] / FullShare) +
              " % of importance " + std::to_string(Importance);
  return Text.empty() ? "nothing is shed here"
                      : "the backend server is full: there is room for " + Text;
}

// Describes in one line why work is shed, or that no work is shed.
std::string sheddingReason(const NodeState &Node) {
  Rank Level = std::max(Node.ShortLevel_.level(), Node.LongLevel_.level());
  if (Node.Phase_ == NodePhase::Starting)
    return "no settings yet: all requests are refused";
  if (Node.Phase_ == NodePhase::Leaving)
    return "leaving: new requests are refused";
  if (hasRouteTable(Node))
    return sheddingByShares(Node.Demand_.shares().Admitted_);
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

// Requests with evidence against them, the strongest first.
Json quarantineOf(const NodeState &Node) {
  constexpr std::size_t MaxListed = 100;
  Json List = Json::array();
  for (const QuarantinedRequest &Request :
       Node.Quarantine_.requests(Node.Now_)) {
    if (List.size() >= MaxListed)
      break;
    Json Entry = {{"request", toString(Request.Digest_)},
                  {"state", std::string(suspicionName(Request.Suspicion_))},
                  {"crashes", Request.Crashes_},
                  {"refused", Request.Rejected_}};
    if (!Request.Target_.empty())
      Entry["target"] = Request.Target_;
    List.push_back(Entry);
  }
  return List;
}

// Proof of the settings, and the quotas of the tenants that sent requests here.
Json tenancyOf(const NodeState &Node) {
  Json Result = {{"settings_proved", proof_system::isProved(Node)},
                 {"held", Node.Quotas_.Held_.size()},
                 {"tenants", Json::object()}};
  if (std::optional<Micros> Age = proof_system::age(Node))
    Result["proof_age_ms"] = Age->count() / 1000;
  for (const std::pair<const std::string, TenantCounts> &Entry :
       Node.Quotas_.Counts_)
    Result["tenants"][Entry.first] = {{"admitted", Entry.second.Admitted_},
                                      {"over_quota", Entry.second.OverQuota_},
                                      {"no_tokens", Entry.second.NoTokens_}};
  for (const std::pair<const std::uint32_t, QuotaPool> &Pool :
       Node.Quotas_.Pools_)
    Result["pools"][std::to_string(Pool.first)] =
        Pool.second.contribution(Node.Now_);
  return Result;
}

} // namespace

std::string statusJson(const NodeState &Node) {
  Json Document = {{"node", localNodeName(Node)},
                   {"incarnation", Node.Config_.Incarnation_},
                   {"phase", std::string(phaseName(Node.Phase_))},
                   {"failure_domain", Node.Config_.Settings_.FailureDomain_},
                   {"region", Node.Config_.Settings_.Region_},
                   {"watches_platform", follow_system::follows(Node)},
                   {"store", storeOf(Node)},
                   {"settings", settingsOf(Node)},
                   {"backend", backendOf(Node)},
                   {"limit", Node.Limit_.limit()},
                   {"running", Node.Running_},
                   {"queued", Node.Queue_.size()},
                   {"level", Node.ShortLevel_.level()},
                   {"long_level", Node.LongLevel_.level()},
                   {"shedding", sheddingReason(Node)},
                   {"by_importance", countsOf(Node)},
                   {"quarantine", quarantineOf(Node)},
                   {"tables",
                    {{"requests", Node.Requests_.size()},
                     {"attempts", Node.Attempts_.size()},
                     {"works", Node.Works_.size()},
                     {"links", Node.Links_.size()},
                     {"tickets", Node.Tickets_.size()},
                     {"ledger", Node.Ledger_.size()},
                     {"timers", Node.Timers_.size()}}},
                   {"members", membersOf(Node)}};
  if (Node.Settings_.tenants().isRequired())
    Document["tenancy"] = tenancyOf(Node);
  if (!Node.Sync_.Unreadable_.empty())
    Document["unreadable"] = Node.Sync_.Unreadable_;
  // Names of other processes may hold bytes that are not UTF-8.
  return Document.dump(1, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace fulmarshelf
