#include "fulmarshelf/detail/shell/node_shell.hpp"

#include "fulmarshelf/detail/shell/announcement_codec.hpp" // queryValue

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
constexpr std::uint64_t MetricsKeySpace = 4;
constexpr std::chrono::milliseconds BackendConnectTimeout{500};
constexpr std::chrono::milliseconds LogFlushInterval{200};
constexpr std::chrono::milliseconds IdleMargin{1000};
// An answer larger than this is no answer of an ordinary backend server; it
// must not fill the memory of the node beside it.
constexpr std::uint64_t MaxAnswerBytes = std::uint64_t{16} * 1024 * 1024;
// The largest request that is held whole, whatever the routes allow.
constexpr std::uint64_t MaxRequestBytes = std::uint64_t{8} * 1024 * 1024;

HttpLimits answerLimits() {
  HttpLimits Limits;
  Limits.HeaderBytes_ = 64 * 1024;
  Limits.BodyBytes_ = MaxAnswerBytes;
  return Limits;
}

std::chrono::milliseconds inMillis(Micros Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value);
}

HttpResponse textPage(std::uint16_t Status, std::string Body) {
  return {Status, {{"Content-Type", "text/plain"}}, std::move(Body)};
}

HttpResponse jsonPage(std::string Body) {
  return {200, {{"Content-Type", "application/json"}}, std::move(Body)};
}

HttpResponse routesPage(const NodeState &Node) {
  const SubtreeVersion *Table =
      Node.Settings_.find(std::string(RouteTablePath));
  if (Table == nullptr)
    return textPage(404, "no route table is in force\n");
  return textPage(200, "; version " + std::to_string(Table->Version_) + "\n" +
                           Table->Text_);
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
    HttpResponse Response = std::visit(
        [&Wanted](const auto &Spoken) { return Spoken.encodeAnswer(Wanted); },
        Shell_.Dialect_);
    Shell_.Callers_.respond(Wanted.Caller_, Response);
    Shell_.BackendSide_.respond(Wanted.Caller_, Response);
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
  void operator()(const StoreList &Wanted) const {
    Shell_.Store_.list(Wanted.Collection_);
  }
  void operator()(const StoreListNodes &) const { Shell_.Store_.listNodes(); }
  void operator()(const StoreWatch &Wanted) const {
    Shell_.Store_.watch(Wanted.Collection_, Wanted.Since_);
  }
  void operator()(const StoreAnnounce &) const { Shell_.Store_.announce(); }
  void operator()(const StoreWithdraw &) const { Shell_.Store_.withdraw(); }
  void operator()(const WriteLog &Wanted) const {
    Shell_.Metrics_.count(Wanted.Record_.Event_);
    Shell_.Events_.write(Wanted.Record_);
  }
  void operator()(const RecordTime &Wanted) const {
    Shell_.Metrics_.observe(Wanted);
  }
  void operator()(const StopProcess &) const {
    Shell_.Finished_ = true;
    Shell_.Events_.flush();
    Shell_.Context_.stop();
  }
};

NodeShell::NodeShell(boost::asio::io_context &Context,
                     const EngineConfig &Config)
    : Context_(Context), Config_(Config),
      Dialect_(makeDialect(Config.Settings_)),
      Events_(Config.Settings_.Name_, Config.Settings_.LogFile_,
              Config.Settings_.LogLevel_),
      Engine_(Config),
      Callers_(
          Context, Config.Settings_.CallerAddress_, CallerKeySpace,
          MaxCallerConnections, HttpLimits(),
          {[this](CallerKey Caller, HttpRequest Request) {
             onRequest(Caller, false, std::move(Request));
           },
           [this](CallerKey Caller) { feed(CallerDisconnected{Caller}); }}),
      BackendSide_(
          Context, Config.Settings_.BackendAddress_, BackendKeySpace,
          MaxCallerConnections, HttpLimits(),
          {[this](CallerKey Caller, HttpRequest Request) {
             onBackendRequest(Caller, std::move(Request));
           },
           [this](CallerKey Caller) { feed(CallerDisconnected{Caller}); }}),
      Operators_(Context, Config.Settings_.OperatorAddress_, OperatorKeySpace,
                 MaxOperatorConnections, HttpLimits(),
                 {[this](CallerKey Caller, const HttpRequest &Request) {
                    onOperatorRequest(Caller, Request);
                  },
                  [](CallerKey) {}}),
      Peers_(Context, Config.Settings_.PeerAddress_,
             HelloMessage{Config.Settings_.Name_, Config.Incarnation_},
             [this](Input Happened) { feed(std::move(Happened)); }),
      BackendCalls_(Context, answerLimits(), MaxIdleBackendConnections,
                    [this](HttpCallId Call, const HttpResult &Result) {
                      onBackendDone(Call, Result);
                    }),
      Store_(Context, Config.Settings_,
             [this](Input Happened) { feed(std::move(Happened)); }),
      Datagrams_(Context,
                 udp::endpoint(boost::asio::ip::make_address(
                                   Config.Settings_.PeerAddress_.Address_),
                               Config.Settings_.PeerAddress_.Port_)),
      Timer_(Context), LogTimer_(Context) {
  Datagrams_.non_blocking(true);
  if (Config.Settings_.MetricsAddress_.Port_ != 0)
    MetricsPages_ = std::make_unique<HttpServer>(
        Context, Config.Settings_.MetricsAddress_, MetricsKeySpace,
        MaxOperatorConnections, HttpLimits(),
        HttpServer::Handlers{
            [this](CallerKey Caller, const HttpRequest &Request) {
              MetricsPages_->respond(Caller, operatorPage(Request));
            },
            [](CallerKey) {}});
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

// With a route table the callers of this VM have no other entry. They go on
// until they have seen that this one is not ready; each answer sends them away.
void NodeShell::leave() {
  if (Config_.Settings_.Interface_ == InterfaceKind::Platform)
    Callers_.closeAfterAnswers();
  else
    Callers_.stopAccepting();
  feed(LeaveRequested{});
}

void NodeShell::reload(const NodeSettings &Settings) {
  Events_.setLevel(Settings.LogLevel_);
  Events_.write(
      makeRecord(EventNumber::NodeReloaded,
                 {{"changed", Settings == Config_.Settings_ ? "no" : "yes"}}));
}

void NodeShell::reportBadSettings(const Findings &Faults) {
  for (const Finding &Fault : Faults)
    Events_.write(
        makeRecord(EventNumber::ReloadFailed, {{"fault", toString(Fault)}}));
}

// The bounds of the route table in force, when it has changed.
void NodeShell::applyCallerLimits() {
  const RouteTable *Table = Engine_.state().Settings_.routes();
  if (Table == nullptr || Table->Limits_ == CallerLimits_)
    return;
  CallerLimits_ = Table->Limits_;
  HttpLimits Limits;
  Limits.HeaderBytes_ = CallerLimits_->HeaderBytes_;
  Limits.BodyBytes_ = std::min(CallerLimits_->BodyBytes_, MaxRequestBytes);
  // Callers may use a connection up to the very end of its idle time.
  Callers_.setLimits(Limits, inMillis(CallerLimits_->IdleTimeout_) + IdleMargin,
                     inMillis(CallerLimits_->HeaderTimeout_) + IdleMargin);
}

void NodeShell::onRequest(CallerKey Caller, bool FromBackend,
                          HttpRequest Request) {
  IncomingRequest Decoded = std::visit(
      [&Request](const auto &Spoken) {
        return Spoken.decodeRequest(std::move(Request));
      },
      Dialect_);
  feed(CallerArrived{Caller, FromBackend, std::move(Decoded)});
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
  applyCallerLimits();
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
  Options.NewConnection_ = Wanted.NewConnection_;
  Options.Matches_ = [this](const HttpRequest &Request,
                            const HttpResponse &Response) {
    return std::visit(
        [&](const auto &Spoken) {
          return Spoken.isAnswerTo(Request, Response);
        },
        Dialect_);
  };
  HttpRequest Sent = std::visit(
      [&Wanted](const auto &Spoken) { return Spoken.encodeDispatch(Wanted); },
      Dialect_);
  HttpCallId Call =
      BackendCalls_.call(Wanted.Backend_, std::move(Sent), Options);
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
    feed(BackendAnswered{Work, *Response,
                         std::visit(
                             [Response](const auto &Spoken) {
                               return Spoken.decodeAnswer(*Response);
                             },
                             Dialect_)});
  else
    feed(BackendFailed{Work, std::get<HttpFailure>(Result).NeverSent_});
}

// Tells the core what the backend server said of itself.
struct NodeShell::NoticeVisitor {
  NodeShell &Shell_;

  void operator()(const NoNotice &) const {}
  void operator()(const MalformedNotice &Notice) const {
    Shell_.Events_.write(makeRecord(EventNumber::BackendNoticeMalformed,
                                    {{"detail", Notice.Detail_}}));
  }
  void operator()(const BackendAnnounced &Notice) const { Shell_.feed(Notice); }
  void operator()(const BackendDeparted &Notice) const { Shell_.feed(Notice); }
};

void NodeShell::onBackendRequest(CallerKey Caller, HttpRequest Request) {
  BackendNotice Notice = std::visit(
      [&Request](const auto &Spoken) { return Spoken.decodeNotice(Request); },
      Dialect_);
  if (std::holds_alternative<NoNotice>(Notice)) {
    onRequest(Caller, true, std::move(Request));
    return;
  }
  std::visit(NoticeVisitor{*this}, Notice);
  BackendSide_.respond(Caller, std::visit(
                                   [&Notice](const auto &Spoken) {
                                     return Spoken.encodeNoticeAnswer(Notice);
                                   },
                                   Dialect_));
}

HttpResponse NodeShell::readinessPage() const {
  const NodeState &Node = Engine_.state();
  bool Ready = Node.Phase_ == NodePhase::Serving;
  return textPage(Ready ? 200 : 503,
                  std::string(phaseName(Node.Phase_)) + "\n");
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
  std::string ReadinessPath = std::visit(
      [](const auto &Spoken) { return Spoken.readinessPath(); }, Dialect_);
  if (Path == ReadinessPath)
    return readinessPage();
  if (Path == "/status")
    return jsonPage(statusJson(Node));
  if (Path == "/routes")
    return routesPage(Node);
  if (Path == "/effective")
    return effectivePage(Node, Request.Target_);
  if (Path != "/metrics")
    return textPage(404, "pages: /status /routes /effective /metrics " +
                             ReadinessPath + "\n");
  Counts_.PeerControlBytes_ = Peers_.controlBytes();
  Counts_.CallerConnections_ = Callers_.connections();
  Counts_.PlatformCalls_ = Store_.calls();
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
