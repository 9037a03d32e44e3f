#include "fulmarshelf/detail/shell/node_shell.hpp"

#include "fulmarshelf/detail/shell/platform_codec.hpp" // listRequest

#include <nlohmann/json.hpp> // json

#include <utility> // move

namespace fulmarshelf {

namespace {

using boost::asio::ip::udp;
using boost::system::error_code;

constexpr std::size_t MaxCallerConnections = 8192;
constexpr std::size_t MaxOperatorConnections = 64;
constexpr std::size_t MaxIdleBackendConnections = 128;
constexpr std::uint64_t CallerKeySpace = 1;
constexpr std::uint64_t BackendKeySpace = 2;
constexpr std::uint64_t OperatorKeySpace = 3;
constexpr std::chrono::milliseconds BackendConnectTimeout{500};
constexpr std::chrono::milliseconds PlatformTimeout{5'000};
constexpr unsigned WatchMs = 25'000;
constexpr std::chrono::milliseconds LogFlushInterval{200};
constexpr std::uint64_t MaxPlatformBody = std::uint64_t{16} * 1024 * 1024;

const std::string AnnouncePath = "/_fulmarshelf/announce";

HttpLimits platformLimits() {
  HttpLimits Limits;
  Limits.BodyBytes_ = MaxPlatformBody;
  return Limits;
}

HttpResponse textPage(std::uint16_t Status, std::string Body) {
  return {Status, {{"Content-Type", "text/plain"}}, std::move(Body)};
}

HttpResponse jsonPage(std::string Body) {
  return {200, {{"Content-Type", "application/json"}}, std::move(Body)};
}

StoreNodesListed toSeeds(const std::vector<NodeAddresses> &Nodes) {
  StoreNodesListed Result;
  for (const NodeAddresses &Item : Nodes)
    Result.Nodes_.push_back({Item.Node_, Item.Peer_});
  return Result;
}

HttpResponse effectivePage(const NodeState &Node, const std::string &Target) {
  std::string Path = queryValue(Target, "path");
  std::string Method = queryValue(Target, "method");
  std::optional<EffectiveRules> Rules =
      Node.Settings_.effective(serviceOf(Path), Method.empty() ? "GET" : Method,
                               pathOf(Path), queryValue(Target, "caller"));
  if (!Rules)
    return textPage(404, "no team has service '" + serviceOf(Path) + "'\n");
  nlohmann::json Document = {{"node", ownName(Node)},
                             {"team", Rules->Team_},
                             {"version", Rules->Version_},
                             {"importance", Rules->Importance_},
                             {"idempotent", Rules->Idempotent_},
                             {"patience_ms", Rules->Patience_.count() / 1000},
                             {"retries", Rules->Retries_},
                             {"max_body_bytes", Rules->MaxBody_},
                             {"retry_share_percent", Rules->RetryShare_}};
  return jsonPage(Document.dump() + "\n");
}

} // namespace

// Carries out what the core asks for.
struct NodeShell::ActionVisitor {
  NodeShell &Shell_;

  void operator()(const AnswerCaller &Wanted) const {
    Shell_.Callers_.respond(Wanted.Caller_, Wanted.Response_);
    Shell_.BackendSide_.respond(Wanted.Caller_, Wanted.Response_);
  }
  void operator()(const OpenLink &Wanted) const {
    Shell_.Peers_.open(Wanted.Link_, Wanted.Peer_);
  }
  void operator()(const CloseLink &Wanted) const {
    Shell_.Peers_.close(Wanted.Link_);
  }
  void operator()(const PingLink &Wanted) const {
    Shell_.Peers_.ping(Wanted.Link_);
  }
  void operator()(const SendCall &Wanted) const {
    Shell_.Peers_.send(Wanted.Link_, Wanted.Message_);
  }
  void operator()(const SendCancel &Wanted) const {
    Shell_.Peers_.cancel(Wanted.Link_, Wanted.Sequence_);
  }
  void operator()(const SendRevoke &Wanted) const {
    Shell_.Peers_.send(Wanted.Link_, Wanted.Message_);
  }
  void operator()(const SendSync &Wanted) const {
    Shell_.Peers_.send(Wanted.Link_, Wanted.Message_);
  }
  void operator()(const AnswerCall &Wanted) const {
    Shell_.Peers_.answer(Wanted.Stream_, toPeer(Wanted.Reply_));
  }
  void operator()(const AnswerRevoke &Wanted) const {
    Shell_.Peers_.answer(Wanted.Stream_, toPeer(Wanted.Reply_));
  }
  void operator()(const AnswerSync &Wanted) const {
    Shell_.Peers_.answer(Wanted.Stream_, toPeer(Wanted.Reply_));
  }
  void operator()(const DispatchWork &Wanted) const { Shell_.dispatch(Wanted); }
  void operator()(const CancelWork &Wanted) const {
    auto Found = Shell_.CallOfWork_.find(Wanted.Work_);
    if (Found == Shell_.CallOfWork_.end())
      return;
    Shell_.BackendCalls_.cancel(Found->second);
    Shell_.WorkOfCall_.erase(Found->second);
    Shell_.CallOfWork_.erase(Found);
  }
  void operator()(const SendDatagram &Wanted) const {
    Shell_.sendDatagram(Wanted);
  }
  void operator()(const StoreList &) const {
    Shell_.callPlatform("list", listRequest("/settings/"), PlatformTimeout);
  }
  void operator()(const StoreListNodes &) const {
    Shell_.callPlatform("nodes", listRequest("/nodes/"), PlatformTimeout);
  }
  void operator()(const StoreWatch &Wanted) const {
    Shell_.callPlatform("watch", watchRequest(Wanted.Since_, WatchMs),
                        std::chrono::milliseconds(WatchMs) + PlatformTimeout);
  }
  void operator()(const StoreAnnounce &) const {
    const NodeSettings &Own = Shell_.Config_.Settings_;
    std::string Addresses =
        encodeAddresses({Own.Name_, Own.AdvertisedPeer_, Own.OperatorAddress_});
    Shell_.callPlatform("announce",
                        putRequest(nodeObject(Own.Name_), Addresses, 0, true),
                        PlatformTimeout);
  }
  void operator()(const StoreWithdraw &) const {
    Shell_.callPlatform(
        "withdraw",
        deleteRequest(nodeObject(Shell_.Config_.Settings_.Name_), 0, true),
        PlatformTimeout);
  }
  void operator()(const WriteLog &Wanted) const {
    Shell_.Metrics_.count(Wanted.Record_.Event_);
    Shell_.Events_.write(Wanted.Record_);
  }
  void operator()(const Observe &Wanted) const {
    Shell_.Metrics_.observe(Wanted);
  }
  void operator()(const Finished &) const {
    Shell_.Finished_ = true;
    Shell_.Events_.flush();
    Shell_.Context_.stop();
  }
};

NodeShell::NodeShell(boost::asio::io_context &Context,
                     const EngineConfig &Config)
    : Context_(Context), Config_(Config),
      Events_(Config.Settings_.Name_, Config.Settings_.LogFile_,
              Config.Settings_.LogLevel_),
      Engine_(Config),
      Callers_(Context, Config.Settings_.CallerAddress_, CallerKeySpace,
               MaxCallerConnections, HttpLimits(),
               {[this](CallerKey Caller, HttpRequest Request) {
                  feed(CallerArrived{Caller, false, std::move(Request)});
                },
                [this](CallerKey Caller) { feed(CallerGone{Caller}); }}),
      BackendSide_(Context, Config.Settings_.BackendAddress_, BackendKeySpace,
                   MaxCallerConnections, HttpLimits(),
                   {[this](CallerKey Caller, HttpRequest Request) {
                      onBackendRequest(Caller, std::move(Request));
                    },
                    [this](CallerKey Caller) { feed(CallerGone{Caller}); }}),
      Operators_(Context, Config.Settings_.OperatorAddress_, OperatorKeySpace,
                 MaxOperatorConnections, HttpLimits(),
                 {[this](CallerKey Caller, const HttpRequest &Request) {
                    onOperatorRequest(Caller, Request);
                  },
                  [](CallerKey) {}}),
      Peers_(Context, Config.Settings_.PeerAddress_,
             HelloMessage{Config.Settings_.Name_, Config.Incarnation_},
             [this](Input Happened) { feed(std::move(Happened)); }),
      BackendCalls_(Context, HttpLimits(), MaxIdleBackendConnections,
                    [this](HttpCallId Call, const HttpResult &Result) {
                      onBackendDone(Call, Result);
                    }),
      PlatformCalls_(Context, platformLimits(), 0,
                     [this](HttpCallId Call, const HttpResult &Result) {
                       onPlatformDone(Call, Result);
                     }),
      Datagrams_(Context,
                 udp::endpoint(boost::asio::ip::make_address(
                                   Config.Settings_.PeerAddress_.Address_),
                               Config.Settings_.PeerAddress_.Port_)),
      Timer_(Context), LogTimer_(Context) {
  Datagrams_.non_blocking(true);
}

TimePoint NodeShell::now() {
  return TimePoint(std::chrono::duration_cast<Micros>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

void NodeShell::start() {
  Engine_.start(now());
  receiveDatagram();
  flushLog();
  drain();
}

void NodeShell::leave() {
  Callers_.stopAccepting();
  feed(LeaveRequested{});
}

void NodeShell::feed(Input Happened) {
  Inputs_.push_back(std::move(Happened));
  drain();
}

// Actions can cause inputs; those wait here, so that the core is never entered
// while it is being served.
void NodeShell::drain() {
  if (Draining_)
    return;
  Draining_ = true;
  ActionVisitor Visitor{*this};
  while (true) {
    for (const Action &Wanted : Engine_.takeActions())
      std::visit(Visitor, Wanted);
    if (Inputs_.empty() || Finished_)
      break;
    Input Next = std::move(Inputs_.front());
    Inputs_.pop_front();
    Engine_.handle(now(), Next);
  }
  Draining_ = false;
  armTimer();
}

void NodeShell::armTimer() {
  TimePoint Next = Engine_.nextTimer();
  if (Next == TimerAt_)
    return;
  TimerAt_ = Next;
  Timer_.expires_at(std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          Next.time_since_epoch())));
  Timer_.async_wait([this](error_code Error) {
    if (Error)
      return;
    TimerAt_ = TimePoint::max();
    Engine_.tick(now());
    drain();
  });
}

void NodeShell::receiveDatagram() {
  Datagrams_.async_receive_from(
      boost::asio::buffer(DatagramBuffer_), DatagramSource_,
      [this](error_code Error, std::size_t Count) {
        if (!Datagrams_.is_open())
          return;
        if (!Error) {
          ++Counts_.DatagramsReceived_;
          Counts_.DatagramBytesReceived_ += Count;
          feed(DatagramArrived{
              {DatagramSource_.address().to_string(), DatagramSource_.port()},
              std::string(DatagramBuffer_.data(), Count)});
        }
        receiveDatagram();
      });
}

// A datagram that cannot be sent now is lost, as any datagram may be.
void NodeShell::sendDatagram(const SendDatagram &Wanted) {
  error_code Ignored;
  boost::asio::ip::address Address =
      boost::asio::ip::make_address(Wanted.To_.Address_, Ignored);
  if (Ignored)
    return;
  Datagrams_.send_to(boost::asio::buffer(Wanted.Bytes_),
                     udp::endpoint(Address, Wanted.To_.Port_), 0, Ignored);
  ++Counts_.DatagramsSent_;
  Counts_.DatagramBytesSent_ += Wanted.Bytes_.size();
}

void NodeShell::dispatch(const DispatchWork &Wanted) {
  HttpCallOptions Options;
  Options.ConnectTimeout_ = BackendConnectTimeout;
  Options.FreshConnection_ = Wanted.FreshConnection_;
  HttpCallId Call =
      BackendCalls_.call(Wanted.Backend_, Wanted.Request_, Options);
  CallOfWork_[Wanted.Work_] = Call;
  WorkOfCall_[Call] = Wanted.Work_;
}

void NodeShell::onBackendDone(HttpCallId Call, const HttpResult &Result) {
  auto Found = WorkOfCall_.find(Call);
  if (Found == WorkOfCall_.end())
    return;
  WorkId Work = Found->second;
  WorkOfCall_.erase(Found);
  CallOfWork_.erase(Work);
  if (const HttpResponse *Response = std::get_if<HttpResponse>(&Result))
    feed(BackendAnswered{Work, *Response});
  else
    feed(BackendFailed{Work, std::get<HttpFailure>(Result).NeverSent_});
}

void NodeShell::callPlatform(const std::string &What,
                             const HttpRequest &Request,
                             std::chrono::milliseconds Timeout) {
  ++Counts_.PlatformCalls_;
  HttpCallOptions Options;
  Options.Timeout_ = Timeout;
  HttpCallId Call =
      PlatformCalls_.call(Config_.Settings_.Platform_, Request, Options);
  PlatformCallKinds_[Call] = What;
}

void NodeShell::onPlatformDone(HttpCallId Call, const HttpResult &Result) {
  auto Found = PlatformCallKinds_.find(Call);
  if (Found == PlatformCallKinds_.end())
    return;
  std::string What = Found->second;
  PlatformCallKinds_.erase(Found);
  const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
  bool Good = Response != nullptr && Response->Status_ == 200;
  StoreListed Listed;
  StoreWatched Watched;
  std::vector<NodeAddresses> Nodes;
  if (Good && What == "list" && parseList(Response->Body_, Listed))
    feed(std::move(Listed));
  else if (Good && What == "watch" && parseWatch(Response->Body_, Watched))
    feed(std::move(Watched));
  else if (Good && What == "nodes" && parseNodeList(Response->Body_, Nodes))
    feed(toSeeds(Nodes));
  else if (Good && What == "announce")
    feed(StoreAnnounced{});
  else if (!Good || What != "withdraw")
    feed(StoreFailed{What});
}

void NodeShell::onBackendRequest(CallerKey Caller, HttpRequest Request) {
  if (Request.Target_ != AnnouncePath) {
    feed(CallerArrived{Caller, true, std::move(Request)});
    return;
  }
  Announcement Told;
  bool Good =
      Request.Method_ == "POST" && parseAnnouncement(Request.Body_, Told);
  BackendSide_.respond(
      Caller, Good ? textPage(200, "announced\n")
                   : textPage(400, "announcement is malformed; it needs "
                                   "service, address, slots, connections\n"));
  if (Good)
    feed(BackendAnnounced{Told});
}

void NodeShell::onOperatorRequest(CallerKey Caller,
                                  const HttpRequest &Request) {
  Operators_.respond(Caller, operatorPage(Request));
}

HttpResponse NodeShell::operatorPage(const HttpRequest &Request) {
  const NodeState &Node = Engine_.state();
  std::string Path(pathOf(Request.Target_));
  if (Request.Method_ != "GET")
    return textPage(405, "only GET is served here\n");
  if (Path == "/status")
    return jsonPage(statusJson(Node));
  if (Path == "/effective")
    return effectivePage(Node, Request.Target_);
  if (Path != "/metrics")
    return textPage(404, "pages: /status /effective /metrics\n");
  Counts_.PeerControlBytes_ = Peers_.controlBytes();
  Counts_.CallerConnections_ = Callers_.connections();
  return textPage(200, Metrics_.text(Node, Counts_));
}

void NodeShell::flushLog() {
  Events_.flush();
  LogTimer_.expires_after(LogFlushInterval);
  LogTimer_.async_wait([this](error_code Error) {
    if (!Error)
      flushLog();
  });
}

} // namespace fulmarshelf
