#include "fulmarshelf/detail/shell/store_client.hpp"

#include "fulmarshelf/detail/shell/store_documents.hpp" // subtreeOf

#include <utility> // move

namespace fulmarshelf {

namespace {

constexpr std::uint64_t MaxBodyBytes = std::uint64_t{16} * 1024 * 1024;
constexpr std::size_t MaxIdleConnections = 2; // a watch holds one of its own
// The store answers within milliseconds; a slow one, 100 times as slow, still
// does within this time. Longer waits would only hide a lost answer.
constexpr std::chrono::milliseconds CallTimeout{1500};
// A watch ends by itself this often, so that one whose answers get lost is
// noticed before a change would be late by more than the time beyond it.
constexpr unsigned RoutesWatchMs = 2'000;
constexpr unsigned TeamsWatchMs = 25'000;
constexpr std::chrono::milliseconds WatchSlack{750};

HttpLimits storeLimits() {
  HttpLimits Limits;
  Limits.BodyBytes_ = MaxBodyBytes;
  return Limits;
}

} // namespace

StoreClient::StoreClient(boost::asio::io_context &Context,
                         const NodeSettings &Settings, Handler OnInput)
    : Settings_(Settings), OnInput_(std::move(OnInput)),
      Http_(Context, storeLimits(), MaxIdleConnections,
            [this](HttpCallId Call, const HttpResult &Result) {
              onDone(Call, Result);
            }) {}

void StoreClient::send(Asked What, const HttpRequest &Request,
                       std::chrono::milliseconds Timeout) {
  ++Calls_;
  HttpCallOptions Options;
  Options.Timeout_ = Timeout;
  HttpCallId Call = Http_.call(Settings_.Platform_, Request, Options);
  Asked_.emplace(Call, std::move(What));
}

void StoreClient::list(Collection Kind) {
  send({StoreCall::List, Kind, false, {}},
       listRequest(kindOf(Kind), "", Freshness::Latest), CallTimeout);
}

void StoreClient::watch(Collection Kind, std::uint64_t Since) {
  unsigned Wait = Kind == Collection::Routes ? RoutesWatchMs : TeamsWatchMs;
  send({StoreCall::Watch, Kind, false, {}},
       watchRequest(kindOf(Kind), Since, Wait),
       std::chrono::milliseconds(Wait) + WatchSlack);
}

void StoreClient::listNodes() {
  send({StoreCall::Nodes, Collection::Teams, false, {}},
       listRequest(NodesKind, "", Freshness::Stale), CallTimeout);
}

std::string StoreClient::ownAddresses() const {
  return encodeAddresses(
      {Settings_.Name_, Settings_.AdvertisedPeer_, Settings_.OperatorAddress_});
}

void StoreClient::announce() {
  send({StoreCall::Announce, Collection::Teams, false, {}},
       createRequest(NodesKind, Settings_.Name_, ownAddresses()), CallTimeout);
}

void StoreClient::withdraw() {
  send({StoreCall::Withdraw, Collection::Teams, false, {}},
       removeRequest(NodesKind, Settings_.Name_, std::nullopt), CallTimeout);
}

void StoreClient::onDone(HttpCallId Call, const HttpResult &Result) {
  auto Found = Asked_.find(Call);
  if (Found == Asked_.end())
    return;
  Asked What = std::move(Found->second);
  Asked_.erase(Found);
  StoreFailed Failed{What.Call_, What.Collection_};
  const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
  bool Good = Response != nullptr && Response->Status_ / 100 == 2;
  bool Exists = Response != nullptr && Response->Status_ == 409;
  switch (What.Call_) {
  case StoreCall::List:
  case StoreCall::Nodes:
  case StoreCall::Watch:
    if (!Good || !onPage(std::move(What), Response->Body_))
      OnInput_(Failed);
    return;
  case StoreCall::Announce:
    if (Good) {
      OnInput_(StoreAnnounced{});
    } else if (Exists && !What.Replacing_) {
      What.Replacing_ = true;
      send(std::move(What),
           replaceRequest(NodesKind, Settings_.Name_, ownAddresses(),
                          std::nullopt),
           CallTimeout);
    } else {
      OnInput_(Failed);
    }
    return;
  case StoreCall::Withdraw:
    if (!Good)
      OnInput_(Failed);
    return;
  }
}

// Returns false when the page cannot be read.
bool StoreClient::onPage(Asked What, const std::string &Body) {
  StorePage Page;
  if (What.Call_ == StoreCall::Watch) {
    if (!parseChanges(Body, Page))
      return false;
    OnInput_(StoreWatched{
        What.Collection_, Page.Revision_,
        readable(What.Collection_, Page.Revision_, Page.Objects_)});
    return true;
  }
  if (!parseList(Body, Page))
    return false;
  What.Objects_.insert(What.Objects_.end(), Page.Objects_.begin(),
                       Page.Objects_.end());
  if (!Page.More_ || Page.Objects_.empty()) {
    handList(What, Page.Revision_);
    return true;
  }
  bool Nodes = What.Call_ == StoreCall::Nodes;
  std::string After = Page.Objects_.back().Name_;
  HttpRequest Next =
      listRequest(Nodes ? NodesKind : kindOf(What.Collection_), After,
                  Nodes ? Freshness::Stale : Freshness::Latest);
  send(std::move(What), Next, CallTimeout);
  return true;
}

void StoreClient::handList(const Asked &What, std::uint64_t Revision) {
  if (What.Call_ == StoreCall::List) {
    OnInput_(StoreListed{What.Collection_, Revision,
                         readable(What.Collection_, Revision, What.Objects_)});
    return;
  }
  StoreNodesListed Nodes;
  for (const NodeAddresses &Item : nodesOf(What.Objects_))
    Nodes.Nodes_.push_back({Item.Node_, Item.Peer_});
  OnInput_(std::move(Nodes));
}

// What cannot be read is reported and left out, so that what is in force stays.
std::vector<SubtreeVersion>
StoreClient::readable(Collection Kind, std::uint64_t Revision,
                      const std::vector<StoreObject> &From) {
  std::vector<SubtreeVersion> Result;
  for (const StoreObject &Object : From) {
    std::string Fault;
    std::optional<SubtreeVersion> Read = subtreeOf(Kind, Object, Fault);
    if (Read)
      Result.push_back(std::move(*Read));
    else if (!Fault.empty())
      OnInput_(StoreUnreadable{Kind, Revision, Fault});
  }
  return Result;
}

} // namespace fulmarshelf
