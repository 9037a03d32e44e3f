#include "fulmarshelf/detail/shell/http_server.hpp"

#include <utility> // move, which Asio's coroutine headers need

#include <boost/asio/post.hpp> // post

#include <algorithm> // find_if

namespace fulmarshelf {

namespace {

constexpr unsigned KeySpaceShift = 56;
constexpr std::chrono::milliseconds SweepInterval{1000};
// Time after which a request that was refused for lack of memory may be
// repeated; about the time that the requests in progress take.
constexpr Micros MemoryRetryAfter = millis(1000);

} // namespace

HttpServer::HttpServer(boost::asio::io_context &Context,
                       const Endpoint &ListenAddress, std::uint64_t KeySpace,
                       std::size_t MaxConnections, const HttpLimits &Limits,
                       Handlers Callbacks)
    : Limits_(Limits), Callbacks_(std::move(Callbacks)),
      MaxConnections_(MaxConnections), LastKey_(KeySpace << KeySpaceShift),
      Connections_(
          Context,
          {[](ConnectionId) {},
           [this](ConnectionId Source, std::string_view Bytes) {
             onBytes(Source, Bytes);
           },
           [this](ConnectionId Source, CloseReason) { onClosed(Source); }}),
      Listener_(Context, ListenAddress,
                [this](boost::asio::ip::tcp::socket Socket) {
                  accept(std::move(Socket));
                }),
      SweepTimer_(Context), Context_(Context) {}

void HttpServer::setCapacity(const PipelineLimits &Pipeline,
                             std::uint64_t MaxRequestMemory) {
  Pipeline_ = Pipeline;
  MaxRequestMemory_ = MaxRequestMemory;
}

void HttpServer::accept(boost::asio::ip::tcp::socket Socket) {
  if (Exchanges_.size() >= MaxConnections_)
    return; // the socket closes as it goes out of scope
  ConnectionId NewConnection = Connections_.adopt(std::move(Socket));
  Clock::time_point Now = Clock::now();
  auto Entry = Exchanges_.emplace(
      NewConnection,
      Exchange{HttpServerSession(Limits_, Pipeline_), {}, Now, Now});
  if (Closing_)
    Entry.first->second.Http_.closeAfterResponse();
}

void HttpServer::onBytes(ConnectionId Source, std::string_view Bytes) {
  auto ExchangeEntry = Exchanges_.find(Source);
  if (ExchangeEntry == Exchanges_.end())
    return;
  ExchangeEntry->second.Http_.receive(Bytes, Clock::now());
  advance(Source);
}

// Keeps the count of the memory of all requests, and refuses the one that is
// being received when there is too much. Requests that are only a head are
// always received: the number of connections bounds their size.
void HttpServer::updateMemory(Exchange &Entry) {
  std::size_t Buffered = Entry.Http_.bufferedBytes();
  std::uint64_t Memory = Buffered;
  for (const PendingRequest &Request : Entry.Pending_)
    Memory += Request.BodyBytes_;
  RequestMemory_ += Memory - Entry.Memory_;
  Entry.Memory_ = Memory;
  bool HasBody = Buffered > Limits_.HeaderBytes_;
  if (RequestMemory_ <= MaxRequestMemory_ || !HasBody)
    return;
  Entry.Http_.refuseIncomplete(ErrorCode::Shed, MemoryRetryAfter);
  std::uint64_t Freed = Buffered - Entry.Http_.bufferedBytes();
  RequestMemory_ -= Freed;
  Entry.Memory_ -= Freed;
  Counts_.RefusedForMemory_ += Freed > 0 ? 1 : 0;
}

void HttpServer::erase(ConnectionId Target) {
  auto Entry = Exchanges_.find(Target);
  RequestMemory_ -= Entry->second.Memory_;
  Exchanges_.erase(Entry);
}

void HttpServer::updateReading(Exchange &Entry) {
  bool Reading = Entry.Http_.isReading();
  if (Reading && !Entry.Reading_)
    Entry.ReadingSince_ = Clock::now();
  Entry.Reading_ = Reading;
}

void HttpServer::setLimits(const HttpLimits &Limits,
                           std::chrono::milliseconds IdleTimeout,
                           std::chrono::milliseconds RequestTimeout) {
  bool Armed = IdleTimeout_.count() > 0;
  Limits_ = Limits;
  IdleTimeout_ = IdleTimeout;
  RequestTimeout_ = RequestTimeout;
  for (std::pair<const ConnectionId, Exchange> &Entry : Exchanges_)
    Entry.second.Http_.setLimits(Limits);
  if (!Armed && IdleTimeout.count() > 0)
    armSweep();
}

void HttpServer::armSweep() {
  SweepTimer_.expires_after(SweepInterval);
  SweepTimer_.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    sweep();
    armSweep();
  });
}

// Closes connections that are idle for longer than the idle timeout, or that
// have not sent a whole request within the request timeout.
void HttpServer::sweep() {
  Clock::time_point Now = Clock::now();
  std::vector<ConnectionId> Expired;
  for (const std::pair<const ConnectionId, Exchange> &Connection : Exchanges_) {
    const Exchange &Entry = Connection.second;
    bool Idle = !Entry.Reading_ && Now - Entry.IdleSince_ > IdleTimeout_;
    bool Slow = Entry.Reading_ && Now - Entry.ReadingSince_ > RequestTimeout_;
    if (!Entry.Http_.isBusy() && (Idle || Slow))
      Expired.push_back(Connection.first);
  }
  for (ConnectionId Target : Expired) {
    erase(Target);
    Connections_.close(Target);
  }
}

void HttpServer::closeAfterResponses() {
  Closing_ = true;
  for (std::pair<const ConnectionId, Exchange> &Entry : Exchanges_)
    Entry.second.Http_.closeAfterResponse();
}

bool HttpServer::mayStart(const Exchange &Entry,
                          const HttpRequest &Next) const {
  if (Entry.Pending_.empty())
    return true;
  // Requests that are in progress side by side may all overlap, so the first
  // one stands for all.
  return Callbacks_.MayOverlap_ &&
         Callbacks_.MayOverlap_(Entry.Pending_.front().Caller_, Next);
}

// Starts the next request of a connection if there is one and it need not wait
// for earlier ones.
bool HttpServer::startNext(ConnectionId Source, Exchange &Entry) {
  const HttpRequest *Next = Entry.Http_.peekRequest();
  if (Next == nullptr || !mayStart(Entry, *Next))
    return false;
  Counts_.Pipelined_ += Entry.Pending_.empty() ? 0 : 1;
  HttpRequest Request;
  Entry.Http_.nextRequest(Request);
  CallerKey Caller{++LastKey_};
  Callers_[Caller] = Source;
  Entry.Pending_.push_back({Caller, Entry.Http_.lastRequest(),
                            Entry.Http_.receivedAt(), Request.Body_.size()});
  Callbacks_.OnRequest_(Caller, std::move(Request));
  return true;
}

// Starts the requests that may run. A handler may respond at once, so the
// function is not reentered.
void HttpServer::advance(ConnectionId Source) {
  Exchange &Entry = Exchanges_.at(Source);
  if (Entry.Advancing_)
    return;
  Entry.Advancing_ = true;
  while (startNext(Source, Entry))
    continue;
  Entry.Advancing_ = false;
  sendResponses(Source, Entry);
}

// Writes the responses that are ready, and closes the connection after its last
// response.
void HttpServer::sendResponses(ConnectionId Target, Exchange &Entry) {
  updateMemory(Entry);
  updateReading(Entry);
  Connections_.write(Target, Entry.Http_.takeOutput());
  if (Entry.Http_.wantsClose()) {
    erase(Target);
    Connections_.closeWhenWritten(Target);
    return;
  }
  Connections_.setReading(Target, !Entry.Http_.isFull());
}

void HttpServer::onClosed(ConnectionId Source) {
  auto ExchangeEntry = Exchanges_.find(Source);
  if (ExchangeEntry == Exchanges_.end())
    return;
  std::deque<PendingRequest> Unanswered =
      std::move(ExchangeEntry->second.Pending_);
  erase(Source);
  // The handler for one request may respond to another request of the same
  // connection, so all callers are removed before the handler is called.
  std::erase_if(Unanswered, [](const PendingRequest &Request) {
    return Request.Answered_;
  });
  for (const PendingRequest &Request : Unanswered)
    Callers_.erase(Request.Caller_);
  for (const PendingRequest &Request : Unanswered)
    Callbacks_.OnDisconnected_(Request.Caller_);
}

// Removes the requests whose responses are sent: those that wait for no earlier
// one.
void HttpServer::dropSent(Exchange &Entry) {
  Clock::time_point Now = Clock::now();
  while (!Entry.Pending_.empty() && Entry.Pending_.front().Answered_) {
    const PendingRequest &Sent = Entry.Pending_.front();
    Counts_.LateHeldResponses_ += Sent.Held_ && Now > Sent.DeliverBy_ ? 1 : 0;
    Entry.Pending_.pop_front();
  }
}

HttpServer::PendingRequest *HttpServer::findPending(Exchange &Entry,
                                                    CallerKey Caller) {
  auto Request = std::find_if(Entry.Pending_.begin(), Entry.Pending_.end(),
                              [Caller](const PendingRequest &Other) {
                                return Other.Caller_ == Caller;
                              });
  return Request == Entry.Pending_.end() ? nullptr : &*Request;
}

void HttpServer::respond(CallerKey Caller, const HttpResponse &Response) {
  auto CallerEntry = Callers_.find(Caller);
  if (CallerEntry == Callers_.end())
    return;
  ConnectionId Target = CallerEntry->second;
  Callers_.erase(CallerEntry);
  Exchange &Entry = Exchanges_.at(Target);
  PendingRequest *Request = findPending(Entry, Caller);
  Request->Answered_ = true;
  Request->Held_ = Request != &Entry.Pending_.front();
  Counts_.HeldResponses_ += Request->Held_ ? 1 : 0;
  Entry.IdleSince_ = Clock::now();
  Entry.Http_.respond(Request->Number_, Response);
  dropSent(Entry);
  // The next request must not reach the handler before the caller of this
  // function is done with its current one.
  if (Entry.Advancing_)
    return;
  if (Entry.Http_.hasInput())
    boost::asio::post(Context_, [this, Target] {
      if (Exchanges_.contains(Target))
        advance(Target);
    });
  sendResponses(Target, Entry);
}

std::chrono::microseconds HttpServer::age(CallerKey Caller) {
  auto CallerEntry = Callers_.find(Caller);
  if (CallerEntry == Callers_.end())
    return std::chrono::microseconds(0);
  const PendingRequest *Request =
      findPending(Exchanges_.at(CallerEntry->second), Caller);
  return std::chrono::duration_cast<std::chrono::microseconds>(
      Clock::now() - Request->ReceivedAt_);
}

void HttpServer::setDeliverBy(CallerKey Caller, Clock::time_point DeliverBy) {
  auto CallerEntry = Callers_.find(Caller);
  if (CallerEntry != Callers_.end())
    findPending(Exchanges_.at(CallerEntry->second), Caller)->DeliverBy_ =
        DeliverBy;
}

void HttpServer::stopAccepting() { Listener_.stop(); }

} // namespace fulmarshelf
