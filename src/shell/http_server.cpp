#include "fulmarshelf/detail/shell/http_server.hpp"

#include <utility> // move

namespace fulmarshelf {

namespace {

constexpr unsigned KeySpaceShift = 56;
constexpr std::chrono::milliseconds SweepInterval{1000};

} // namespace

HttpServer::HttpServer(boost::asio::io_context &Context, const Endpoint &Place,
                       std::uint64_t KeySpace, std::size_t MaxConnections,
                       const HttpLimits &Limits, Handlers Calls)
    : Limits_(Limits), Calls_(std::move(Calls)),
      MaxConnections_(MaxConnections), LastKey_(KeySpace << KeySpaceShift),
      Connections_(
          Context,
          {[](ConnectionId) {},
           [this](ConnectionId Source, std::string_view Bytes) {
             onBytes(Source, Bytes);
           },
           [this](ConnectionId Source, ConnectionEnd) { onClosed(Source); }}),
      Listener_(Context, Place,
                [this](boost::asio::ip::tcp::socket Socket) {
                  accept(std::move(Socket));
                }),
      SweepTimer_(Context) {}

void HttpServer::accept(boost::asio::ip::tcp::socket Socket) {
  if (Exchanges_.size() >= MaxConnections_)
    return; // the socket closes as it goes out of scope
  ConnectionId Fresh = Connections_.adopt(std::move(Socket));
  auto Now = std::chrono::steady_clock::now();
  auto Entry = Exchanges_.emplace(
      Fresh, Exchange{HttpServerSession(Limits_), {}, Now, Now, false});
  if (Closing_)
    Entry.first->second.Http_.closeAfterAnswer();
}

void HttpServer::onBytes(ConnectionId Source, std::string_view Bytes) {
  auto Found = Exchanges_.find(Source);
  if (Found == Exchanges_.end())
    return;
  Found->second.Http_.receive(Bytes);
  advance(Source);
}

void HttpServer::noteReading(Exchange &Entry) {
  bool Reading = Entry.Http_.isReading();
  if (Reading && !Entry.Reading_)
    Entry.ReadingSince_ = std::chrono::steady_clock::now();
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

// Closes connections that were idle, or slow with a request, for too long.
void HttpServer::sweep() {
  auto Now = std::chrono::steady_clock::now();
  std::vector<ConnectionId> Ended;
  for (const std::pair<const ConnectionId, Exchange> &Item : Exchanges_) {
    const Exchange &Entry = Item.second;
    bool Idle = !Entry.Reading_ && Now - Entry.QuietSince_ > IdleTimeout_;
    bool Slow = Entry.Reading_ && Now - Entry.ReadingSince_ > RequestTimeout_;
    if (!Entry.Http_.isBusy() && (Idle || Slow))
      Ended.push_back(Item.first);
  }
  for (ConnectionId Target : Ended) {
    Exchanges_.erase(Target);
    Connections_.close(Target);
  }
}

void HttpServer::closeAfterAnswers() {
  Closing_ = true;
  for (std::pair<const ConnectionId, Exchange> &Entry : Exchanges_)
    Entry.second.Http_.closeAfterAnswer();
}

void HttpServer::advance(ConnectionId Source) {
  Exchange &Entry = Exchanges_.at(Source);
  HttpRequest Request;
  bool Ready = Entry.Http_.nextRequest(Request);
  noteReading(Entry);
  Connections_.write(Source, Entry.Http_.takeOutput());
  if (Ready) {
    CallerKey Caller{++LastKey_};
    Entry.Caller_ = Caller;
    Callers_[Caller] = Source;
    Calls_.OnRequest_(Caller, std::move(Request));
    return;
  }
  if (!Entry.Http_.wantsClose() || Entry.Http_.isBusy())
    return;
  Exchanges_.erase(Source);
  Connections_.closeWhenWritten(Source);
}

void HttpServer::onClosed(ConnectionId Source) {
  auto Found = Exchanges_.find(Source);
  if (Found == Exchanges_.end())
    return;
  std::optional<CallerKey> Caller = Found->second.Caller_;
  Exchanges_.erase(Found);
  if (!Caller)
    return;
  Callers_.erase(*Caller);
  Calls_.OnGone_(*Caller);
}

void HttpServer::respond(CallerKey Caller, const HttpResponse &Response) {
  auto Found = Callers_.find(Caller);
  if (Found == Callers_.end())
    return;
  ConnectionId Target = Found->second;
  Callers_.erase(Found);
  Exchange &Entry = Exchanges_.at(Target);
  Entry.Caller_.reset();
  Entry.QuietSince_ = std::chrono::steady_clock::now();
  Entry.Http_.respond(Response);
  advance(Target);
}

void HttpServer::stopAccepting() { Listener_.stop(); }

} // namespace fulmarshelf
