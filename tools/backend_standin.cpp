// Stand-in for a backend server: announces itself to its node, runs the routes
// of a topology file with a fixed number of slots, calls further services
// through its node, and counts every run. Admin calls can slow it down, drain
// it, make it shed requests, stop its announcements and make it announce more
// slots than it has.
#include "fulmarshelf/detail/shell/announcement_codec.hpp" // encodeAnnouncement
#include "fulmarshelf/detail/shell/http_client.hpp"        // HttpClient
#include "fulmarshelf/detail/shell/http_server.hpp"        // HttpServer
#include "topology.hpp"                                    // Topology

#include <nlohmann/json.hpp> // json
#include <tclap/CmdLine.h>   // CmdLine

#include <deque>    // deque
#include <iostream> // cerr
#include <map>      // map
#include <random>   // exponential_distribution

namespace {

using namespace fulmarshelf;
using namespace fulmarshelf::tools;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::size_t MaxConnections = 4096;
constexpr std::chrono::milliseconds AnnounceInterval{1000};
constexpr std::chrono::milliseconds CallTimeout{60'000};
const std::string TestIdHeader = "X-Test-Id";

struct Behaviour {
  double Slow_ = 1; ///< factor on the service time
  bool Shed_ = false;
  bool Draining_ = false;
  bool Mute_ = false; ///< sends no announcements, like a dead process
  unsigned AnnouncedSlots_ = 0;
  unsigned Retries_ = 0; ///< repeats of a failed call, as by a client library
};

struct Run {
  CallerKey Caller_;
  HttpRequest Request_;
  RouteBehaviour Route_;
  Clock::time_point Deadline_;
  std::size_t NextCall_ = 0;
  unsigned AttemptCount_ = 0;
  Json Parts_ = Json::array();
  HttpCallId Call_;
  std::shared_ptr<boost::asio::steady_timer> Timer_;
};

class BackendServer {
public:
  BackendServer(boost::asio::io_context &Context, const Topology &Graph,
                const std::string &Service, const Endpoint &Address,
                const Endpoint &Node, std::uint64_t Seed)
      : Context_(Context), Address_(Address), Node_(Node), Random_(Seed),
        Service_(Service), Timer_(Context),
        Http_(Context, Address, 0, MaxConnections, HttpLimits(),
              {[this](CallerKey Caller, HttpRequest Request) {
                 receive(Caller, std::move(Request));
               },
               [this](CallerKey Caller) { cancel(Caller); }}),
        Calls_(Context, HttpLimits(), MaxConnections,
               [this](HttpCallId Call, const HttpResult &Result) {
                 onCallDone(Call, Result);
               }),
        Announcements_(Context, HttpLimits(), 1,
                       [](HttpCallId, const HttpResult &) {}) {
    for (const RouteBehaviour &Route : Graph.Routes_)
      if (Route.Service_ == Service)
        Routes_.push_back(Route);
    for (const ServiceShape &Shape : Graph.Services_)
      if (Shape.Service_ == Service)
        Shape_ = Shape;
    Behaviour_.AnnouncedSlots_ = Shape_.Slots_;
    announce();
  }

private:
  void announce() {
    if (!Behaviour_.Mute_)
      sendAnnouncement();
    Timer_.expires_after(AnnounceInterval);
    Timer_.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        announce();
    });
  }

  void sendAnnouncement() {
    Announcement Report;
    Report.Service_ = Service_;
    Report.Address_ = Address_;
    Report.Slots_ = Behaviour_.AnnouncedSlots_;
    Report.Connections_ = Shape_.Connections_;
    Report.State_ =
        Behaviour_.Draining_ ? BackendState::Draining : BackendState::Serving;
    HttpCallOptions Options;
    Options.Timeout_ = AnnounceInterval;
    Announcements_.call(
        Node_,
        {"POST", "/_fulmarshelf/announce", {}, encodeAnnouncement(Report)},
        Options);
  }

  const RouteBehaviour *findRoute(std::string_view Path) const {
    std::string_view Rest =
        Path.substr(std::min(Path.size(), Service_.size() + 1));
    for (const RouteBehaviour &Route : Routes_)
      if (Rest.starts_with(Route.Path_))
        return &Route;
    return nullptr;
  }

  void receive(CallerKey Caller, HttpRequest Request) {
    if (Request.Target_.starts_with("/_admin")) {
      Http_.respond(Caller, administer(Request));
      return;
    }
    const RouteBehaviour *Route = findRoute(pathOf(Request.Target_));
    if (Route == nullptr) {
      Http_.respond(Caller, {404, {}, "no such route\n"});
      return;
    }
    if (Behaviour_.Shed_) {
      Http_.respond(Caller,
                    {503, {{std::string(header::Shed), "1"}}, "shed\n"});
      return;
    }
    Run NewRun;
    NewRun.Caller_ = Caller;
    NewRun.Route_ = *Route;
    std::uint64_t DeadlineMs = 60'000;
    if (const std::string *Text =
            findHeader(Request.Headers_, header::DeadlineMs))
      parseNumber(*Text, DeadlineMs);
    NewRun.Deadline_ = Clock::now() + std::chrono::milliseconds(DeadlineMs);
    NewRun.Request_ = std::move(Request);
    Queued_.push_back(std::move(NewRun));
    startQueued();
  }

  void startQueued() {
    while (!Queued_.empty() && Running_.size() < Shape_.Slots_) {
      Run Next = std::move(Queued_.front());
      Queued_.pop_front();
      if (Next.Deadline_ < Clock::now())
        Http_.respond(Next.Caller_,
                      {503, {{std::string(header::Shed), "1"}}, "late\n"});
      else
        start(std::move(Next));
    }
  }

  std::string idOf(const Run &Target) const {
    const std::string *Id = findHeader(Target.Request_.Headers_, TestIdHeader);
    return Id == nullptr ? std::string("none") : *Id;
  }

  void start(Run NewRun) {
    ++Runs_[idOf(NewRun)];
    ++Total_;
    LastStart_ = std::chrono::system_clock::now();
    double Milliseconds = NewRun.Route_.TimeMs_ * Behaviour_.Slow_;
    if (NewRun.Route_.Exponential_)
      Milliseconds *= std::exponential_distribution<double>(1)(Random_);
    CallerKey Caller = NewRun.Caller_;
    NewRun.Timer_ = std::make_shared<boost::asio::steady_timer>(
        Context_, std::chrono::microseconds(
                      static_cast<std::int64_t>(Milliseconds * 1000)));
    NewRun.Timer_->async_wait([this, Caller](boost::system::error_code Error) {
      if (!Error)
        proceed(Caller);
    });
    Running_.emplace(Caller, std::move(NewRun));
  }

  // Makes the next call of the route, or responds when no call is left.
  void proceed(CallerKey Caller) {
    auto Found = Running_.find(Caller);
    if (Found == Running_.end())
      return;
    Run &Target = Found->second;
    if (Target.NextCall_ >= Target.Route_.Calls_.size()) {
      finish(Caller, 200);
      return;
    }
    const RouteCall &Call = Target.Route_.Calls_[Target.NextCall_];
    HttpRequest Request{Call.Method_, Call.Target_, {}, {}};
    if (Call.Method_ == "POST")
      Request.Body_ = Target.Request_.Body_;
    if (const std::string *Parent =
            findHeader(Target.Request_.Headers_, header::Parent))
      Request.Headers_.push_back({std::string(header::Parent), *Parent});
    Request.Headers_.push_back(
        {TestIdHeader, idOf(Target) + "." + std::to_string(Target.NextCall_)});
    HttpCallOptions Options;
    Options.Timeout_ = CallTimeout;
    Target.Call_ = Calls_.call(Node_, Request, Options);
    CallerOfCall_[Target.Call_] = Caller;
  }

  void onCallDone(HttpCallId Call, const HttpResult &Result) {
    auto CallEntry = CallerOfCall_.find(Call);
    if (CallEntry == CallerOfCall_.end())
      return;
    CallerKey Caller = CallEntry->second;
    CallerOfCall_.erase(CallEntry);
    auto Found = Running_.find(Caller);
    if (Found == Running_.end())
      return;
    Run &Target = Found->second;
    Target.Call_ = HttpCallId{};
    const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
    if (Response != nullptr && Response->Status_ == 200) {
      Target.Parts_.push_back(Json::parse(Response->Body_, nullptr, false));
      ++Target.NextCall_;
      Target.AttemptCount_ = 0;
      proceed(Caller);
      return;
    }
    if (Target.AttemptCount_++ < Behaviour_.Retries_) {
      proceed(Caller);
      return;
    }
    finish(Caller, Response == nullptr ? 502 : 503);
  }

  void finish(CallerKey Caller, std::uint16_t Status) {
    auto Found = Running_.find(Caller);
    Run Finished = std::move(Found->second);
    Running_.erase(Found);
    Json Body = {{"service", Service_},
                 {"id", idOf(Finished)},
                 {"got", Finished.Request_.Body_.size()},
                 {"parts", Finished.Parts_},
                 {"pad", std::string(Finished.Route_.BodyBytes_, 'x')}};
    Http_.respond(
        Caller, {Status, {{"Content-Type", "application/json"}}, Body.dump()});
    startQueued();
  }

  void cancel(CallerKey Caller) {
    std::erase_if(Queued_, [Caller](const Run &Pending) {
      return Pending.Caller_ == Caller;
    });
    auto Found = Running_.find(Caller);
    if (Found == Running_.end())
      return;
    ++Cancelled_;
    Found->second.Timer_->cancel();
    if (Found->second.Call_.Value_ != 0) {
      CallerOfCall_.erase(Found->second.Call_);
      Calls_.cancel(Found->second.Call_);
    }
    Running_.erase(Found);
    startQueued();
  }

  HttpResponse administer(const HttpRequest &Request) {
    auto Read = [&Request](const char *Name, std::uint64_t Current) {
      std::uint64_t Value = Current;
      parseNumber(queryValue(Request.Target_, Name), Value);
      return Value;
    };
    if (pathOf(Request.Target_) == "/_admin/runs")
      return {200, {}, Json(Runs_).dump()};
    bool WasDraining = Behaviour_.Draining_;
    Behaviour_.Slow_ =
        static_cast<double>(Read("slow-percent", static_cast<std::uint64_t>(
                                                     Behaviour_.Slow_ * 100))) /
        100;
    Behaviour_.Shed_ = Read("shed", Behaviour_.Shed_ ? 1 : 0) != 0;
    Behaviour_.Draining_ = Read("drain", Behaviour_.Draining_ ? 1 : 0) != 0;
    Behaviour_.Mute_ = Read("mute", Behaviour_.Mute_ ? 1 : 0) != 0;
    Behaviour_.AnnouncedSlots_ = static_cast<unsigned>(
        Read("announce-slots", Behaviour_.AnnouncedSlots_));
    Behaviour_.Retries_ =
        static_cast<unsigned>(Read("retries", Behaviour_.Retries_));
    if (Behaviour_.Draining_ != WasDraining)
      sendAnnouncement();
    std::int64_t LastStartMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            LastStart_.time_since_epoch())
            .count();
    Json Page = {{"service", Service_},        {"runs", Total_},
                 {"running", Running_.size()}, {"waiting", Queued_.size()},
                 {"cancelled", Cancelled_},    {"last_start_ms", LastStartMs}};
    return {200, {}, Page.dump() + "\n"};
  }

  boost::asio::io_context &Context_;
  Endpoint Address_;
  Endpoint Node_;
  std::mt19937_64 Random_;
  std::string Service_;
  ServiceShape Shape_;
  std::vector<RouteBehaviour> Routes_;
  Behaviour Behaviour_;
  std::deque<Run> Queued_;
  std::unordered_map<CallerKey, Run> Running_;
  std::unordered_map<HttpCallId, CallerKey> CallerOfCall_;
  std::map<std::string, std::uint64_t> Runs_;
  std::uint64_t Total_ = 0;
  std::uint64_t Cancelled_ = 0;
  std::chrono::system_clock::time_point LastStart_;
  boost::asio::steady_timer Timer_;
  HttpServer Http_;
  HttpClient Calls_;
  HttpClient Announcements_;
};

} // namespace

int main(int Count, char **Arguments) {
  TCLAP::CmdLine Line("Stand-in for a backend server in tests and measurements",
                      ' ', "0.1");
  TCLAP::ValueArg<std::string> File("t", "topology", "topology file (INI)",
                                    true, "", "file", Line);
  TCLAP::ValueArg<std::string> Service("s", "service", "service name", true, "",
                                       "name", Line);
  TCLAP::ValueArg<std::string> Address("l", "listen", "address to listen on",
                                       true, "", "endpoint", Line);
  TCLAP::ValueArg<std::string> Node("n", "node", "backend address of the node",
                                    true, "", "endpoint", Line);
  TCLAP::ValueArg<std::uint64_t> Seed("r", "seed",
                                      "seed of the random service times", false,
                                      1, "number", Line);
  Line.parse(Count, Arguments);
  Checked<std::string> Text = readTextFile(File.getValue());
  Checked<Topology> Graph = Text ? parseTopology(File.getValue(), Text.value())
                                 : Checked<Topology>(Text.error());
  Endpoint ListenAddress;
  Endpoint NodeAddress;
  if (!Graph || !parseEndpoint(Address.getValue(), ListenAddress) ||
      !parseEndpoint(Node.getValue(), NodeAddress)) {
    if (!Graph)
      for (const Finding &Fault : Graph.error())
        std::cerr << toString(Fault) << '\n';
    std::cerr << "backend_standin: needs a valid topology file, and IP:PORT "
                 "for --listen and --node\n";
    return 2;
  }
  boost::asio::io_context Context(1);
  BackendServer Server(Context, Graph.value(), Service.getValue(),
                       ListenAddress, NodeAddress, Seed.getValue());
  Context.run();
  return 0;
}
