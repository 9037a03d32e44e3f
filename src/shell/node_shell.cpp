#include "fulmarshelf/detail/shell/node_shell.hpp"

#include "fulmarshelf/detail/engine/systems.hpp"           // entry_system
#include "fulmarshelf/detail/settings/ini.hpp"             // splitList
#include "fulmarshelf/detail/shell/announcement_codec.hpp" // queryValue

#include <nlohmann/json.hpp> // json

#include <time.h> // clock_gettime

#include <algorithm> // max, min
#include <utility>   // move

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
constexpr std::string_view ReleasePath = "/quarantine/release";
constexpr std::chrono::milliseconds BackendConnectTimeout{500};
constexpr std::chrono::milliseconds LogFlushInterval{200};
// Added to the timeouts of caller connections, see applyCallerLimits().
constexpr std::chrono::milliseconds TimeoutMargin{1000};
// Ordinary backend servers send no larger responses. The limit protects the
// memory of the node beside the backend server.
constexpr std::uint64_t MaxResponseBytes = std::uint64_t{16} * 1024 * 1024;
// Largest request body that is buffered, even if the route table sets a higher
// limit.
constexpr std::uint64_t MaxRequestBytes = std::uint64_t{8} * 1024 * 1024;
static_assert(MaxResponseBytes <= PeerSession::MaxMessageBytes &&
              MaxRequestBytes <= PeerSession::MaxMessageBytes);

// Shorter differences between the clocks are the time between reading them.
constexpr Micros MinSuspension = millis(2);

Micros timeOf(clockid_t Clock) {
  timespec Value{};
  clock_gettime(Clock, &Value);
  return std::chrono::duration_cast<Micros>(
      std::chrono::seconds(Value.tv_sec) +
      std::chrono::nanoseconds(Value.tv_nsec));
}

HttpLimits responseLimits() {
  HttpLimits Limits;
  Limits.HeaderBytes_ = 64 * 1024;
  Limits.BodyBytes_ = MaxResponseBytes;
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

// Operators' pages show no digests, from which a weak credential could be
// found by trying.
std::string withoutCredentials(const std::string &Table) {
  std::string Result;
  for (const std::string &Line : splitList(Table, '\n'))
    if (!Line.empty() && !Line.starts_with("credentials-"))
      Result += Line + "\n";
  return Result;
}

HttpResponse routesPage(const NodeState &Node) {
  const SubtreeVersion *Table =
      Node.Settings_.find(std::string(RouteTablePath));
  if (Table == nullptr)
    return textPage(404, "no route table is in force\n");
  return textPage(200, "; version " + std::to_string(Table->Version_) + "\n" +
                           withoutCredentials(Table->Text_));
}

HttpResponse effectivePage(const NodeState &Node, const std::string &Target) {
  std::string Path = queryValue(Target, "path");
  std::string Method = queryValue(Target, "method");
  std::optional<EffectiveRules> Rules =
      Node.Settings_.effective(serviceOf(Path), Method.empty() ? "GET" : Method,
                               pathOf(Path), queryValue(Target, "caller"));
  if (!Rules)
    return textPage(404, "no team has service '" + serviceOf(Path) + "'\n");
  nlohmann::json Document = {
      {"node", localNodeName(Node)},
      {"team", Rules->Team_},
      {"version", Rules->Version_},
      {"importance", Rules->Importance_},
      {"idempotent", Rules->Idempotent_},
      {"patience_ms", Rules->Patience_.count() / 1000},
      {"retries", Rules->Retries_},
      {"max_body_bytes", Rules->MaxBodyBytes_},
      {"retry_share_percent", Rules->RetrySharePercent_}};
  return jsonPage(Document.dump() + "\n");
}

} // namespace

// Carries out the actions of the core.
struct NodeShell::ActionVisitor {
  NodeShell &Shell_;

  void operator()(const AnswerCaller &Command) const {
    HttpResponse Response = std::visit(
        [&Command](const auto &ActiveDialect) {
          return ActiveDialect.encodeResponse(Command);
        },
        Shell_.Dialect_);
    // Only the server that received the request knows this caller key; the
    // other one ignores the response.
    Shell_.Callers_.respond(Command.Caller_, Response);
    Shell_.BackendSide_.respond(Command.Caller_, Response);
  }
  void operator()(const OpenLink &Command) const {
    Shell_.Peers_.open(Command.Link_, Command.Peer_);
  }
  void operator()(const CloseLink &Command) const {
    Shell_.Peers_.close(Command.Link_);
  }
  void operator()(const PingLink &Command) const {
    Shell_.Peers_.ping(Command.Link_);
  }
  void operator()(const SendCall &Command) const {
    Shell_.Peers_.send(Command.Link_, Command.Message_);
  }
  void operator()(const SendCancel &Command) const {
    Shell_.Peers_.cancel(Command.Link_, Command.Sequence_);
  }
  void operator()(const SendRevoke &Command) const {
    Shell_.Peers_.send(Command.Link_, Command.Message_);
  }
  void operator()(const SendSync &Command) const {
    Shell_.Peers_.send(Command.Link_, Command.Message_);
  }
  void operator()(const AnswerCall &Command) const {
    Shell_.Peers_.answer(Command.Stream_, toPeer(Command.Reply_));
  }
  void operator()(const AnswerRevoke &Command) const {
    Shell_.Peers_.answer(Command.Stream_, toPeer(Command.Reply_));
  }
  void operator()(const AnswerSync &Command) const {
    Shell_.Peers_.answer(Command.Stream_, toPeer(Command.Reply_));
  }
  void operator()(const DispatchWork &Command) const {
    Shell_.dispatch(Command);
  }
  void operator()(const CancelWork &Command) const {
    auto Entry = Shell_.CallOfWork_.find(Command.Work_);
    if (Entry == Shell_.CallOfWork_.end())
      return;
    Shell_.BackendCalls_.cancel(Entry->second);
    Shell_.WorkOfCall_.erase(Entry->second);
    Shell_.CallOfWork_.erase(Entry);
  }
  void operator()(const ProbeBackend &Command) const {
    Shell_.BackendProbe_.start(Command.Backend_);
  }
  void operator()(const SendDatagram &Command) const {
    Shell_.sendDatagram(Command);
  }
  void operator()(const StoreList &Command) const {
    Shell_.Store_.list(Command.Collection_, Command.Era_);
  }
  void operator()(const StoreListNodes &Command) const {
    Shell_.Store_.listNodes(Command.Era_);
  }
  void operator()(const StoreWatch &Command) const {
    Shell_.Store_.watch(Command.Collection_, Command.Since_, Command.Era_,
                        Command.Wait_);
  }
  void operator()(const StoreAnnounce &Command) const {
    Shell_.Store_.announce(Command.Era_, Command.Record_);
  }
  void operator()(const StoreWithdraw &) const { Shell_.Store_.withdraw(); }
  void operator()(const StoreRemove &Command) const {
    Shell_.Store_.remove(Command.Node_, Command.Revision_);
  }
  void operator()(const AnswerNotice &Command) const {
    Shell_.answerNotice(Command.Notice_, Command.Taken_
                                             ? NoticeResult::Taken
                                             : NoticeResult::NotRecorded);
  }
  void operator()(const WriteLog &Command) const {
    Shell_.Metrics_.count(Command.Record_.Event_);
    Shell_.Events_.write(Command.Record_);
  }
  void operator()(const RecordTime &Command) const {
    Shell_.Metrics_.observe(Command);
  }
  void operator()(const StopProcess &) const {
    Shell_.Stopped_ = true;
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
      Callers_(Context, Config.Settings_.CallerAddress_, CallerKeySpace,
               MaxCallerConnections, HttpLimits(),
               {[this](CallerKey Caller, HttpRequest Request) {
                  onRequest(Caller, false, std::move(Request));
                },
                [this](CallerKey Caller) {
                  handleInput(CallerDisconnected{Caller});
                },
                [this](CallerKey Earlier, const HttpRequest &Next) {
                  return mayOverlap(Earlier, Next);
                }}),
      BackendSide_(Context, Config.Settings_.BackendListenAddress_,
                   BackendKeySpace, MaxCallerConnections, HttpLimits(),
                   {[this](CallerKey Caller, HttpRequest Request) {
                      onBackendRequest(Caller, std::move(Request));
                    },
                    [this](CallerKey Caller) {
                      handleInput(CallerDisconnected{Caller});
                    }}),
      Operators_(Context, Config.Settings_.OperatorAddress_, OperatorKeySpace,
                 MaxOperatorConnections, HttpLimits(),
                 {[this](CallerKey Caller, const HttpRequest &Request) {
                    onOperatorRequest(Caller, Request);
                  },
                  [](CallerKey) {}}),
      Peers_(Context, Config.Settings_.PeerAddress_,
             HelloMessage{Config.Settings_.Name_, Config.Incarnation_},
             [this](Input NewInput) { handleInput(std::move(NewInput)); }),
      BackendCalls_(Context, responseLimits(), MaxIdleBackendConnections,
                    [this](HttpCallId Call, const HttpResult &Result) {
                      onBackendDone(Call, Result);
                    }),
      BackendProbe_(
          Context,
          [this](bool Refused) { handleInput(BackendProbed{Refused}); }),
      Store_(Context, Config.Settings_,
             [this](Input NewInput) { handleInput(std::move(NewInput)); }),
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
  const CallerCapacity &Capacity = Config.Settings_.Callers_;
  Callers_.setCapacity({Capacity.PipelinedRequests_, Capacity.HeldBytes_},
                       Capacity.RequestMemory_);
  BackendCalls_.setMaxMemory(Config.Settings_.Callers_.ResponseMemory_);
}

TimePoint NodeShell::now() {
  return TimePoint(std::chrono::duration_cast<Micros>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

void NodeShell::start() {
  Engine_.start(now());
  receiveDatagram();
  flushLog();
  processInputs();
}

// With the platform's interface, this node is the only entry for the callers of
// its VM.
// They continue to send requests until they have seen that it is not ready, so
// the node keeps accepting connections and closes each one after its response.
void NodeShell::leave() {
  if (Config_.Settings_.Interface_ == InterfaceKind::Platform)
    Callers_.closeAfterResponses();
  else
    Callers_.stopAccepting();
  handleInput(LeaveRequested{});
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

// Applies the caller limits of the route table in force when they have changed.
void NodeShell::applyCallerLimits() {
  const RouteTable *Table = Engine_.state().Settings_.routes();
  if (Table == nullptr || Table->Limits_ == CallerLimits_)
    return;
  CallerLimits_ = Table->Limits_;
  HttpLimits Limits;
  Limits.HeaderBytes_ = CallerLimits_->HeaderBytes_;
  Limits.BodyBytes_ = std::min(CallerLimits_->BodyBytes_, MaxRequestBytes);
  // Callers may use a connection until the end of its idle timeout, so this
  // node closes the connection only after an additional margin.
  Callers_.setLimits(Limits,
                     inMillis(CallerLimits_->IdleTimeout_) + TimeoutMargin,
                     inMillis(CallerLimits_->HeaderTimeout_) + TimeoutMargin);
}

// Idempotent requests of one connection may run side by side. A request that is
// not idempotent runs alone, so that its caller sees its outcome in order.
bool NodeShell::mayOverlap(CallerKey Earlier, const HttpRequest &Next) const {
  if (!entry_system::isIdempotentCaller(Engine_.state(), Earlier))
    return false;
  IncomingRequest Decoded = std::visit(
      [&Next](const auto &ActiveDialect) {
        return ActiveDialect.decodeRequest(Next);
      },
      Dialect_);
  return entry_system::isIdempotentRequest(Engine_.state(), Decoded);
}

// The time that a caller allows counts from the receipt of its request.
void NodeShell::onRequest(CallerKey Caller, bool FromBackend,
                          HttpRequest Request) {
  IncomingRequest Decoded = std::visit(
      [&Request](const auto &ActiveDialect) {
        return ActiveDialect.decodeRequest(std::move(Request));
      },
      Dialect_);
  std::optional<Micros> &TimeLeft = Decoded.Metadata_.TimeLeft_;
  if (TimeLeft) {
    TimeLeft = std::max(Micros(0), *TimeLeft - Micros(Callers_.age(Caller)));
    Callers_.setDeliverBy(Caller, std::chrono::steady_clock::now() + *TimeLeft);
  }
  handleInput(CallerArrived{Caller, FromBackend, std::move(Decoded)});
}

void NodeShell::handleInput(Input NewInput) {
  Inputs_.push_back(std::move(NewInput));
  processInputs();
}

// Carrying out an action can produce new inputs. They are queued here, so that
// the core is never reentered.
void NodeShell::processInputs() {
  if (Processing_)
    return;
  Processing_ = true;
  ActionVisitor Visitor{*this};
  while (true) {
    for (const Action &Command : Engine_.takeActions())
      std::visit(Visitor, Command);
    if (Inputs_.empty() || Stopped_)
      break;
    Input Next = std::move(Inputs_.front());
    Inputs_.pop_front();
    observeSuspension();
    Engine_.handle(now(), Next);
  }
  Processing_ = false;
  applyCallerLimits();
  armTimer();
}

// The input that follows was received before the clocks are read, so a
// suspension before its receipt is known when the core handles it. The clocks
// are read again when the process was interrupted between the reads, which
// would look like a suspension.
void NodeShell::observeSuspension() {
  if (!Config_.Settings_.Bounds_.FailClosed_ &&
      !Engine_.state().Settings_.tenants().hasQuotas())
    return;
  Micros Before;
  Micros Boot;
  Micros After;
  do {
    Before = timeOf(CLOCK_MONOTONIC);
    Boot = timeOf(CLOCK_BOOTTIME);
    After = timeOf(CLOCK_MONOTONIC);
  } while (After - Before >= MinSuspension);
  Micros Offset = Boot - Before;
  if (!BootOffset_)
    BootOffset_ = Offset;
  Micros Total = std::max(Micros(0), Offset - *BootOffset_);
  if (std::chrono::abs(Total - Suspended_) < MinSuspension)
    return;
  Suspended_ = Total;
  Engine_.handle(now(), SuspensionObserved{Total});
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
    observeSuspension();
    Engine_.tick(now());
    processInputs();
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
          handleInput(DatagramArrived{
              {DatagramSource_.address().to_string(), DatagramSource_.port()},
              std::string(DatagramBuffer_.data(), Count)});
        }
        receiveDatagram();
      });
}

// A datagram that cannot be sent without blocking is dropped. The gossip
// protocol tolerates the loss of any datagram.
void NodeShell::sendDatagram(const SendDatagram &Datagram) {
  error_code Ignored;
  boost::asio::ip::address Address =
      boost::asio::ip::make_address(Datagram.To_.Address_, Ignored);
  if (Ignored)
    return;
  Datagrams_.send_to(boost::asio::buffer(Datagram.Bytes_),
                     udp::endpoint(Address, Datagram.To_.Port_), 0, Ignored);
  ++Counts_.DatagramsSent_;
  Counts_.DatagramBytesSent_ += Datagram.Bytes_.size();
}

void NodeShell::dispatch(const DispatchWork &Dispatch) {
  HttpCallOptions Options;
  Options.ConnectTimeout_ = BackendConnectTimeout;
  Options.NewConnection_ = Dispatch.NewConnection_;
  Options.Inspect_ = [this](const HttpRequest &Request,
                            const HttpResponse &Response) {
    return std::visit(
        [&](const auto &ActiveDialect) {
          return ActiveDialect.inspectResponse(Request, Response);
        },
        Dialect_);
  };
  HttpRequest BackendRequest = std::visit(
      [&Dispatch](const auto &ActiveDialect) {
        return ActiveDialect.encodeDispatch(Dispatch);
      },
      Dialect_);
  HttpCallId Call =
      BackendCalls_.call(Dispatch.Backend_, std::move(BackendRequest), Options);
  CallOfWork_[Dispatch.Work_] = Call;
  WorkOfCall_[Call] = Dispatch.Work_;
}

void NodeShell::onBackendDone(HttpCallId Call, const HttpResult &Result) {
  auto Entry = WorkOfCall_.find(Call);
  if (Entry == WorkOfCall_.end())
    return;
  WorkId Work = Entry->second;
  WorkOfCall_.erase(Entry);
  CallOfWork_.erase(Work);
  if (const HttpResponse *Response = std::get_if<HttpResponse>(&Result))
    handleInput(BackendAnswered{Work, *Response,
                                std::visit(
                                    [Response](const auto &ActiveDialect) {
                                      return ActiveDialect.decodeResponse(
                                          *Response);
                                    },
                                    Dialect_)});
  else
    handleInput(BackendFailed{Work, std::get<HttpFailure>(Result).Reason_});
}

// Passes valid notices of the backend server to the core, which answers them,
// and refuses malformed ones.
struct NodeShell::NoticeVisitor {
  NodeShell &Shell_;
  CallerKey Caller_;

  void operator()(const NoNotice &) const {}
  void operator()(const MalformedNotice &Notice) const {
    Shell_.Events_.write(makeRecord(EventNumber::BackendNoticeMalformed,
                                    {{"detail", Notice.Detail_}}));
    Shell_.answerNotice(Caller_, NoticeResult::Malformed);
  }
  void operator()(BackendAnnounced Notice) const {
    Notice.Notice_ = Caller_;
    Shell_.handleInput(std::move(Notice));
  }
  void operator()(const BackendDeparted &Notice) const {
    auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    Shell_.handleInput(BackendDeparted{
        Notice.Instance_, static_cast<std::uint64_t>(Now.count()), Caller_});
  }
};

void NodeShell::answerNotice(CallerKey Caller, NoticeResult Result) {
  BackendSide_.respond(Caller,
                       std::visit(
                           [Result](const auto &ActiveDialect) {
                             return ActiveDialect.encodeNoticeResponse(Result);
                           },
                           Dialect_));
}

void NodeShell::onBackendRequest(CallerKey Caller, HttpRequest Request) {
  BackendNotice Notice = std::visit(
      [&Request](const auto &ActiveDialect) {
        return ActiveDialect.decodeNotice(Request);
      },
      Dialect_);
  if (std::holds_alternative<NoNotice>(Notice)) {
    onRequest(Caller, true, std::move(Request));
    return;
  }
  std::visit(NoticeVisitor{*this, Caller}, Notice);
}

HttpResponse NodeShell::readinessPage() const {
  const NodeState &Node = Engine_.state();
  bool Serving = Node.Phase_ == NodePhase::Serving;
  return textPage(Serving ? 200 : 503,
                  std::string(phaseName(Node.Phase_)) + "\n");
}

void NodeShell::onOperatorRequest(CallerKey Caller,
                                  const HttpRequest &Request) {
  Operators_.respond(Caller, operatorPage(Request));
}

HttpResponse NodeShell::releaseRequest(const std::string &Target) {
  std::optional<RequestDigest> Digest =
      parseRequestDigest(queryValue(Target, "request"));
  if (!Digest)
    return textPage(400, "request is not a digest of 32 hexadecimal digits\n");
  if (Engine_.state().Quarantine_.crashes(*Digest) == 0)
    return textPage(404, "there is no evidence against this request here\n");
  handleInput(QuarantineReleased{*Digest});
  return textPage(200, "released\n");
}

HttpResponse NodeShell::operatorPage(const HttpRequest &Request) {
  const NodeState &Node = Engine_.state();
  std::string Path(pathOf(Request.Target_));
  if (Request.Method_ == "POST" && Path == ReleasePath)
    return releaseRequest(Request.Target_);
  if (Request.Method_ != "GET")
    return textPage(405, "only GET is served here, and POST at " +
                             std::string(ReleasePath) + "\n");
  std::string ReadinessPath = std::visit(
      [](const auto &ActiveDialect) { return ActiveDialect.readinessPath(); },
      Dialect_);
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
  Counts_.Callers_ = Callers_.counts();
  Counts_.RequestMemory_ = Callers_.requestMemory();
  Counts_.ResponseMemory_ = BackendCalls_.memory();
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
