#include "fulmarshelf/detail/shell/http_caller.hpp"

#include <algorithm> // find

namespace fulmarshelf {

HttpCaller::HttpCaller(boost::asio::io_context &Context,
                       const HttpLimits &Limits, std::size_t MaxIdle,
                       Handler OnDone)
    : Context_(Context), Limits_(Limits), MaxIdle_(MaxIdle),
      OnDone_(std::move(OnDone)),
      Connections_(Context,
                   {[this](ConnectionId Source) { onOpen(Source); },
                    [this](ConnectionId Source, std::string_view Bytes) {
                      onBytes(Source, Bytes);
                    },
                    [this](ConnectionId Source) { onClosed(Source); }}) {}

HttpCallId HttpCaller::call(const Endpoint &Peer, HttpRequest Request,
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
  std::vector<ConnectionId> &Idle = Idle_[Peer];
  if (!Idle.empty() && !Options.FreshConnection_) {
    Entry.Connection_ = Idle.back();
    Idle.pop_back();
    Clients_.at(Entry.Connection_).Call_ = Fresh;
    send(Fresh);
    return Fresh;
  }
  Entry.Connection_ = Connections_.connect(Peer, Options.ConnectTimeout_);
  Clients_.emplace(Entry.Connection_,
                   Client{HttpClientSession(Limits_), Fresh, Peer});
  return Fresh;
}

void HttpCaller::cancel(HttpCallId Target) {
  auto Found = Calls_.find(Target);
  if (Found == Calls_.end())
    return;
  ConnectionId Used = Found->second.Connection_;
  Calls_.erase(Found);
  drop(Used);
}

void HttpCaller::send(HttpCallId Target) {
  Call &Entry = Calls_.at(Target);
  Entry.Sent_ = true;
  HttpClientSession &Http = Clients_.at(Entry.Connection_).Http_;
  Connections_.write(Entry.Connection_,
                     Http.send(Entry.Request_, toString(Entry.Peer_)));
}

void HttpCaller::onOpen(ConnectionId Source) {
  auto Found = Clients_.find(Source);
  if (Found != Clients_.end() && Calls_.contains(Found->second.Call_))
    send(Found->second.Call_);
}

void HttpCaller::onBytes(ConnectionId Source, std::string_view Bytes) {
  auto Found = Clients_.find(Source);
  if (Found == Clients_.end())
    return;
  HttpResponse Response;
  HttpCallId Answered = Found->second.Call_;
  switch (Found->second.Http_.receive(Bytes, Response)) {
  case ClientResult::Waiting:
    return;
  case ClientResult::Answered:
    if (Found->second.Http_.isReusable())
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

void HttpCaller::onClosed(ConnectionId Source) {
  auto Found = Clients_.find(Source);
  if (Found == Clients_.end())
    return;
  HttpCallId Ended = Found->second.Call_;
  HttpResponse Response;
  ClientResult Last = Found->second.Http_.end(Response);
  drop(Source);
  auto Call = Calls_.find(Ended);
  if (Call == Calls_.end())
    return;
  if (Last == ClientResult::Answered)
    finish(Ended, Response);
  else
    finish(Ended, HttpFailure{!Call->second.Sent_});
}

void HttpCaller::drop(ConnectionId Target) {
  auto Found = Clients_.find(Target);
  if (Found == Clients_.end())
    return;
  std::vector<ConnectionId> &Idle = Idle_[Found->second.Peer_];
  std::erase(Idle, Target);
  Clients_.erase(Found);
  Connections_.close(Target);
}

void HttpCaller::keep(ConnectionId Target) {
  Client &Entry = Clients_.at(Target);
  Entry.Call_ = HttpCallId{0};
  std::vector<ConnectionId> &Idle = Idle_[Entry.Peer_];
  if (Idle.size() < MaxIdle_)
    Idle.push_back(Target);
  else
    drop(Target);
}

void HttpCaller::finish(HttpCallId Target, const HttpResult &Result) {
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
  HttpCaller Caller(
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
