// Stand-in for a backend server as the users' platform runs it: it announces
// itself to its node as an instance, serves any path after a fixed time, and
// marks its response to a request that it did not run. Admin calls can restart
// it as another instance, and make it refuse requests, drop responses or stop
// its heartbeats. A request for a given target can end the process.
#include "fulmarshelf/detail/shell/announcement_codec.hpp" // queryValue
#include "fulmarshelf/detail/shell/http_client.hpp"        // HttpClient
#include "fulmarshelf/detail/shell/http_server.hpp"        // HttpServer
#include "platform/backend_codec.hpp"                      // encodeHeartbeat

#include <nlohmann/json.hpp> // json
#include <tclap/CmdLine.h>   // CmdLine

#include <cstdlib>       // _Exit
#include <deque>         // deque
#include <fstream>       // ofstream
#include <iostream>      // cerr
#include <map>           // map
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace {

using namespace fulmarshelf;
using Json = nlohmann::json;

constexpr std::size_t MaxConnections = 4096;
// Above the limits of the nodes, which are what the tests try.
constexpr HttpLimits Limits{4'194'304, 1'048'576};
constexpr std::chrono::milliseconds HeartbeatInterval{500};
constexpr std::chrono::milliseconds TimeToCrash{10};
constexpr int CrashExitCode = 70;
constexpr std::uint16_t MisdirectedStatus = 421;
constexpr std::uint16_t FullStatus = 503;

struct Shape {
  std::string Service_;
  std::string Instance_;
  Endpoint Address_;
  Endpoint Node_;
  unsigned Slots_ = 1;
  std::chrono::milliseconds RunTime_{20};
  /// Part of the targets whose requests end the process; empty: none.
  std::string CrashTarget_;
  /// File that outlives the process, with a line for each arrival and each
  /// run; empty: none.
  std::string RunLog_;
};

struct Faults {
  bool Mute_ = false;             ///< sends no heartbeats
  bool Draining_ = false;         ///< announces that it is draining
  std::uint64_t Refusals_ = 0;    ///< requests still to refuse as not run
  std::uint64_t LostAnswers_ = 0; ///< runs still to leave unanswered
  std::string RateLimit_;         ///< named in responses; empty: none
  bool Leaving_ = false;          ///< says in responses that it leaves
};

struct Run {
  ReceivedDispatch Dispatch_;
  std::shared_ptr<boost::asio::steady_timer> Timer_;
};

struct QueuedRun {
  CallerKey Caller_;
  ReceivedDispatch Dispatch_;
  bool Crashes_ = false; ///< its run ends the process
};

std::uint64_t nowMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

class InstanceServer {
public:
  InstanceServer(boost::asio::io_context &Context, Shape Config)
      : Context_(Context), Shape_(std::move(Config)), Order_{nowMs(), 0},
        Timer_(Context),
        Http_(Context, Shape_.Address_, 0, MaxConnections, Limits,
              {[this](CallerKey Caller, const HttpRequest &Request) {
                 receive(Caller, Request);
               },
               [this](CallerKey Caller) { cancel(Caller); }}),
        Heartbeats_(Context, HttpLimits(), 1,
                    [](HttpCallId, const HttpResult &) {}) {
    if (!Shape_.RunLog_.empty())
      RunLog_.open(Shape_.RunLog_, std::ios::app);
    scheduleHeartbeat();
  }

private:
  void scheduleHeartbeat() {
    if (!Faults_.Mute_)
      sendHeartbeat();
    Timer_.expires_after(HeartbeatInterval);
    Timer_.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        scheduleHeartbeat();
    });
  }

  void sendHeartbeat() {
    BackendAnnounced Heartbeat;
    Heartbeat.Announcement_.Service_ = Shape_.Service_;
    Heartbeat.Announcement_.Instance_ = Shape_.Instance_;
    Heartbeat.Announcement_.Address_ = Shape_.Address_;
    Heartbeat.Announcement_.Slots_ = Shape_.Slots_;
    Heartbeat.Announcement_.State_ =
        Faults_.Draining_ ? BackendState::Draining : BackendState::Serving;
    ++Order_.Sequence_;
    Heartbeat.Order_ = Order_;
    HttpCallOptions Options;
    Options.Timeout_ = HeartbeatInterval;
    Heartbeats_.call(Shape_.Node_, encodeHeartbeat(Heartbeat), Options);
  }

  void receive(CallerKey Caller, const HttpRequest &Request) {
    if (Request.Target_.starts_with("/_admin")) {
      Http_.respond(Caller, administer(Request));
      return;
    }
    ReceivedDispatch Dispatch = decodeDispatch(Request);
    if (!Dispatch.Instance_.empty() && Dispatch.Instance_ != Shape_.Instance_) {
      ++Misdirected_;
      Http_.respond(Caller,
                    encodeNotExecutedResponse(Dispatch, MisdirectedStatus));
      return;
    }
    Arrivals_.push_back(nowMs());
    logRun("arrival", Dispatch.RequestId_);
    if (Faults_.Refusals_ > 0) {
      --Faults_.Refusals_;
      Http_.respond(Caller, encodeNotExecutedResponse(Dispatch, FullStatus));
      return;
    }
    bool Crashes =
        !Shape_.CrashTarget_.empty() &&
        Request.Target_.find(Shape_.CrashTarget_) != std::string::npos;
    Queued_.push_back({Caller, Dispatch, Crashes});
    startQueued();
  }

  void logRun(const char *Event, const std::string &RequestId) {
    if (RunLog_.is_open())
      RunLog_ << Event << ' ' << nowMs() << ' ' << RequestId << std::endl;
  }

  void startQueued() {
    while (!Queued_.empty() && Running_.size() < Shape_.Slots_) {
      QueuedRun Next = Queued_.front();
      Queued_.pop_front();
      start(Next);
    }
  }

  void start(const QueuedRun &Next) {
    ++Runs_[Next.Dispatch_.RequestId_];
    logRun("run", Next.Dispatch_.RequestId_);
    CallerKey Caller = Next.Caller_;
    if (Next.Crashes_)
      crashSoon();
    auto Timer =
        std::make_shared<boost::asio::steady_timer>(Context_, Shape_.RunTime_);
    Timer->async_wait([this, Caller](boost::system::error_code Error) {
      if (!Error)
        finish(Caller);
    });
    Running_[Caller] = {Next.Dispatch_, Timer};
  }

  void crashSoon() {
    auto Timer =
        std::make_shared<boost::asio::steady_timer>(Context_, TimeToCrash);
    Timer->async_wait(
        [Timer](boost::system::error_code) { std::_Exit(CrashExitCode); });
  }

  void finish(CallerKey Caller) {
    auto Found = Running_.find(Caller);
    if (Found == Running_.end())
      return;
    ReceivedDispatch Dispatch = Found->second.Dispatch_;
    Running_.erase(Found);
    if (Faults_.LostAnswers_ > 0) {
      --Faults_.LostAnswers_;
    } else {
      BackendLoad Load{static_cast<std::uint32_t>(Running_.size()),
                       static_cast<std::uint32_t>(Queued_.size()),
                       Shape_.Slots_, 100};
      HttpResponse Response =
          encodeExecutedResponse(Dispatch, Load, responseBody(Dispatch));
      if (!Faults_.RateLimit_.empty())
        Response.Headers_.push_back(encodeRateLimit(Faults_.RateLimit_));
      if (Faults_.Leaving_)
        Response.Headers_.push_back(encodeLeaving());
      Http_.respond(Caller, Response);
    }
    startQueued();
  }

  std::string responseBody(const ReceivedDispatch &Dispatch) const {
    return Json{{"service", Shape_.Service_},
                {"instance", Shape_.Instance_},
                {"id", Dispatch.RequestId_}}
        .dump();
  }

  void cancel(CallerKey Caller) {
    std::erase_if(Queued_, [Caller](const QueuedRun &Pending) {
      return Pending.Caller_ == Caller;
    });
    auto Found = Running_.find(Caller);
    if (Found == Running_.end())
      return;
    Found->second.Timer_->cancel();
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
    if (pathOf(Request.Target_) == "/_admin/arrivals")
      return {200, {}, Json(Arrivals_).dump()};
    if (Request.Target_.find("rate-limit=") != std::string::npos)
      Faults_.RateLimit_ = queryValue(Request.Target_, "rate-limit");
    Faults_.Mute_ = Read("mute", Faults_.Mute_ ? 1 : 0) != 0;
    Faults_.Draining_ = Read("drain", Faults_.Draining_ ? 1 : 0) != 0;
    Faults_.Leaving_ = Read("leaving", Faults_.Leaving_ ? 1 : 0) != 0;
    Faults_.Refusals_ = Read("refuse", Faults_.Refusals_);
    Faults_.LostAnswers_ = Read("lose-answers", Faults_.LostAnswers_);
    Shape_.RunTime_ = std::chrono::milliseconds(
        Read("run-ms", static_cast<std::uint64_t>(Shape_.RunTime_.count())));
    // Drops the work of the old instance without a response, as in a crash.
    if (std::string NewInstance = queryValue(Request.Target_, "restart-as");
        !NewInstance.empty())
      restartAs(NewInstance);
    Json Page = {{"instance", Shape_.Instance_},
                 {"running", Running_.size()},
                 {"waiting", Queued_.size()},
                 {"misdirected", Misdirected_}};
    return {200, {}, Page.dump() + "\n"};
  }

  void restartAs(const std::string &NewInstance) {
    Shape_.Instance_ = NewInstance;
    Order_ = {nowMs(), 0};
    Queued_.clear();
    for (const std::pair<const CallerKey, Run> &Entry : Running_)
      Entry.second.Timer_->cancel();
    Running_.clear();
  }

  boost::asio::io_context &Context_;
  Shape Shape_;
  AnnouncementOrder Order_;
  Faults Faults_;
  std::deque<QueuedRun> Queued_;
  std::unordered_map<CallerKey, Run> Running_;
  std::map<std::string, std::uint64_t> Runs_;
  std::vector<std::uint64_t> Arrivals_; ///< ms since 1970, of all requests
  std::ofstream RunLog_;
  std::uint64_t Misdirected_ = 0;
  boost::asio::steady_timer Timer_;
  HttpServer Http_;
  HttpClient Heartbeats_;
};

} // namespace

int main(int Count, char **Arguments) {
  TCLAP::CmdLine Line("Stand-in for an instance of a backend server", ' ',
                      "0.1");
  TCLAP::ValueArg<std::string> Service("s", "service", "service name", true, "",
                                       "name", Line);
  TCLAP::ValueArg<std::string> Instance(
      "i", "instance", "instance id at the start", true, "", "id", Line);
  TCLAP::ValueArg<std::string> Address("l", "listen", "address to listen on",
                                       true, "", "endpoint", Line);
  TCLAP::ValueArg<std::string> Node("n", "node", "backend address of the node",
                                    true, "", "endpoint", Line);
  TCLAP::ValueArg<unsigned> Slots(
      "k", "slots", "number of requests that run at the same time", false, 8,
      "number", Line);
  TCLAP::ValueArg<unsigned> RunMs("t", "run-ms", "service time of a request",
                                  false, 20, "milliseconds", Line);
  TCLAP::ValueArg<std::string> CrashTarget(
      "c", "crash-target", "part of the targets whose requests end the process",
      false, "", "text", Line);
  TCLAP::ValueArg<std::string> RunLog(
      "r", "run-log", "file that gets a line for each arrival and each run",
      false, "", "path", Line);
  Line.parse(Count, Arguments);
  Shape Config{Service.getValue(),
               Instance.getValue(),
               {},
               {},
               Slots.getValue(),
               std::chrono::milliseconds(RunMs.getValue()),
               CrashTarget.getValue(),
               RunLog.getValue()};
  if (!parseEndpoint(Address.getValue(), Config.Address_) ||
      !parseEndpoint(Node.getValue(), Config.Node_) || Config.Slots_ == 0) {
    std::cerr << "instance_standin: needs IP:PORT for --listen and --node, and "
                 "--slots of at least 1\n";
    return 2;
  }
  boost::asio::io_context Context(1);
  InstanceServer Server(Context, Config);
  Context.run();
  return 0;
}
