// Stand-in for the platform's store: objects by kind and name, revisions,
// conditional updates and watches, all in memory. Admin calls can make it fail,
// delay or ignore calls, drop responses to writes that took effect, or return
// to an earlier copy of its objects. It can listen on a second address, where
// it can refuse or ignore calls while it serves those at the first address.
#include "fulmarshelf/detail/shell/announcement_codec.hpp" // queryValue
#include "fulmarshelf/detail/shell/http_server.hpp"        // HttpServer
#include "platform/store_codec.hpp"                        // StoreObject

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
constexpr std::size_t PageItems = 500;

struct Faults {
  bool Down_ = false;            ///< every call is answered 503
  bool Silent_ = false;          ///< no call is answered
  std::uint64_t SlowMs_ = 0;     ///< delay of each response
  std::uint64_t LoseWrites_ = 0; ///< writes still to apply unanswered
  bool SecondRefuses_ = false;   ///< second address answers 503
  bool SecondSilent_ = false;    ///< second address does not answer
};

// Kind and name of an object.
struct ObjectKey {
  std::string Kind_;
  std::string Name_;
  friend auto operator<=>(const ObjectKey &, const ObjectKey &) = default;
};

// State that returns when the store is restored.
struct Copy {
  std::map<ObjectKey, StoreObject> Objects_;
  std::uint64_t Revision_ = 0;
};

struct Counts {
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  std::uint64_t Watches_ = 0;
};

struct Watch {
  CallerKey Caller_;
  std::string Kind_;
  std::uint64_t Since_ = 0;
  std::shared_ptr<boost::asio::steady_timer> Timer_;
};

// Caller keys of the second address differ from those of the first in the bits
// from `KeySpaceShift` up.
constexpr std::uint64_t SecondKeySpace = 1;
constexpr unsigned KeySpaceShift = 56;

bool isAtSecondAddress(CallerKey Caller) {
  return Caller.Value_ >> KeySpaceShift == SecondKeySpace;
}

class Platform {
public:
  Platform(boost::asio::io_context &Context, const Endpoint &Address,
           const std::optional<Endpoint> &Second)
      : Context_(Context), FirstServer_(Context, Address, 0, MaxConnections,
                                        limits(), handlers()) {
    if (Second)
      SecondServer_.emplace(Context, *Second, SecondKeySpace, MaxConnections,
                            limits(), handlers());
  }

private:
  HttpServer::Handlers handlers() {
    return {[this](CallerKey Caller, const HttpRequest &Request) {
              receive(Caller, Request);
            },
            [this](CallerKey Caller) { forget(Caller); }};
  }

  void send(CallerKey Caller, const HttpResponse &Response) {
    HttpServer &Server = isAtSecondAddress(Caller) && SecondServer_
                             ? *SecondServer_
                             : FirstServer_;
    Server.respond(Caller, Response);
  }

  static HttpLimits limits() {
    HttpLimits Limits;
    Limits.BodyBytes_ = 2 * MaxValueBytes;
    return Limits;
  }

  void receive(CallerKey Caller, const HttpRequest &Request) {
    std::string Path(pathOf(Request.Target_));
    if (Path == "/admin") {
      send(Caller, administer(Request));
      return;
    }
    bool Second = isAtSecondAddress(Caller);
    if (Faults_.Silent_ || (Second && Faults_.SecondSilent_))
      return;
    if (Faults_.Down_ || (Second && Faults_.SecondRefuses_)) {
      respond(Caller, 503, Json{{"error", "down"}});
      return;
    }
    std::optional<StoreRequest> Call = parseStoreRequest(Request);
    if (!Call) {
      respond(Caller, 400, Json{{"error", "no such call"}});
      return;
    }
    if (Request.Method_ != "GET")
      write(Caller, Request, *Call);
    else if (Call->Since_)
      watch(Caller, *Call);
    else if (Call->Name_.empty())
      list(Caller, *Call);
    else
      get(Caller, *Call);
  }

  HttpResponse administer(const HttpRequest &Request) {
    auto Read = [&Request](const char *Name, std::uint64_t Current) {
      std::uint64_t Value = Current;
      parseNumber(queryValue(Request.Target_, Name), Value);
      return Value;
    };
    Faults_.Down_ = Read("down", Faults_.Down_ ? 1 : 0) != 0;
    Faults_.Silent_ = Read("silent", Faults_.Silent_ ? 1 : 0) != 0;
    Faults_.SlowMs_ = Read("slow-ms", Faults_.SlowMs_);
    Faults_.LoseWrites_ = Read("lose-writes", Faults_.LoseWrites_);
    Faults_.SecondRefuses_ =
        Read("second-refuses", Faults_.SecondRefuses_ ? 1 : 0) != 0;
    Faults_.SecondSilent_ =
        Read("second-silent", Faults_.SecondSilent_ ? 1 : 0) != 0;
    if (Read("forget-history", 0) != 0)
      forgetHistory();
    if (std::uint64_t Era = Read("era", 0); Era != 0)
      Era_ = Era;
    if (Read("copy", 0) != 0)
      Copy_ = {Objects_, Revision_};
    if (Read("restore", 0) != 0)
      restore();
    if (Faults_.Down_)
      endWatches(false);
    else if (Faults_.SecondRefuses_)
      endWatches(true);
    Json Page = {{"reads", Counts_.Reads_},
                 {"writes", Counts_.Writes_},
                 {"watches", Counts_.Watches_},
                 {"standing_watches", Watches_.size()},
                 {"revision", Revision_}};
    return {200, {}, Page.dump() + "\n"};
  }

  void endWatches(bool OnlySecond) {
    std::vector<Watch> Previous = std::exchange(Watches_, {});
    for (const Watch &Standing : Previous)
      if (OnlySecond && !isAtSecondAddress(Standing.Caller_))
        Watches_.push_back(Standing);
      else
        respond(Standing.Caller_, 503, Json{{"error", "down"}});
  }

  // Drops the history up to the present revision; a watch from an earlier
  // revision is answered with 410.
  void forgetHistory() {
    HistoryFrom_ = Revision_;
    for (const Watch &Previous : std::exchange(Watches_, {}))
      respond(Previous.Caller_, 410, Json{{"error", "this history is gone"}});
  }

  // Returns to the copy: later writes are lost and their revisions are given
  // out again.
  void restore() {
    Objects_ = Copy_.Objects_;
    Revision_ = Copy_.Revision_;
    if (Era_)
      ++*Era_;
    for (const Watch &Previous : std::exchange(Watches_, {}))
      respond(Previous.Caller_, 410, Json{{"error", "no such revision"}});
  }

  void list(CallerKey Caller, const StoreRequest &Call) {
    ++Counts_.Reads_;
    StorePage Page;
    Page.Revision_ = Revision_;
    for (const std::pair<const ObjectKey, StoreObject> &Entry : Objects_) {
      if (Entry.first.Kind_ != Call.Kind_ || Entry.second.Deleted_ ||
          Entry.first.Name_ <= Call.After_)
        continue;
      Page.More_ = Page.Objects_.size() == PageItems;
      if (Page.More_)
        break;
      Page.Objects_.push_back(Entry.second);
    }
    respondText(Caller, 200, encodeList(Page));
  }

  void get(CallerKey Caller, const StoreRequest &Call) {
    ++Counts_.Reads_;
    auto Found = Objects_.find({Call.Kind_, Call.Name_});
    if (Found == Objects_.end() || Found->second.Deleted_)
      respond(Caller, 404, Json{{"error", "no such object"}});
    else
      respondText(Caller, 200, encodeObject(Found->second));
  }

  void write(CallerKey Caller, const HttpRequest &Request,
             const StoreRequest &Call) {
    ++Counts_.Writes_;
    bool Creates = Request.Method_ == "POST";
    ObjectKey Key{Call.Kind_, Creates ? Call.Object_.Name_ : Call.Name_};
    auto Found = Objects_.find(Key);
    bool Missing = Found == Objects_.end() || Found->second.Deleted_;
    if (!Missing && (Creates || (Call.Revision_ &&
                                 *Call.Revision_ != Found->second.Revision_))) {
      respondText(Caller, 409, encodeObject(Found->second));
      return;
    }
    if (Missing && !Creates) {
      respond(Caller, 404, Json{{"error", "no such object"}});
      return;
    }
    if (Request.Body_.size() > MaxValueBytes) {
      respond(Caller, 413, Json{{"error", "value is above 1 MiB"}});
      return;
    }
    bool Deletes = Request.Method_ == "DELETE";
    Objects_[Key] = {Key.Name_, ++Revision_, Deletes,
                     Deletes ? "null" : Call.Object_.Spec_};
    wakeWatches();
    if (Faults_.LoseWrites_ > 0) {
      --Faults_.LoseWrites_;
      return;
    }
    respondText(Caller, 200, encodeObject(Objects_[Key]));
  }

  void watch(CallerKey Caller, const StoreRequest &Call) {
    ++Counts_.Watches_;
    if (*Call.Since_ < HistoryFrom_ || *Call.Since_ > Revision_) {
      respond(Caller, 410, Json{{"error", "this history is gone"}});
      return;
    }
    Watch NewWatch;
    NewWatch.Caller_ = Caller;
    NewWatch.Kind_ = Call.Kind_;
    NewWatch.Since_ = *Call.Since_;
    if (answerWatch(NewWatch, false))
      return;
    NewWatch.Timer_ = std::make_shared<boost::asio::steady_timer>(
        Context_, std::chrono::milliseconds(Call.WaitMs_));
    NewWatch.Timer_->async_wait(
        [this, Caller](boost::system::error_code Error) {
          if (!Error)
            endWatch(Caller);
        });
    Watches_.push_back(NewWatch);
  }

  bool answerWatch(const Watch &Standing, bool Empty) {
    StorePage Page;
    Page.Revision_ = Revision_;
    for (const std::pair<const ObjectKey, StoreObject> &Entry : Objects_)
      if (Entry.first.Kind_ == Standing.Kind_ &&
          Entry.second.Revision_ > Standing.Since_)
        Page.Objects_.push_back(Entry.second);
    if (Page.Objects_.empty() && !Empty)
      return false;
    respondText(Standing.Caller_, 200, encodeChanges(Page));
    return true;
  }

  void wakeWatches() {
    std::vector<Watch> Previous = std::exchange(Watches_, {});
    for (const Watch &Standing : Previous)
      if (!answerWatch(Standing, false))
        Watches_.push_back(Standing);
  }

  void endWatch(CallerKey Caller) {
    for (const Watch &Standing : Watches_)
      if (Standing.Caller_ == Caller)
        answerWatch(Standing, true);
    forget(Caller);
  }

  void forget(CallerKey Caller) {
    std::erase_if(Watches_, [Caller](const Watch &Standing) {
      return Standing.Caller_ == Caller;
    });
  }

  void respond(CallerKey Caller, std::uint16_t Status, const Json &Body) {
    respondText(Caller, Status, Body.dump());
  }

  void respondText(CallerKey Caller, std::uint16_t Status,
                   const std::string &Body) {
    HttpResponse Response{Status, {{"Content-Type", "application/json"}}, Body};
    if (Era_)
      Response.Headers_.push_back(encodeStoreEra(*Era_));
    if (Faults_.SlowMs_ == 0) {
      send(Caller, Response);
      return;
    }
    auto Timer = std::make_shared<boost::asio::steady_timer>(
        Context_, std::chrono::milliseconds(Faults_.SlowMs_));
    Timer->async_wait(
        [this, Timer, Caller, Response](boost::system::error_code) {
          send(Caller, Response);
        });
  }

  boost::asio::io_context &Context_;
  std::map<ObjectKey, StoreObject> Objects_;
  std::uint64_t Revision_ = 0;
  std::uint64_t HistoryFrom_ = 0;
  std::optional<std::uint64_t> Era_; ///< nullopt: answers name no era
  Copy Copy_;
  std::vector<Watch> Watches_;
  Faults Faults_;
  Counts Counts_;
  HttpServer FirstServer_;
  std::optional<HttpServer> SecondServer_;
};

} // namespace

int main(int Count, char **Arguments) {
  TCLAP::CmdLine Line("Stand-in for the platform's object API", ' ', "0.1");
  TCLAP::ValueArg<std::string> Address("l", "listen", "address to listen on",
                                       true, "", "endpoint", Line);
  TCLAP::ValueArg<std::string> SecondAddress("s", "second",
                                             "second address to listen on",
                                             false, "", "endpoint", Line);
  Line.parse(Count, Arguments);
  Endpoint FirstEndpoint;
  Endpoint SecondEndpoint;
  bool HasSecond = SecondAddress.isSet();
  if (!parseEndpoint(Address.getValue(), FirstEndpoint) ||
      (HasSecond && !parseEndpoint(SecondAddress.getValue(), SecondEndpoint))) {
    std::cerr << "platform_standin: --listen and --second need IP:PORT\n";
    return 2;
  }
  boost::asio::io_context Context(1);
  Platform Server(Context, FirstEndpoint,
                  HasSecond ? std::optional<Endpoint>(SecondEndpoint)
                            : std::nullopt);
  Context.run();
  return 0;
}
