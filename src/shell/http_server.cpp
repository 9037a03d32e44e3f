#include "fulmarshelf/detail/shell/http_server.hpp"

#include <utility> // move

namespace fulmarshelf {

namespace {

constexpr unsigned KeySpaceShift = 56;
constexpr std::chrono::milliseconds SweepInterval{1000};

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
      SweepTimer_(Context) {}

void HttpServer::accept(boost::asio::ip::tcp::socket Socket) {
  if (Exchanges_.size() >= MaxConnections_)
    return; // the socket closes as it goes out of scope
  ConnectionId NewConnection = Connections_.adopt(std::move(Socket));
  auto Now = std::chrono::steady_clock::now();
  auto Entry = Exchanges_.emplace(
      NewConnection, Exchange{HttpServerSession(Limits_), {}, Now, Now, false});
  if (Closing_)
    Entry.first->second.Http_.closeAfterResponse();
}

void HttpServer::onBytes(ConnectionId Source, std::string_view Bytes) {
  auto ExchangeEntry = Exchanges_.find(Source);
  if (ExchangeEntry == Exchanges_.end())
    return;
  ExchangeEntry->second.Http_.receive(Bytes);
  advance(Source);
}

void HttpServer::updateReading(Exchange &Entry) {
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

// Closes connections that are idle for longer than the idle timeout, or that
// have not sent a whole request within the request timeout.
void HttpServer::sweep() {
  auto Now = std::chrono::steady_clock::now();
  std::vector<ConnectionId> Expired;
  for (const std::pair<const ConnectionId, Exchange> &Connection : Exchanges_) {
    const Exchange &Entry = Connection.second;
    bool Idle = !Entry.Reading_ && Now - Entry.IdleSince_ > IdleTimeout_;
    bool Slow = Entry.Reading_ && Now - Entry.ReadingSince_ > RequestTimeout_;
    if (!Entry.Http_.isBusy() && (Idle || Slow))
      Expired.push_back(Connection.first);
  }
  for (ConnectionId Target : Expired) {
    Exchanges_.erase(Target);
    Connections_.close(Target);
  }
}

void HttpServer::closeAfterResponses() {
  Closing_ = true;
  for (std::pair<const ConnectionId, Exchange> &Entry : Exchanges_)
    Entry.second.Http_.closeAfterResponse();
}

void HttpServer::advance(ConnectionId Source) {
  Exchange &Entry = Exchanges_.at(Source);
  HttpRequest Request;
  bool Ready = Entry.Http_.nextRequest(Request);
  updateReading(Entry);
  Connections_.write(Source, Entry.Http_.takeOutput());
  if (Ready) {
    CallerKey Caller{++LastKey_};
    Entry.Caller_ = Caller;
    Callers_[Caller] = Source;
    Callbacks_.OnRequest_(Caller, std::move(Request));
    return;
  }
  if (!Entry.Http_.wantsClose() || Entry.Http_.isBusy())
    return;
  Exchanges_.erase(Source);
  Connections_.closeWhenWritten(Source);
}

void HttpServer::onClosed(ConnectionId Source) {
  auto ExchangeEntry = Exchanges_.find(Source);
  if (ExchangeEntry == Exchanges_.end())
    return;
  std::optional<CallerKey> Caller = ExchangeEntry->second.Caller_;
  Exchanges_.erase(ExchangeEntry);
  if (!Caller)
    return;
  Callers_.erase(*Caller);
  Callbacks_.OnDisconnected_(*Caller);
}

void HttpServer::respond(CallerKey Caller, const HttpResponse &Response) {
  auto CallerEntry = Callers_.find(Caller);
  if (CallerEntry == Callers_.end())
    return;
  ConnectionId Target = CallerEntry->second;
  Callers_.erase(CallerEntry);
  Exchange &Entry = Exchanges_.at(Target);
  Entry.Caller_.reset();
  Entry.IdleSince_ = std::chrono::steady_clock::now();
  Entry.Http_.respond(Response);
  advance(Target);
}

void HttpServer::stopAccepting() { Listener_.stop(); }

} // namespace fulmarshelf
