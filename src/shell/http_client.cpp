#include "fulmarshelf/detail/shell/http_client.hpp"

#include <algorithm> // find

namespace fulmarshelf {

namespace {

// Servers that do not tell keep idle connections for at least five seconds
// (the shortest default among common ones).
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
                    [this](ConnectionId Source, ConnectionEnd How) {
                      onClosed(Source, How);
                    }}) {}

HttpCallId HttpClient::call(const Endpoint &Peer, HttpRequest Request,
                            const HttpCallOptions &Options) {
  HttpCallId Fresh{++Last_};
  Call &Entry = Calls_[Fresh];
  Entry.Peer_ = Peer;
  Entry.Request_ = std::move(Request);
  if (Options.Timeout_.count() > 0) {
    Entry.Timer_ =
        std::make_unique<boost::asio::steady_timer>(Context_, Options.Timeout_);
    Entry.Timer_->async_wait([this, Fresh](boost::system::error_code Error) {
      auto Found = Calls_.find(Fresh);
      if (Error || Found == Calls_.end())
        return;
      bool NeverSent = !Found->second.Sent_;
      drop(Found->second.Connection_);
      finish(Fresh, HttpFailure{NeverSent});
    });
  }
  Entry.Matches_ = Options.Matches_;
  std::optional<ConnectionId> Kept;
  if (!Options.NewConnection_)
    Kept = takeIdle(Peer);
  if (Kept) {
    Entry.Connection_ = *Kept;
    Clients_.at(*Kept).Call_ = Fresh;
    send(Fresh);
    return Fresh;
  }
  Entry.Connection_ = Connections_.connect(Peer, Options.ConnectTimeout_);
  Clients_.emplace(Entry.Connection_,
                   Client{HttpClientSession(Limits_), Fresh, Peer, {}, false});
  return Fresh;
}

// The kept connection that was used last, unless the peer may be closing it.
std::optional<ConnectionId> HttpClient::takeIdle(const Endpoint &Peer) {
  std::vector<ConnectionId> &Idle = Idle_[Peer];
  while (!Idle.empty()) {
    ConnectionId Last = Idle.back();
    Idle.pop_back();
    if (std::chrono::steady_clock::now() < Clients_.at(Last).IdleUntil_)
      return Last;
    drop(Last);
  }
  return std::nullopt;
}

void HttpClient::cancel(HttpCallId Target) {
  auto Found = Calls_.find(Target);
  if (Found == Calls_.end())
    return;
  ConnectionId Used = Found->second.Connection_;
  Calls_.erase(Found);
  drop(Used);
}

void HttpClient::send(HttpCallId Target) {
  Call &Entry = Calls_.at(Target);
  Entry.Sent_ = true;
  HttpClientSession &Http = Clients_.at(Entry.Connection_).Http_;
  Connections_.write(Entry.Connection_,
                     Http.send(Entry.Request_, toString(Entry.Peer_)));
}

void HttpClient::onOpen(ConnectionId Source) {
  auto Found = Clients_.find(Source);
  if (Found != Clients_.end() && Calls_.contains(Found->second.Call_))
    send(Found->second.Call_);
}

void HttpClient::onBytes(ConnectionId Source, std::string_view Bytes) {
  auto Found = Clients_.find(Source);
  if (Found == Clients_.end())
    return;
  Client &Entry = Found->second;
  HttpResponse Response;
  HttpCallId Answered = Entry.Call_;
  ClientResult Result = Entry.Http_.receive(Bytes, Response);
  auto Asked = Calls_.find(Answered);
  while (Result == ClientResult::Answered && Asked != Calls_.end() &&
         Asked->second.Matches_ &&
         !Asked->second.Matches_(Asked->second.Request_, Response)) {
    Entry.Suspicious_ = true;
    Result = Entry.Http_.skipAnswer(Response);
  }
  switch (Result) {
  case ClientResult::Waiting:
    return;
  case ClientResult::Answered:
    // What is left of the request must not be read as the next one.
    if (Entry.Http_.isReusable() && !Entry.Suspicious_ &&
        Connections_.backlog(Source) == 0)
      keep(Source);
    else
      drop(Source);
    finish(Answered, Response);
    return;
  case ClientResult::Broken:
    drop(Source);
    finish(Answered, HttpFailure{false});
    return;
  }
}

void HttpClient::onClosed(ConnectionId Source, ConnectionEnd How) {
  auto Found = Clients_.find(Source);
  if (Found == Clients_.end())
    return;
  HttpCallId Ended = Found->second.Call_;
  HttpResponse Response;
  // An answer without a length ends with its connection, but only a clean end
  // says that it is whole.
  ClientResult Last = How == ConnectionEnd::Finished
                          ? Found->second.Http_.end(Response)
                          : ClientResult::Broken;
  drop(Source);
  auto Call = Calls_.find(Ended);
  if (Call == Calls_.end())
    return;
  bool Right = Last == ClientResult::Answered &&
               (!Call->second.Matches_ ||
                Call->second.Matches_(Call->second.Request_, Response));
  if (Right)
    finish(Ended, Response);
  else
    finish(Ended, HttpFailure{!Call->second.Sent_});
}

void HttpClient::drop(ConnectionId Target) {
  auto Found = Clients_.find(Target);
  if (Found == Clients_.end())
    return;
  std::vector<ConnectionId> &Idle = Idle_[Found->second.Peer_];
  std::erase(Idle, Target);
  Clients_.erase(Found);
  Connections_.close(Target);
}

void HttpClient::keep(ConnectionId Target) {
  Client &Entry = Clients_.at(Target);
  Entry.Call_ = HttpCallId{0};
  Entry.IdleUntil_ = std::chrono::steady_clock::now() +
                     Entry.Http_.idleTime().value_or(DefaultIdleTime);
  std::vector<ConnectionId> &Idle = Idle_[Entry.Peer_];
  if (Idle.size() < MaxIdle_)
    Idle.push_back(Target);
  else
    drop(Target);
}

void HttpClient::finish(HttpCallId Target, const HttpResult &Result) {
  auto Found = Calls_.find(Target);
  if (Found == Calls_.end())
    return;
  Calls_.erase(Found);
  OnDone_(Target, Result);
}

HttpResult fetch(const Endpoint &Peer, const HttpRequest &Request,
                 std::chrono::milliseconds Timeout) {
  boost::asio::io_context Context;
  HttpResult Result = HttpFailure{true};
  HttpLimits Limits;
  Limits.BodyBytes_ = std::uint64_t{16} * 1024 * 1024;
  HttpClient Caller(
      Context, Limits, 0,
      [&Result](HttpCallId, const HttpResult &Done) { Result = Done; });
  HttpCallOptions Options;
  Options.ConnectTimeout_ = Timeout;
  Options.Timeout_ = Timeout;
  Caller.call(Peer, Request, Options);
  Context.run();
  return Result;
}

} // namespace fulmarshelf
