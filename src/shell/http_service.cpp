#include "fulmarshelf/detail/shell/http_service.hpp"

#include <utility> // move

namespace fulmarshelf {

namespace {

constexpr unsigned KeySpaceShift = 56;

} // namespace

HttpService::HttpService(boost::asio::io_context &Context,
                         const Endpoint &Place, std::uint64_t KeySpace,
                         std::size_t MaxConnections, const HttpLimits &Limits,
                         Handlers Calls)
    : Limits_(Limits), Calls_(std::move(Calls)),
      MaxConnections_(MaxConnections), LastKey_(KeySpace << KeySpaceShift),
      Connections_(Context,
                   {[](ConnectionId) {},
                    [this](ConnectionId Source, std::string_view Bytes) {
                      onBytes(Source, Bytes);
                    },
                    [this](ConnectionId Source) { onClosed(Source); }}),
      Listener_(Context, Place, [this](boost::asio::ip::tcp::socket Socket) {
        accept(std::move(Socket));
      }) {}

void HttpService::accept(boost::asio::ip::tcp::socket Socket) {
  if (Exchanges_.size() >= MaxConnections_)
    return; // the socket closes as it goes out of scope
  ConnectionId Fresh = Connections_.adopt(std::move(Socket));
  Exchanges_.emplace(Fresh, Exchange{HttpServerSession(Limits_), {}});
}

void HttpService::onBytes(ConnectionId Source, std::string_view Bytes) {
  auto Found = Exchanges_.find(Source);
  if (Found == Exchanges_.end())
    return;
  Found->second.Http_.receive(Bytes);
  advance(Source);
}

void HttpService::advance(ConnectionId Source) {
  Exchange &Entry = Exchanges_.at(Source);
  HttpRequest Request;
  bool Ready = Entry.Http_.nextRequest(Request);
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

void HttpService::onClosed(ConnectionId Source) {
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

void HttpService::respond(CallerKey Caller, const HttpResponse &Response) {
  auto Found = Callers_.find(Caller);
  if (Found == Callers_.end())
    return;
  ConnectionId Target = Found->second;
  Callers_.erase(Found);
  Exchange &Entry = Exchanges_.at(Target);
  Entry.Caller_.reset();
  Entry.Http_.respond(Response);
  advance(Target);
}

void HttpService::stopAccepting() { Listener_.stop(); }

} // namespace fulmarshelf
