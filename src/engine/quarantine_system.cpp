#include "fulmarshelf/detail/base/hash.hpp"         // stableHash
#include "fulmarshelf/detail/engine/systems.hpp"    // quarantine_system
#include "fulmarshelf/detail/membership/member.hpp" // rendezvousWeight

#include <algorithm> // max, shuffle, stable_partition

namespace fulmarshelf::quarantine_system {

namespace {

constexpr Micros SpreadInterval = millis(150);
constexpr unsigned SpreadRounds = 2;
// A report with this many digests fits into one datagram of 1,472 bytes.
constexpr std::size_t MaxReportedRequests = 64;

void send(NodeState &Node, QuarantineNews News) {
  if (News.empty())
    return;
  Node.QuarantineSpread_.Pending_.push_back({std::move(News), SpreadRounds});
  if (!Node.QuarantineSpread_.TimerSet_)
    spread(Node);
}

// When more requests were in progress than fit into a report, those with
// evidence against them are reported first and the others at random.
std::vector<RequestDigest> selectReported(NodeState &Node,
                                          std::vector<RequestDigest> Requests) {
  std::erase_if(Requests, [&Node](const RequestDigest &Digest) {
    return Node.Quarantine_.wasServed(Node.Now_, Digest);
  });
  if (Requests.size() <= MaxReportedRequests)
    return Requests;
  std::shuffle(Requests.begin(), Requests.end(), Node.Random_);
  std::stable_partition(
      Requests.begin(), Requests.end(), [&Node](const RequestDigest &Digest) {
        return Node.Quarantine_.suspicion(Node.Now_, Digest) != Suspicion::None;
      });
  Requests.resize(MaxReportedRequests);
  return Requests;
}

bool learn(NodeState &Node, const CrashReport &Report) {
  std::vector<RequestDigest> SetAside;
  bool IsNew = Node.Quarantine_.learnCrash(Node.Now_, Report, SetAside);
  for (const RequestDigest &Digest : SetAside)
    log(Node, EventNumber::RequestSetAside,
        {{"digest", toString(Digest)},
         {"crashes", std::to_string(Node.Quarantine_.crashes(Digest))}});
  return IsNew;
}

void logCleared(NodeState &Node, const RequestDigest &Digest,
                const char *Source) {
  log(Node, EventNumber::RequestCleared,
      {{"digest", toString(Digest)}, {"source", Source}});
}

// True when this node, of all owners of its service, runs the request.
bool isTrialOwner(const NodeState &Node, const RequestDigest &Digest) {
  std::string Key = toString(Digest);
  std::uint64_t LocalWeight = rendezvousWeight(Key, localNodeName(Node));
  for (const Member &Other : Node.Membership_.available())
    if (Other.Service_ == Node.Backend_.Announcement_.Service_ &&
        rendezvousWeight(Key, Other.Node_) > LocalWeight)
      return false;
  return true;
}

// A request whose crashes were all simultaneous runs again. Copies of it may be
// at several owners at the same time, so only one owner runs it.
Suspicion suspicionAtOwner(const NodeState &Node, const RequestDigest &Digest) {
  Suspicion Known = Node.Quarantine_.suspicion(Node.Now_, Digest);
  bool IsTrial = Known == Suspicion::StrongSuspect &&
                 Node.Quarantine_.hasManyCrashes(Digest);
  return IsTrial && !isTrialOwner(Node, Digest) ? Suspicion::SetAside : Known;
}

} // namespace

void onCrash(NodeState &Node, const std::vector<RequestDigest> &InProgress) {
  CrashReport Report;
  Report.Crash_ = stableHash(
      localNodeName(Node) + "|" + std::to_string(Node.Config_.Incarnation_) +
      "|" + Node.Backend_.Announcement_.Instance_ + "|" +
      std::to_string(Node.Now_.time_since_epoch().count()));
  Report.InProgress_ = selectReported(Node, InProgress);
  if (Report.InProgress_.empty())
    return;
  learn(Node, Report);
  send(Node, {{Report}, {}});
}

void onServed(NodeState &Node, Work &Answered) {
  if (Node.Quarantine_.empty())
    return;
  if (!Answered.Digest_)
    Answered.Digest_ = digestOf(Answered.Http_);
  if (!Node.Quarantine_.onServed(Node.Now_, *Answered.Digest_))
    return;
  logCleared(Node, *Answered.Digest_, "served");
  send(Node, {{}, {*Answered.Digest_}});
}

void onNews(NodeState &Node, const QuarantineNews &News) {
  QuarantineNews New;
  for (const CrashReport &Report : News.Crashes_)
    if (learn(Node, Report))
      New.Crashes_.push_back(Report);
  for (const RequestDigest &Digest : News.Cleared_)
    if (Node.Quarantine_.clear(Node.Now_, Digest)) {
      logCleared(Node, Digest, "news");
      New.Cleared_.push_back(Digest);
    }
  send(Node, std::move(New));
}

// Sends each report in a datagram of its own, which keeps them below the size
// at which datagrams are fragmented.
void spread(NodeState &Node) {
  std::vector<QuarantineSpread::PendingNews> &Pending =
      Node.QuarantineSpread_.Pending_;
  for (QuarantineSpread::PendingNews &Entry : Pending) {
    Node.Membership_.broadcastNews(Entry.News_);
    --Entry.RemainingRounds_;
  }
  std::erase_if(Pending, [](const QuarantineSpread::PendingNews &Entry) {
    return Entry.RemainingRounds_ == 0;
  });
  if (Pending.empty())
    return;
  Node.QuarantineSpread_.TimerSet_ = true;
  setTimer(Node, SpreadInterval, TimerKind::QuarantineSpread);
}

void onReleased(NodeState &Node, const QuarantineReleased &Input) {
  if (!Node.Quarantine_.clear(Node.Now_, Input.Digest_))
    return;
  logCleared(Node, Input.Digest_, "operator");
  send(Node, {{}, {Input.Digest_}});
}

Suspicion suspicionOf(const NodeState &Node, Work &Current) {
  Suspicion FromCaller =
      Current.Context_.Suspect_ ? Suspicion::Suspect : Suspicion::None;
  if (Node.Quarantine_.empty())
    return FromCaller;
  if (!Current.Digest_)
    Current.Digest_ = digestOf(Current.Http_);
  return std::max(FromCaller, suspicionAtOwner(Node, *Current.Digest_));
}

Suspicion suspicionOf(const NodeState &Node, const HttpRequest &Request) {
  if (Node.Quarantine_.empty())
    return Suspicion::None;
  return Node.Quarantine_.suspicion(Node.Now_, digestOf(Request));
}

void onRejected(NodeState &Node, const HttpRequest &Request) {
  const std::string *Host = findHeader(Request.Headers_, "Host");
  Node.Quarantine_.onRejected(Node.Now_, digestOf(Request),
                              Request.Method_ + " " +
                                  (Host == nullptr ? std::string() : *Host) +
                                  std::string(pathOf(Request.Target_)));
}

} // namespace fulmarshelf::quarantine_system
