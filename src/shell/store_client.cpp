#include "fulmarshelf/detail/shell/store_client.hpp"

#include "fulmarshelf/detail/shell/store_documents.hpp" // parseSubtree

#include <utility> // move

namespace fulmarshelf {

namespace {

constexpr std::uint64_t MaxResponseBytes = std::uint64_t{16} * 1024 * 1024;
// Idle connections kept for short calls. A watch occupies a further connection.
constexpr std::size_t MaxIdleConnections = 2;
// The store responds within milliseconds, and still within this timeout when it
// is 100 times slower. A longer timeout would only hide a lost response.
constexpr std::chrono::milliseconds CallTimeout{1500};
// A watch whose responses get lost is detected this time after its end.
constexpr std::chrono::milliseconds WatchSlack{750};
// Only late writes of an earlier process compete for a node's object.
constexpr unsigned MaxConflicts = 4;

HttpLimits storeLimits() {
  HttpLimits Limits;
  Limits.BodyBytes_ = MaxResponseBytes;
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

StoreClient::PendingCall StoreClient::pendingCall(StoreCall Call, Era Known) {
  PendingCall Result;
  Result.Call_ = Call;
  Result.Eras_.Sent_ = Known;
  return Result;
}

void StoreClient::send(PendingCall Pending, const HttpRequest &Request,
                       std::chrono::milliseconds Timeout) {
  ++Calls_;
  HttpCallOptions Options;
  Options.Timeout_ = Timeout;
  HttpCallId Call = Http_.call(Settings_.Platform_, Request, Options);
  PendingCalls_.emplace(Call, std::move(Pending));
}

void StoreClient::list(Collection Kind, Era Known) {
  PendingCall Pending = pendingCall(StoreCall::List, Known);
  Pending.Collection_ = Kind;
  send(std::move(Pending), listRequest(objectKind(Kind), "", Freshness::Latest),
       CallTimeout);
}

void StoreClient::watch(Collection Kind, std::uint64_t Since, Era Known,
                        Micros Wait) {
  auto WaitMs = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count());
  PendingCall Pending = pendingCall(StoreCall::Watch, Known);
  Pending.Collection_ = Kind;
  send(std::move(Pending), watchRequest(objectKind(Kind), Since, WaitMs),
       std::chrono::milliseconds(WaitMs) + WatchSlack);
}

void StoreClient::listNodes(Era Known) {
  send(pendingCall(StoreCall::Nodes, Known),
       listRequest(NodesKind, "", Freshness::Stale), CallTimeout);
}

void StoreClient::announce(Era Known, const NodeRecord &Record) {
  PendingCall Pending = pendingCall(StoreCall::Announce, Known);
  Pending.Record_ = Record;
  writeRecord(std::move(Pending));
}

// A record without content is removed. Before that, an object that this process
// has not seen is read: it may hold departures of an earlier process.
void StoreClient::writeRecord(PendingCall Pending) {
  const std::string &Name = Settings_.Name_;
  bool Removes = isEmpty(Pending.Record_);
  Pending.Reading_ = Pending.Reading_ || (Removes && !RecordRevision_);
  std::string Spec = encodeRecord(
      {Name, Settings_.AdvertisedPeer_, Settings_.OperatorAddress_},
      Pending.Record_);
  HttpRequest Request = createRequest(NodesKind, Name, Spec);
  if (Pending.Reading_)
    Request = getRequest(NodesKind, Name);
  else if (Removes)
    Request = removeRequest(NodesKind, Name, RecordRevision_);
  else if (RecordRevision_)
    Request = replaceRequest(NodesKind, Name, Spec, RecordRevision_);
  send(std::move(Pending), Request, CallTimeout);
}

void StoreClient::withdraw() {
  PendingCall Pending = pendingCall(StoreCall::Withdraw, {});
  Pending.Record_.Reachable_ = false;
  writeRecord(std::move(Pending));
}

void StoreClient::remove(const std::string &Node, std::uint64_t Revision) {
  send(pendingCall(StoreCall::Remove, {}),
       removeRequest(NodesKind, Node, Revision), CallTimeout);
}

// Notes the object that an answer shows, after which the call is made again. An
// answer that shows none is followed by a read.
void StoreClient::observeRecord(PendingCall &Pending,
                                const HttpResponse &Response) {
  StoreObject Existing;
  Pending.Reading_ =
      Response.Status_ != 404 && !parseObject(Response.Body_, Existing);
  RecordRevision_.reset();
  if (Response.Status_ == 404 || Pending.Reading_)
    return;
  RecordRevision_ = Existing.Revision_;
  mergeDepartures(Pending.Record_.Departures_, parseDepartures(Existing));
}

void StoreClient::onRecordAnswered(PendingCall Pending,
                                   const HttpResponse *Response,
                                   const std::string &Detail) {
  unsigned Status = Response == nullptr ? 0 : Response->Status_;
  bool Succeeded = Status / 100 == 2;
  bool Removed = isEmpty(Pending.Record_) &&
                 (Status == 404 || (Succeeded && !Pending.Reading_));
  if (Removed) {
    RecordRevision_.reset();
    return;
  }
  bool Differs =
      Status == 404 || Status == 409 || (Succeeded && Pending.Reading_);
  if (Differs && ++Pending.Conflicts_ <= MaxConflicts) {
    observeRecord(Pending, *Response);
    writeRecord(std::move(Pending));
    return;
  }
  RecordRevision_.reset();
  StoreObject Written;
  if (Succeeded && parseObject(Response->Body_, Written))
    RecordRevision_ = Written.Revision_;
  if (!Succeeded)
    fail(Pending, Detail);
  else if (Pending.Call_ == StoreCall::Announce)
    OnInput_(StoreAnnounced{Pending.Eras_, Pending.Record_});
}

void StoreClient::onDone(HttpCallId Call, const HttpResult &Result) {
  auto Entry = PendingCalls_.find(Call);
  if (Entry == PendingCalls_.end())
    return;
  PendingCall Pending = std::move(Entry->second);
  PendingCalls_.erase(Entry);
  const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
  Era EarlierPage = Pending.Eras_.Answered_;
  if (Response != nullptr)
    Pending.Eras_.Answered_ = parseStoreEra(*Response);
  std::string Detail = Response == nullptr
                           ? "no answer"
                           : "status " + std::to_string(Response->Status_);
  bool Succeeded = Response != nullptr && Response->Status_ / 100 == 2;
  switch (Pending.Call_) {
  case StoreCall::List:
  case StoreCall::Nodes:
  case StoreCall::Watch:
    if (!Succeeded)
      fail(Pending, Detail);
    else if (Pending.Revision_ && Pending.Eras_.Answered_ != EarlierPage)
      fail(Pending, "pages of two eras");
    else if (!onPage(Pending, Response->Body_))
      fail(Pending, "malformed answer");
    return;
  case StoreCall::Announce:
  case StoreCall::Withdraw:
    onRecordAnswered(std::move(Pending), Response, Detail);
    return;
  case StoreCall::Remove:
    return;
  }
}

void StoreClient::fail(const PendingCall &Pending, const std::string &Detail) {
  OnInput_(
      StoreFailed{Pending.Call_, Pending.Collection_, Detail, Pending.Eras_});
}

// Reports a complete result to the core, or requests the next page of a list.
// Returns false when the page is malformed.
bool StoreClient::onPage(PendingCall Pending, const std::string &Body) {
  StorePage Page;
  if (Pending.Call_ == StoreCall::Watch) {
    if (!parseChanges(Body, Page))
      return false;
    OnInput_(
        StoreWatched{Pending.Collection_, Page.Revision_,
                     readableSubtrees(Pending, Page.Revision_, Page.Objects_),
                     Pending.Eras_});
    return true;
  }
  if (!parseList(Body, Page))
    return false;
  Pending.Objects_.insert(Pending.Objects_.end(), Page.Objects_.begin(),
                          Page.Objects_.end());
  // Objects of this page may change before the next one is read. A watch from
  // this revision reports these changes.
  Pending.Revision_ = Pending.Revision_.value_or(Page.Revision_);
  if (!Page.More_ || Page.Objects_.empty()) {
    reportList(Pending);
    return true;
  }
  bool ListsNodes = Pending.Call_ == StoreCall::Nodes;
  std::string After = Page.Objects_.back().Name_;
  HttpRequest Next =
      listRequest(ListsNodes ? NodesKind : objectKind(Pending.Collection_),
                  After, ListsNodes ? Freshness::Stale : Freshness::Latest);
  send(std::move(Pending), Next, CallTimeout);
  return true;
}

void StoreClient::reportList(const PendingCall &Pending) {
  std::uint64_t Revision = Pending.Revision_.value_or(0);
  if (Pending.Call_ == StoreCall::List) {
    OnInput_(StoreListed{Pending.Collection_, Revision,
                         readableSubtrees(Pending, Revision, Pending.Objects_),
                         Pending.Eras_});
    return;
  }
  StoreNodesListed Listed;
  Listed.Eras_ = Pending.Eras_;
  Listed.Records_ = parseRecords(Pending.Objects_);
  for (const NodeAddresses &Addresses : parseNodeAddresses(Pending.Objects_))
    Listed.Nodes_.push_back({Addresses.Node_, Addresses.Peer_});
  OnInput_(std::move(Listed));
}

// Reports and skips unreadable objects, so that the versions in force of their
// subtrees stay in force.
std::vector<SubtreeVersion>
StoreClient::readableSubtrees(const PendingCall &Pending,
                              std::uint64_t Revision,
                              const std::vector<StoreObject> &Objects) {
  std::vector<SubtreeVersion> Result;
  for (const StoreObject &Object : Objects) {
    std::string Fault;
    std::optional<SubtreeVersion> Subtree = parseSubtree(
        Pending.Collection_, Object, Pending.Eras_.Answered_, Fault);
    if (!Fault.empty())
      OnInput_(StoreUnreadable{Pending.Collection_, Revision, Fault,
                               Subtree.has_value()});
    if (Subtree)
      Result.push_back(std::move(*Subtree));
  }
  return Result;
}

} // namespace fulmarshelf
