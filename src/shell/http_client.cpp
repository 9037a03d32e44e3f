#include "fulmarshelf/detail/shell/http_client.hpp"

#include <algorithm> // max_element

namespace fulmarshelf {

namespace {

// Servers that do not announce an idle time keep connections for at least five
// seconds, the shortest default among common servers.
constexpr std::chrono::milliseconds DefaultIdleTime{4000};

} // namespace

HttpClient::HttpClient(boost::asio::io_context &Context,
                       const HttpLimits &Limits, std::size_t MaxIdle,
                       Handler OnDone)
    : Context_(Context), Limits_(Limits), MaxIdle_(MaxIdle),
      OnDone_(std::move(OnDone)),
      Connections_(Context,
                   {[this](ConnectionId Source) { onOpen(Source); },
                    [this](ConnectionId Source, std::string_view Bytes) {
                      onBytes(Source, Bytes);
                    },
                    [this](ConnectionId Source, CloseReason Reason) {
                      onClosed(Source, Reason);
                    }}) {}

HttpCallId HttpClient::call(const Endpoint &Peer, HttpRequest Request,
                            const HttpCallOptions &Options) {
  HttpCallId NewCall{++LastId_};
  Call &Entry = Calls_[NewCall];
  Entry.Peer_ = Peer;
  Entry.Request_ = std::move(Request);
  if (Options.Timeout_.count() > 0) {
    Entry.Timer_ =
        std::make_unique<boost::asio::steady_timer>(Context_, Options.Timeout_);
    Entry.Timer_->async_wait([this, NewCall](boost::system::error_code Error) {
      auto CallEntry = Calls_.find(NewCall);
      if (Error || CallEntry == Calls_.end())
        return;
      CallFailure Reason =
          CallEntry->second.Sent_ ? CallFailure::Aborted : CallFailure::NotSent;
      drop(CallEntry->second.Connection_);
      finish(NewCall, HttpFailure{Reason});
    });
  }
  Entry.Inspect_ = Options.Inspect_;
  std::optional<ConnectionId> Reused;
  if (!Options.NewConnection_)
    Reused = takeIdle(Peer);
  if (Reused) {
    Entry.Connection_ = *Reused;
    Clients_.at(*Reused).Call_ = NewCall;
    Clients_.at(*Reused).Reused_ = true;
    send(NewCall);
    return NewCall;
  }
  Entry.Connection_ = Connections_.connect(Peer, Options.ConnectTimeout_);
  Clients_.emplace(
      Entry.Connection_,
      Client{HttpClientSession(Limits_), NewCall, Peer, {}, false});
  return NewCall;
}

// Returns the most recently used idle connection whose idle time has not
// passed. Closes connections that the peer may be closing already.
std::optional<ConnectionId> HttpClient::takeIdle(const Endpoint &Peer) {
  std::vector<ConnectionId> &Idle = Idle_[Peer];
  while (!Idle.empty()) {
    ConnectionId Candidate = Idle.back();
    Idle.pop_back();
    if (std::chrono::steady_clock::now() < Clients_.at(Candidate).IdleUntil_)
      return Candidate;
    drop(Candidate);
  }
  return std::nullopt;
}

void HttpClient::cancel(HttpCallId CallId) {
  auto CallEntry = Calls_.find(CallId);
  if (CallEntry == Calls_.end())
    return;
  ConnectionId Connection = CallEntry->second.Connection_;
  Calls_.erase(CallEntry);
  drop(Connection);
}

void HttpClient::send(HttpCallId CallId) {
  Call &Entry = Calls_.at(CallId);
  Entry.Sent_ = true;
  HttpClientSession &Http = Clients_.at(Entry.Connection_).Http_;
  Connections_.write(Entry.Connection_,
                     Http.send(Entry.Request_, toString(Entry.Peer_)));
}

void HttpClient::onOpen(ConnectionId Source) {
  auto ClientEntry = Clients_.find(Source);
  if (ClientEntry != Clients_.end() &&
      Calls_.contains(ClientEntry->second.Call_))
    send(ClientEntry->second.Call_);
}

void HttpClient::onBytes(ConnectionId Source, std::string_view Bytes) {
  auto ClientEntry = Clients_.find(Source);
  if (ClientEntry == Clients_.end())
    return;
  Client &Entry = ClientEntry->second;
  HttpResponse Response;
  HttpCallId CurrentCall = Entry.Call_;
  ClientResult Result = Entry.Http_.receive(Bytes, Response);
  auto CallEntry = Calls_.find(CurrentCall);
  ResponseTraits Traits;
  while (Result == ClientResult::Answered && CallEntry != Calls_.end()) {
    Traits = inspect(CallEntry->second, Entry.Reused_, Response);
    if (Traits.Match_ != ResponseMatch::OtherRequest)
      break;
    Entry.ResponseMismatched_ = true;
    Result = Entry.Http_.skipResponse(Response);
  }
  if (Result == ClientResult::Answered &&
      Traits.Match_ == ResponseMatch::Unnamed)
    Result = ClientResult::Broken;
  updateMemory(Entry);
  switch (Result) {
  case ClientResult::Waiting:
    failLargest();
    return;
  case ClientResult::Answered:
    // On a reused connection, the unsent rest of this request would be read as
    // the start of the next one.
    if (Entry.Http_.isReusable() && !Entry.ResponseMismatched_ &&
        !Traits.Refuses_ && Connections_.backlog(Source) == 0)
      keepIdle(Source);
    else
      drop(Source);
    finish(CurrentCall, Response);
    return;
  case ClientResult::Broken:
    drop(Source);
    finish(CurrentCall, HttpFailure{CallFailure::Aborted});
    return;
  }
}

// A response that names no request belongs to the only request that a new
// connection has carried.
ResponseTraits HttpClient::inspect(const Call &Current, bool Reused,
                                   const HttpResponse &Response) {
  if (!Current.Inspect_)
    return {};
  ResponseTraits Traits = Current.Inspect_(Current.Request_, Response);
  if (Traits.Match_ == ResponseMatch::Unnamed && !Reused)
    Traits.Match_ = ResponseMatch::Request;
  return Traits;
}

void HttpClient::updateMemory(Client &Entry) {
  std::uint64_t Memory = Entry.Http_.bufferedBytes();
  Memory_ += Memory - Entry.Memory_;
  Entry.Memory_ = Memory;
}

// Frees memory when the incomplete responses together are too large. The
// largest is the least likely to be an ordinary response.
void HttpClient::failLargest() {
  if (Memory_ <= MaxMemory_)
    return;
  auto Largest =
      std::max_element(Clients_.begin(), Clients_.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second.Memory_ < Right.second.Memory_;
                       });
  HttpCallId FailedCall = Largest->second.Call_;
  drop(Largest->first);
  finish(FailedCall, HttpFailure{CallFailure::Aborted});
}

void HttpClient::onClosed(ConnectionId Source, CloseReason Reason) {
  auto ClientEntry = Clients_.find(Source);
  if (ClientEntry == Clients_.end())
    return;
  HttpCallId EndedCall = ClientEntry->second.Call_;
  bool Reused = ClientEntry->second.Reused_;
  HttpResponse Response;
  // A response without a length ends with its connection, but is complete only
  // if the peer closed the connection in order.
  ClientResult FinalResult = Reason == CloseReason::PeerClosed
                                 ? ClientEntry->second.Http_.end(Response)
                                 : ClientResult::Broken;
  drop(Source);
  auto CallEntry = Calls_.find(EndedCall);
  if (CallEntry == Calls_.end())
    return;
  bool Matches = FinalResult == ClientResult::Answered &&
                 inspect(CallEntry->second, Reused, Response).Match_ ==
                     ResponseMatch::Request;
  if (Matches)
    finish(EndedCall, Response);
  else if (CallEntry->second.Sent_)
    finish(EndedCall, HttpFailure{CallFailure::ConnectionLost});
  else
    finish(EndedCall,
           HttpFailure{Reason == CloseReason::Refused ? CallFailure::Refused
                                                      : CallFailure::NotSent});
}

void HttpClient::drop(ConnectionId Connection) {
  auto ClientEntry = Clients_.find(Connection);
  if (ClientEntry == Clients_.end())
    return;
  std::vector<ConnectionId> &Idle = Idle_[ClientEntry->second.Peer_];
  std::erase(Idle, Connection);
  Memory_ -= ClientEntry->second.Memory_;
  Clients_.erase(ClientEntry);
  Connections_.close(Connection);
}

void HttpClient::keepIdle(ConnectionId Connection) {
  Client &Entry = Clients_.at(Connection);
  Entry.Call_ = HttpCallId{0};
  Entry.IdleUntil_ = std::chrono::steady_clock::now() +
                     Entry.Http_.idleTime().value_or(DefaultIdleTime);
  std::vector<ConnectionId> &Idle = Idle_[Entry.Peer_];
  if (Idle.size() < MaxIdle_)
    Idle.push_back(Connection);
  else
    drop(Connection);
}

void HttpClient::finish(HttpCallId CallId, const HttpResult &Result) {
  auto CallEntry = Calls_.find(CallId);
  if (CallEntry == Calls_.end())
    return;
  Calls_.erase(CallEntry);
  OnDone_(CallId, Result);
}

HttpResult fetch(const Endpoint &Peer, const HttpRequest &Request,
                 std::chrono::milliseconds Timeout) {
  boost::asio::io_context Context;
  HttpResult Result = HttpFailure{CallFailure::NotSent};
  HttpLimits Limits;
  Limits.BodyBytes_ = std::uint64_t{16} * 1024 * 1024;
  HttpClient Client(
      Context, Limits, 0,
      [&Result](HttpCallId, const HttpResult &Outcome) { Result = Outcome; });
  HttpCallOptions Options;
  Options.ConnectTimeout_ = Timeout;
  Options.Timeout_ = Timeout;
  Client.call(Peer, Request, Options);
  Context.run();
  return Result;
}

} // namespace fulmarshelf
