#include "fulmarshelf/detail/engine/systems.hpp" // store_era

#include <algorithm> // max, min
#include <random>    // uniform_int_distribution
#include <utility>   // exchange, pair

namespace fulmarshelf::store_era {

namespace {

void logRestore(NodeState &Node, std::uint64_t Before, std::uint64_t After) {
  std::map<Collection, CollectionSync> &Collections = Node.Sync_.Collections_;
  log(Node, EventNumber::StoreRestored,
      {{"era", std::to_string(After)},
       {"era_before", std::to_string(Before)},
       {"routes_revision",
        std::to_string(Collections[Collection::Routes].Revision_)},
       {"teams_revision",
        std::to_string(Collections[Collection::Teams].Revision_)}});
}

// Gives up the calls in progress. The revision of an earlier era names another
// state of the store now, so the collection is listed again.
void restart(NodeState &Node, CollectionSync &Sync) {
  Sync.ListPending_ = Sync.WatchPending_ = Sync.Listed_ = false;
  Sync.NextCallAt_ = Node.Now_;
  Sync.StoredPaths_.clear();
}

// Writes this node's addresses again. The delay spreads the writes of all nodes
// over time.
void announceAgain(NodeState &Node) {
  constexpr Micros DelayPerNode = millis(10);
  constexpr Micros MaxDelay = millis(10'000);
  if (Node.Phase_ == NodePhase::Leaving) {
    Node.Sync_.AnnouncePending_ = false;
    departure_system::withdraw(Node);
    return;
  }
  Micros Longest = std::min(
      MaxDelay, DelayPerNode * static_cast<Micros::rep>(
                                   Node.Membership_.available().size() + 1));
  std::uniform_int_distribution<Micros::rep> Delay(0, Longest.count());
  SettingsSync &Sync = Node.Sync_;
  Sync.Announced_ = Sync.AnnouncePending_ = false;
  Sync.NextStoreCallAt_ = Node.Now_ + Micros(Delay(Node.Random_));
}

} // namespace

void observe(NodeState &Node, const std::optional<std::uint64_t> &Answered) {
  SettingsSync &Sync = Node.Sync_;
  if (!Answered || (Sync.Era_ && *Answered <= *Sync.Era_))
    return;
  std::optional<std::uint64_t> Before = std::exchange(Sync.Era_, Answered);
  Node.Membership_.setStoreEra(*Answered);
  if (!Before)
    return;
  ++Sync.Restores_;
  logRestore(Node, *Before, *Answered);
  proof_system::onStoreRestored(Node);
  for (std::pair<const Collection, CollectionSync> &Entry : Sync.Collections_)
    restart(Node, Entry.second);
  Sync.NodesListPending_ = false;
  Sync.Withdrawn_.clear();
  Sync.NextNodeListAt_ = Node.Now_;
  announceAgain(Node);
}

// The answer to the announcement confirms the era; a report alone could be
// wrong.
void onReported(NodeState &Node, std::uint64_t Era) {
  SettingsSync &Sync = Node.Sync_;
  if (!Sync.Era_ || Era <= std::max(*Sync.Era_, Sync.ReportedEra_))
    return;
  Sync.ReportedEra_ = Era;
  announceAgain(Node);
}

bool isSentEarlier(const NodeState &Node, const CallEras &Eras) {
  return Eras.Sent_ && Eras.Sent_ != Node.Sync_.Era_;
}

bool isCurrent(const NodeState &Node, const CallEras &Eras) {
  return !isSentEarlier(Node, Eras) &&
         (!Eras.Answered_ || Eras.Answered_ == Node.Sync_.Era_);
}

} // namespace fulmarshelf::store_era
