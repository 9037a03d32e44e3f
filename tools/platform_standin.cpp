// Stand-in for the platform's object API: versions, conditional updates and
// watches in memory. It can be down, slow, silent, or lose answers to writes
// that took effect.
#include "fulmarshelf/detail/shell/http_service.hpp"   // HttpService
#include "fulmarshelf/detail/shell/node_shell.hpp"     // queryValue
#include "fulmarshelf/detail/shell/platform_codec.hpp" // PlatformObject

#include <nlohmann/json.hpp> // json
#include <tclap/CmdLine.h>   // CmdLine

#include <iostream> // cerr
#include <map>      // map
#include <vector>   // vector

namespace {

using namespace fulmarshelf;
using Json = nlohmann::json;

constexpr std::size_t MaxValueBytes = std::size_t{1024} * 1024;
constexpr std::size_t MaxConnections = 2048;
constexpr std::uint64_t DefaultWatchMs = 25'000;
const std::string ObjectsPath = "/v1/objects";

struct Faults {
  bool Down_ = false;            ///< every call is answered 503
  bool Silent_ = false;          ///< calls are never answered
  std::uint64_t SlowMs_ = 0;     ///< delay of each answer
  std::uint64_t LoseWrites_ = 0; ///< writes that take effect unanswered
};

struct Counts {
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  std::uint64_t Watches_ = 0;
};

struct Watch {
  CallerKey Caller_;
  std::string Prefix_;
  std::uint64_t Since_ = 0;
  std::shared_ptr<boost::asio::steady_timer> Timer_;
};

Json toJson(const PlatformObject &Object) {
  return {{"path", Object.Path_},
          {"version", Object.Version_},
          {"deleted", Object.Deleted_},
          {"value", Object.Value_}};
}

class Platform {
public:
  Platform(boost::asio::io_context &Context, const Endpoint &Place)
      : Context_(Context),
        Service_(Context, Place, 0, MaxConnections, limits(),
                 {[this](CallerKey Caller, const HttpRequest &Request) {
                    receive(Caller, Request);
                  },
                  [this](CallerKey Caller) { forget(Caller); }}) {}

private:
  static HttpLimits limits() {
    HttpLimits Limits;
    Limits.BodyBytes_ = 2 * MaxValueBytes;
    return Limits;
  }

  void receive(CallerKey Caller, const HttpRequest &Request) {
    std::string Path(pathOf(Request.Target_));
    if (Path == "/admin") {
      Service_.respond(Caller, administer(Request));
      return;
    }
    if (Faults_.Silent_)
      return;
    if (Faults_.Down_) {
      respond(Caller, 503, Json{{"error", "down"}});
      return;
    }
    if (Path == "/v1/watch")
      watch(Caller, Request);
    else if (Path == ObjectsPath && Request.Method_ == "GET")
      list(Caller, queryValue(Request.Target_, "prefix"));
    else if (Path.starts_with(ObjectsPath + "/"))
      handleObject(Caller, Request, Path.substr(ObjectsPath.size()));
    else
      respond(Caller, 404, Json{{"error", "no such call"}});
  }

  HttpResponse administer(const HttpRequest &Request) {
    auto Read = [&Request](const char *Name, std::uint64_t Present) {
      std::uint64_t Value = Present;
      parseNumber(queryValue(Request.Target_, Name), Value);
      return Value;
    };
    Faults_.Down_ = Read("down", Faults_.Down_ ? 1 : 0) != 0;
    Faults_.Silent_ = Read("silent", Faults_.Silent_ ? 1 : 0) != 0;
    Faults_.SlowMs_ = Read("slow-ms", Faults_.SlowMs_);
    Faults_.LoseWrites_ = Read("lose-writes", Faults_.LoseWrites_);
    if (Faults_.Down_)
      endAllWatches();
    Json Page = {{"reads", Counts_.Reads_},
                 {"writes", Counts_.Writes_},
                 {"watches", Counts_.Watches_},
                 {"standing_watches", Watches_.size()},
                 {"revision", Revision_}};
    return {200, {}, Page.dump() + "\n"};
  }

  void endAllWatches() {
    for (const Watch &Waiting : std::exchange(Watches_, {}))
      respond(Waiting.Caller_, 503, Json{{"error", "down"}});
  }

  void list(CallerKey Caller, const std::string &Prefix) {
    ++Counts_.Reads_;
    Json Items = Json::array();
    for (const std::pair<const std::string, PlatformObject> &Item : Objects_)
      if (Item.first.starts_with(Prefix) && !Item.second.Deleted_)
        Items.push_back(toJson(Item.second));
    respond(Caller, 200, Json{{"revision", Revision_}, {"items", Items}});
  }

  void handleObject(CallerKey Caller, const HttpRequest &Request,
                    const std::string &Path) {
    auto Found = Objects_.find(Path);
    bool Missing = Found == Objects_.end() || Found->second.Deleted_;
    std::uint64_t Version = Missing ? 0 : Found->second.Version_;
    if (Request.Method_ == "GET") {
      ++Counts_.Reads_;
      if (Missing)
        respond(Caller, 404, Json{{"version", 0}});
      else
        respond(Caller, 200, toJson(Found->second));
      return;
    }
    ++Counts_.Writes_;
    const std::string *Match = findHeader(Request.Headers_, "If-Match");
    if (Match != nullptr && *Match != std::to_string(Version)) {
      respond(Caller, 412, Json{{"version", Version}});
      return;
    }
    if (Request.Body_.size() > MaxValueBytes) {
      respond(Caller, 413, Json{{"error", "value is above 1 MiB"}});
      return;
    }
    bool Deletes = Request.Method_ == "DELETE";
    if (!Deletes || !Missing)
      Objects_[Path] = {Path, ++Revision_, Deletes, Request.Body_};
    wakeWatches();
    if (Faults_.LoseWrites_ > 0) {
      --Faults_.LoseWrites_;
      return;
    }
    respond(Caller, 200, Json{{"version", Revision_}});
  }

  void watch(CallerKey Caller, const HttpRequest &Request) {
    ++Counts_.Watches_;
    Watch Fresh;
    Fresh.Caller_ = Caller;
    Fresh.Prefix_ = queryValue(Request.Target_, "prefix");
    parseNumber(queryValue(Request.Target_, "since"), Fresh.Since_);
    std::uint64_t TimeoutMs = DefaultWatchMs;
    parseNumber(queryValue(Request.Target_, "timeout-ms"), TimeoutMs);
    if (answerWatch(Fresh, false))
      return;
    Fresh.Timer_ = std::make_shared<boost::asio::steady_timer>(
        Context_, std::chrono::milliseconds(TimeoutMs));
    Fresh.Timer_->async_wait([this, Caller](boost::system::error_code Error) {
      if (!Error)
        endWatch(Caller);
    });
    Watches_.push_back(Fresh);
  }

  bool answerWatch(const Watch &Waiting, bool Empty) {
    Json Items = Json::array();
    for (const std::pair<const std::string, PlatformObject> &Item : Objects_)
      if (Item.first.starts_with(Waiting.Prefix_) &&
          Item.second.Version_ > Waiting.Since_)
        Items.push_back(toJson(Item.second));
    if (Items.empty() && !Empty)
      return false;
    respond(Waiting.Caller_, 200,
            Json{{"revision", Revision_}, {"items", Items}});
    return true;
  }

  void wakeWatches() {
    std::vector<Watch> Waiting = std::exchange(Watches_, {});
    for (const Watch &Item : Waiting)
      if (!answerWatch(Item, false))
        Watches_.push_back(Item);
  }

  void endWatch(CallerKey Caller) {
    for (const Watch &Item : Watches_)
      if (Item.Caller_ == Caller)
        answerWatch(Item, true);
    forget(Caller);
  }

  void forget(CallerKey Caller) {
    std::erase_if(Watches_, [Caller](const Watch &Item) {
      return Item.Caller_ == Caller;
    });
  }

  void respond(CallerKey Caller, std::uint16_t Status, const Json &Body) {
    HttpResponse Response{
        Status, {{"Content-Type", "application/json"}}, Body.dump()};
    if (Faults_.SlowMs_ == 0) {
      Service_.respond(Caller, Response);
      return;
    }
    auto Timer = std::make_shared<boost::asio::steady_timer>(
        Context_, std::chrono::milliseconds(Faults_.SlowMs_));
    Timer->async_wait(
        [this, Timer, Caller, Response](boost::system::error_code) {
          Service_.respond(Caller, Response);
        });
  }

  boost::asio::io_context &Context_;
  std::map<std::string, PlatformObject> Objects_;
  std::uint64_t Revision_ = 0;
  std::vector<Watch> Watches_;
  Faults Faults_;
  Counts Counts_;
  HttpService Service_;
};

} // namespace

int main(int Count, char **Arguments) {
  TCLAP::CmdLine Line("Stand-in for the platform's object API", ' ', "0.1");
  TCLAP::ValueArg<std::string> Address("l", "listen", "address and port", true,
                                       "", "endpoint", Line);
  Line.parse(Count, Arguments);
  Endpoint Place;
  if (!parseEndpoint(Address.getValue(), Place)) {
    std::cerr << "not an IP number and a port: " << Address.getValue() << '\n';
    return 2;
  }
  boost::asio::io_context Context(1);
  Platform Server(Context, Place);
  Context.run();
  return 0;
}
