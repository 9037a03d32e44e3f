// Stand-in for a backend server as the users' platform runs it: it tells its
// node of itself as an instance, serves any path after a fixed time, and says
// of what it did not run that it did not. It can start again under another
// instance, refuse, lose answers and fall silent towards its node.
#include "fulmarshelf/detail/shell/announcement_codec.hpp" // queryValue
#include "fulmarshelf/detail/shell/http_client.hpp"        // HttpClient
#include "fulmarshelf/detail/shell/http_server.hpp"        // HttpServer
#include "platform/backend_codec.hpp"                      // encodeHeartbeat

#include <nlohmann/json.hpp> // json
#include <tclap/CmdLine.h>   // CmdLine

#include <deque>         // deque
#include <iostream>      // cerr
#include <map>           // map
#include <unordered_map> // unordered_map

namespace {

using namespace fulmarshelf;
using Json = nlohmann::json;

constexpr std::size_t MaxConnections = 4096;
constexpr std::chrono::milliseconds HeartbeatInterval{500};
constexpr std::uint16_t MisdirectedStatus = 421;
constexpr std::uint16_t FullStatus = 503;

struct Shape {
  std::string Service_;
  std::string Instance_;
  Endpoint Place_;
  Endpoint Node_;
  unsigned Slots_ = 1;
  std::chrono::milliseconds RunTime_{20};
};

struct Faults {
  bool Mute_ = false;             ///< tells its node nothing
  bool Draining_ = false;         ///< says that it will leave
  std::uint64_t Refusals_ = 0;    ///< requests refused as not run
  std::uint64_t LostAnswers_ = 0; ///< runs whose answer never leaves
};

struct Run {
  ReceivedDispatch Of_;
  std::shared_ptr<boost::asio::steady_timer> Timer_;
};

struct WaitingRun {
  CallerKey Caller_;
  ReceivedDispatch Of_;
};

std::uint64_t nowMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

class InstanceServer {
public:
  InstanceServer(boost::asio::io_context &Context, Shape Given)
      : Context_(Context), Shape_(std::move(Given)), Order_{nowMs(), 0},
        Timer_(Context),
        Http_(Context, Shape_.Place_, 0, MaxConnections, HttpLimits(),
              {[this](CallerKey Caller, const HttpRequest &Request) {
                 receive(Caller, Request);
               },
               [this](CallerKey Caller) { cancel(Caller); }}),
        Heartbeats_(Context, HttpLimits(), 1,
                    [](HttpCallId, const HttpResult &) {}) {
    beat();
  }

private:
  void beat() {
    if (!Faults_.Mute_)
      sendHeartbeat();
    Timer_.expires_after(HeartbeatInterval);
    Timer_.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        beat();
    });
  }

  void sendHeartbeat() {
    BackendAnnounced Told;
    Told.Announcement_.Service_ = Shape_.Service_;
    Told.Announcement_.Instance_ = Shape_.Instance_;
    Told.Announcement_.Address_ = Shape_.Place_;
    Told.Announcement_.Slots_ = Shape_.Slots_;
    Told.Announcement_.State_ =
        Faults_.Draining_ ? BackendState::Draining : BackendState::Serving;
    ++Order_.Sequence_;
    Told.Order_ = Order_;
    HttpCallOptions Options;
    Options.Timeout_ = HeartbeatInterval;
    Heartbeats_.call(Shape_.Node_, encodeHeartbeat(Told), Options);
  }

  void receive(CallerKey Caller, const HttpRequest &Request) {
    if (Request.Target_.starts_with("/_admin")) {
      Http_.respond(Caller, administer(Request));
      return;
    }
    ReceivedDispatch Of = decodeDispatch(Request);
    if (!Of.Instance_.empty() && Of.Instance_ != Shape_.Instance_) {
      ++Misdirected_;
      Http_.respond(Caller, encodeNotRun(Of, MisdirectedStatus));
      return;
    }
    if (Faults_.Refusals_ > 0) {
      --Faults_.Refusals_;
      Http_.respond(Caller, encodeNotRun(Of, FullStatus));
      return;
    }
    Waiting_.push_back({Caller, Of});
    startWaiting();
  }

  void startWaiting() {
    while (!Waiting_.empty() && Running_.size() < Shape_.Slots_) {
      WaitingRun Next = Waiting_.front();
      Waiting_.pop_front();
      start(Next);
    }
  }

  void start(const WaitingRun &Next) {
    ++Runs_[Next.Of_.RequestId_];
    CallerKey Caller = Next.Caller_;
    auto Timer =
        std::make_shared<boost::asio::steady_timer>(Context_, Shape_.RunTime_);
    Timer->async_wait([this, Caller](boost::system::error_code Error) {
      if (!Error)
        finish(Caller);
    });
    Running_[Caller] = {Next.Of_, Timer};
  }

  void finish(CallerKey Caller) {
    auto Found = Running_.find(Caller);
    if (Found == Running_.end())
      return;
    ReceivedDispatch Of = Found->second.Of_;
    Running_.erase(Found);
    if (Faults_.LostAnswers_ > 0) {
      --Faults_.LostAnswers_;
    } else {
      BackendLoad Load{static_cast<std::uint32_t>(Running_.size()),
                       static_cast<std::uint32_t>(Waiting_.size()),
                       Shape_.Slots_, 100};
      Http_.respond(Caller, encodeRun(Of, Load, bodyOf(Of)));
    }
    startWaiting();
  }

  std::string bodyOf(const ReceivedDispatch &Of) const {
    return Json{{"service", Shape_.Service_},
                {"instance", Shape_.Instance_},
                {"id", Of.RequestId_}}
        .dump();
  }

  void cancel(CallerKey Caller) {
    std::erase_if(Waiting_, [Caller](const WaitingRun &Item) {
      return Item.Caller_ == Caller;
    });
    auto Found = Running_.find(Caller);
    if (Found == Running_.end())
      return;
    Found->second.Timer_->cancel();
    Running_.erase(Found);
    startWaiting();
  }

  HttpResponse administer(const HttpRequest &Request) {
    auto Read = [&Request](const char *Name, std::uint64_t Present) {
      std::uint64_t Value = Present;
      parseNumber(queryValue(Request.Target_, Name), Value);
      return Value;
    };
    if (pathOf(Request.Target_) == "/_admin/runs")
      return {200, {}, Json(Runs_).dump()};
    Faults_.Mute_ = Read("mute", Faults_.Mute_ ? 1 : 0) != 0;
    Faults_.Draining_ = Read("drain", Faults_.Draining_ ? 1 : 0) != 0;
    Faults_.Refusals_ = Read("refuse", Faults_.Refusals_);
    Faults_.LostAnswers_ = Read("lose-answers", Faults_.LostAnswers_);
    // What runs goes with the old instance, as in a crash.
    if (std::string Fresh = queryValue(Request.Target_, "restart-as");
        !Fresh.empty())
      restartAs(Fresh);
    Json Page = {{"instance", Shape_.Instance_},
                 {"running", Running_.size()},
                 {"waiting", Waiting_.size()},
                 {"misdirected", Misdirected_}};
    return {200, {}, Page.dump() + "\n"};
  }

  void restartAs(const std::string &Fresh) {
    Shape_.Instance_ = Fresh;
    Order_ = {nowMs(), 0};
    Waiting_.clear();
    for (const std::pair<const CallerKey, Run> &Item : Running_)
      Item.second.Timer_->cancel();
    Running_.clear();
  }

  boost::asio::io_context &Context_;
  Shape Shape_;
  AnnouncementOrder Order_;
  Faults Faults_;
  std::deque<WaitingRun> Waiting_;
  std::unordered_map<CallerKey, Run> Running_;
  std::map<std::string, std::uint64_t> Runs_;
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
  TCLAP::ValueArg<std::string> Instance("i", "instance", "first instance", true,
                                        "", "id", Line);
  TCLAP::ValueArg<std::string> Address("l", "listen", "own address", true, "",
                                       "endpoint", Line);
  TCLAP::ValueArg<std::string> Node("n", "node", "backend address of the node",
                                    true, "", "endpoint", Line);
  TCLAP::ValueArg<unsigned> Slots("k", "slots", "requests at a time", false, 8,
                                  "number", Line);
  TCLAP::ValueArg<unsigned> RunMs("t", "run-ms", "time of a request", false, 20,
                                  "milliseconds", Line);
  Line.parse(Count, Arguments);
  Shape Given{Service.getValue(),
              Instance.getValue(),
              {},
              {},
              Slots.getValue(),
              std::chrono::milliseconds(RunMs.getValue())};
  if (!parseEndpoint(Address.getValue(), Given.Place_) ||
      !parseEndpoint(Node.getValue(), Given.Node_) || Given.Slots_ == 0) {
    std::cerr << "instance_standin: bad arguments\n";
    return 2;
  }
  boost::asio::io_context Context(1);
  InstanceServer Server(Context, Given);
  Context.run();
  return 0;
}
