// Runs scripted sessions against the real engine: the transcript of the actions
// that it emits must equal the golden file next to the script. Some sessions
// replay traces that the model checker found for mutants of the models.
#include "fulmarshelf/detail/engine/answers.hpp"            // toResponse
#include "fulmarshelf/detail/engine/engine.hpp"             // Engine
#include "fulmarshelf/detail/settings/settings_version.hpp" // versionOf
#include "fulmarshelf/detail/wire/native_interface.hpp" // nativeRequestMetadata

#include <algorithm>  // sort
#include <filesystem> // directory_iterator
#include <fstream>    // ifstream, ofstream
#include <iostream>   // cerr
#include <map>        // map
#include <sstream>    // istringstream

namespace {

using namespace fulmarshelf;

constexpr Incarnation LocalIncarnation = 1000;

// One line of a script: `@` and a time in ms, a word that names the input, and
// `name=value` pairs.
struct Line {
  std::int64_t AtMs_ = 0;
  std::string Word_;
  std::map<std::string, std::string> Values_;

  std::string text(const std::string &Name,
                   const std::string &Default = {}) const {
    auto Entry = Values_.find(Name);
    return Entry == Values_.end() ? Default : Entry->second;
  }
  std::uint64_t number(const std::string &Name,
                       std::uint64_t Default = 0) const {
    std::uint64_t Value = Default;
    parseNumber(text(Name), Value);
    return Value;
  }
};

Line parseLine(const std::string &Text) {
  std::istringstream Words(Text);
  Line Result;
  char AtSign = 0;
  Words >> AtSign >> Result.AtMs_ >> Result.Word_;
  std::string Pair;
  while (Words >> Pair) {
    std::size_t EqualsSign = Pair.find('=');
    Result.Values_[Pair.substr(0, EqualsSign)] =
        EqualsSign == std::string::npos ? "yes" : Pair.substr(EqualsSign + 1);
  }
  return Result;
}

std::vector<Header> headersOf(const Line &Source) {
  std::vector<Header> Headers;
  auto Add = [&](const std::string &Key, std::string_view Name) {
    if (Source.Values_.contains(Key))
      Headers.push_back({std::string(Name), Source.text(Key)});
  };
  Add("caller", header::Caller);
  Add("deadline", header::DeadlineMs);
  Add("parent", header::Parent);
  Add("key", header::IdempotencyKey);
  Add("request-id", header::RequestId);
  Add("shed", header::Shed);
  Add("rate-limit", header::RateLimit);
  Add("server-leaving", header::Leaving);
  return Headers;
}

HttpRequest requestOf(const Line &Source) {
  return {Source.text("method", "GET"), Source.text("target", "/shop/x"),
          headersOf(Source), Source.text("body")};
}

CallReply replyOf(const Line &Source) {
  CallReply Reply;
  parseOutcome(Source.text("outcome", "complete"), Reply.Outcome_);
  parseErrorName(Source.text("error", "shed"), Reply.Error_);
  Reply.TokensLeft_ = static_cast<std::uint32_t>(Source.number("tokens"));
  Reply.Load_.Level_ = static_cast<Rank>(Source.number("level"));
  Reply.Load_.Limit_ = 10;
  Reply.Load_.Leaving_ = Source.text("leaving") == "yes";
  if (Reply.Outcome_ == Outcome::Complete)
    Reply.Response_ = {static_cast<std::uint16_t>(Source.number("status", 200)),
                       {},
                       Source.text("body")};
  return Reply;
}

CallMessage callOf(const Line &Source) {
  CallMessage Message;
  Message.Attempt_ = {Source.text("from", "c"), Source.number("life", 3),
                      Source.number("attempt", 1)};
  Message.Link_ = Source.number("link", 1);
  Message.ToIncarnation_ = Source.number("to", LocalIncarnation);
  Message.Context_.Root_ = Source.text("root", "c.3.1");
  Message.Context_.Rank_ =
      makeRank(static_cast<unsigned>(Source.number("importance", 3)),
               Source.text("committed") == "yes", Source.number("hash", 7));
  Message.Context_.Tokens_ =
      static_cast<std::uint32_t>(Source.number("tokens"));
  Message.Context_.TimeLeft_ =
      millis(static_cast<std::int64_t>(Source.number("budget", 1000)));
  Message.Context_.Idempotent_ = Source.text("idempotent", "yes") == "yes";
  Message.Ticket_ = Source.text("ticket");
  Message.Request_ = requestOf(Source);
  return Message;
}

// The settings of the only team in the sessions.
SubtreeVersion subtreeOf(const Line &Source) {
  std::string Text = "[team]\nservices = shop, till, deep\n[defaults]\n"
                     "retries = " +
                     Source.text("retries", "4") +
                     "\npatience-ms = 1000\nimportance = 3\n"
                     "[route till /pay]\nimportance = 9\nidempotent = no\n"
                     "[route shop /pay]\nimportance = 9\nidempotent = no\n"
                     "[route deep /pay]\nimportance = 9\nidempotent = no\n";
  bool Deleted = Source.text("deleted") == "yes";
  std::uint64_t Version =
      versionOf({Source.number("written-in", 0), Source.number("version", 1)});
  return {Source.text("path", "/team"), Version, Deleted, Deleted ? "" : Text};
}

Input memberOf(const Line &Source) {
  Member Reported;
  Reported.Node_ = Source.text("node");
  Reported.Incarnation_ = Source.number("life", 1);
  Reported.Version_ = static_cast<std::uint32_t>(Source.number("version", 1));
  Reported.Peer_ = {"10.0.0.9", 9};
  Reported.Region_ = "r";
  Reported.FailureDomain_ = Source.text("domain", "d");
  Reported.Service_ = Source.text("service");
  for (MemberStatus Status : {MemberStatus::Alive, MemberStatus::Leaving,
                              MemberStatus::Suspect, MemberStatus::Dead})
    if (statusName(Status) == Source.text("status", "alive"))
      Reported.Status_ = Status;
  // Delivered as part of a sync reply: the digest of a gossip message could
  // make the engine request a sync.
  SyncReply Reply;
  Reply.Members_ = {Reported};
  return SyncAnswered{LinkId{99}, Reply};
}

RevokeReply revokeReplyOf(const Line &Source) {
  std::string Result = Source.text("result", "unknown");
  if (Result == "not-started")
    return {RevokeResult::NotStarted, {}};
  if (Result == "finished")
    return {RevokeResult::Finished, replyOf(Source)};
  return {RevokeResult::Unknown, {}};
}

std::string expectedNode(const NodeState &Node, LinkId Link) {
  auto Existing = Node.Links_.find(Link);
  return Existing == Node.Links_.end() ? std::string() : Existing->second.Node_;
}

// The route table of the sessions that use one: one route for each kind of
// request, and one that splits its traffic between two services.
SubtreeVersion routesOf(const Line &Source) {
  RouteTable Table;
  Table.Services_ = {{"shop", "/health", 10}, {"deep", "/health", 10}};
  Table.Routes_ = {
      {"h", "/look/", {{"shop", 1}}, true, millis(800), millis(500), 7, 2},
      {"h", "/pay/", {{"shop", 1}}, false, millis(1000), millis(500), 9, 2},
      {"h", "/deep/", {{"deep", 1}}, true, millis(700), millis(300), 8, 2},
      {"h",
       "/split/",
       {{"shop", 1}, {"deep", 1}},
       true,
       millis(800),
       millis(500),
       7,
       1}};
  if (Source.text("without-split") == "yes")
    Table.Routes_.pop_back();
  return {std::string(RouteTablePath), Source.number("version", 1), false,
          formatRouteTable(Table)};
}

// Eras around a call to the store. The node knew the era of the answer when it
// sent the call, unless `sent-era` names another one.
CallEras erasOf(const Line &Source) {
  if (!Source.Values_.contains("era"))
    return {};
  std::uint64_t Era = Source.number("era");
  return {Source.number("sent-era", Era), Era};
}

// Store revision of a list or a watch: that of its only object by default.
std::uint64_t storeRevisionOf(const Line &Source) {
  return Source.number("revision", Source.number("version", 1));
}

BackendAnnounced announcementOf(const Line &Source) {
  Announcement Announced;
  Announced.Instance_ = Source.text("instance");
  Announced.Service_ = Source.text("service", "shop");
  Announced.Address_ = {"127.0.0.1", 80};
  Announced.Slots_ = static_cast<unsigned>(Source.number("slots", 1));
  Announced.Connections_ = 10;
  Announced.State_ = Source.text("draining") == "yes" ? BackendState::Draining
                                                      : BackendState::Serving;
  std::optional<AnnouncementOrder> Order;
  if (Source.Values_.contains("sequence"))
    Order = AnnouncementOrder{Source.number("born"), Source.number("sequence")};
  return {Announced, Order, Micros(0)};
}

CallerArrived arrivalOf(const Line &Source) {
  HttpRequest Http = requestOf(Source);
  RequestMetadata Metadata = nativeRequestMetadata(Http);
  Metadata.Host_ = Source.text("host");
  return {CallerKey{Source.number("id", 1)},
          Source.text("backend") == "yes",
          {Http, Metadata}};
}

BackendAnswered backendAnswerOf(const Line &Source) {
  HttpResponse Response{
      static_cast<std::uint16_t>(Source.number("status", 200)),
      headersOf(Source), Source.text("body")};
  ResponseMetadata Metadata = nativeResponseMetadata(Response);
  Metadata.OtherInstance_ = Source.text("other-instance") == "yes";
  Metadata.NotExecuted_ = Metadata.NotExecuted_ || Metadata.OtherInstance_ ||
                          Source.text("not-executed") == "yes";
  return {WorkId{Source.number("work", 1)}, Response, Metadata};
}

StoreCall storeCallOf(const Line &Source) {
  return Source.text("call") == "watch" ? StoreCall::Watch : StoreCall::List;
}

std::optional<Input> inputOf(const Line &Source, const NodeState &Node) {
  const std::string &Word = Source.Word_;
  LinkId Link{Source.number("link", 1)};
  StreamKey Stream{Source.number("stream", 1)};
  std::uint64_t Attempt = Source.number("attempt", 1);
  if (Word == "caller")
    return arrivalOf(Source);
  if (Word == "routes")
    return StoreListed{Collection::Routes,
                       storeRevisionOf(Source),
                       {routesOf(Source)},
                       erasOf(Source)};
  if (Word == "routes-unreadable")
    return StoreUnreadable{Collection::Routes, Source.number("version", 1),
                           "it is no JSON object"};
  if (Word == "departed")
    return BackendDeparted{Source.text("instance"),
                           Source.number("received", 0)};
  if (Word == "caller-gone")
    return CallerDisconnected{CallerKey{Source.number("id", 1)}};
  if (Word == "call")
    return CallArrived{Stream, callOf(Source)};
  if (Word == "call-dropped")
    return CallStreamClosed{Stream};
  if (Word == "reply")
    return ReplyArrived{Link, Attempt, replyOf(Source)};
  if (Word == "lost")
    return AttemptStreamClosed{Link, Attempt, Source.text("refused") == "yes"};
  if (Word == "revoke")
    return RevokeArrived{
        Stream,
        {{Source.text("from", "c"), Source.number("life", 3), Attempt},
         Link.Value_,
         Source.number("to", LocalIncarnation)}};
  if (Word == "revoked")
    return RevokeAnswered{Link, Attempt, revokeReplyOf(Source)};
  if (Word == "link-up")
    return LinkEstablished{Link, expectedNode(Node, Link),
                           Source.number("life", 1)};
  if (Word == "link-closed")
    return LinkClosed{Link};
  if (Word == "link-heard")
    return LinkActivity{Link};
  if (Word == "announce")
    return announcementOf(Source);
  if (Word == "answered")
    return backendAnswerOf(Source);
  if (Word == "failed")
    return BackendFailed{WorkId{Source.number("work", 1)},
                         Source.text("never-sent") == "yes"
                             ? CallFailure::Refused
                             : CallFailure::ConnectionLost};
  if (Word == "probed")
    return BackendProbed{Source.text("refused") == "yes"};
  if (Word == "member")
    return memberOf(Source);
  if (Word == "listed")
    return StoreListed{Collection::Teams,
                       storeRevisionOf(Source),
                       {subtreeOf(Source)},
                       erasOf(Source)};
  if (Word == "listed-empty")
    return StoreListed{
        Collection::Teams, storeRevisionOf(Source), {}, erasOf(Source)};
  if (Word == "watched")
    return StoreWatched{Collection::Teams,
                        storeRevisionOf(Source),
                        {subtreeOf(Source)},
                        erasOf(Source)};
  if (Word == "watched-routes")
    return StoreWatched{Collection::Routes,
                        storeRevisionOf(Source),
                        {routesOf(Source)},
                        erasOf(Source)};
  if (Word == "synced")
    return SyncAnswered{
        Link,
        {Source.text("serving", "yes") == "yes", {}, {subtreeOf(Source)}}};
  if (Word == "store-failed")
    return StoreFailed{storeCallOf(Source),
                       Source.text("of") == "routes" ? Collection::Routes
                                                     : Collection::Teams,
                       Source.text("why", "no answer"), erasOf(Source)};
  if (Word == "leave")
    return LeaveRequested{};
  return std::nullopt;
}

// Writes actions as transcript lines. Gossip and time measurements are left
// out; other tests cover them.
struct Transcript {
  std::ostringstream &Out_;

  void line(const std::string &Text) const { Out_ << "    " << Text << '\n'; }
  static std::string eraText(const std::optional<std::uint64_t> &Era) {
    return Era ? " era=" + std::to_string(*Era) : std::string();
  }

  static std::string replyText(const CallReply &Reply) {
    std::string Text(outcomeName(Reply.Outcome_));
    if (Reply.Outcome_ == Outcome::Complete)
      Text += " status=" + std::to_string(Reply.Response_.Status_) +
              " body=" + Reply.Response_.Body_;
    else
      Text += " error=" + std::string(errorName(Reply.Error_));
    return Text + " tokens=" + std::to_string(Reply.TokensLeft_) +
           " level=" + std::to_string(Reply.Load_.Level_) +
           (Reply.Load_.Leaving_ ? " leaving" : "");
  }

  void operator()(const AnswerCaller &Emitted) const {
    HttpResponse Response = toResponse(Emitted.Reply_, Emitted.Ticket_);
    std::string Text = "answer-caller " +
                       std::to_string(Emitted.Caller_.Value_) +
                       " status=" + std::to_string(Response.Status_);
    for (const Header &Field : Response.Headers_)
      if (Field.Name_ != "Content-Type")
        Text += " " + Field.Name_ + ":" + Field.Value_;
    line(Text);
  }
  void operator()(const OpenLink &Emitted) const {
    line("open-link " + std::to_string(Emitted.Link_.Value_));
  }
  void operator()(const CloseLink &Emitted) const {
    line("close-link " + std::to_string(Emitted.Link_.Value_));
  }
  void operator()(const PingLink &Emitted) const {
    line("ping-link " + std::to_string(Emitted.Link_.Value_));
  }
  void operator()(const SendCall &Emitted) const {
    const CallMessage &Message = Emitted.Message_;
    line("send-call link=" + std::to_string(Emitted.Link_.Value_) +
         " attempt=" + std::to_string(Message.Attempt_.Sequence_) + " " +
         Message.Request_.Method_ + " " + Message.Request_.Target_ +
         " tokens=" + std::to_string(Message.Context_.Tokens_) +
         " importance=" + std::to_string(importanceOf(Message.Context_.Rank_)) +
         " budget=" + std::to_string(Message.Context_.TimeLeft_.count()) +
         (Message.Ticket_.empty() ? "" : " ticket"));
  }
  void operator()(const SendCancel &Emitted) const {
    line("send-cancel link=" + std::to_string(Emitted.Link_.Value_) +
         " attempt=" + std::to_string(Emitted.Sequence_));
  }
  void operator()(const SendRevoke &Emitted) const {
    line("send-revoke link=" + std::to_string(Emitted.Link_.Value_) +
         " attempt=" + std::to_string(Emitted.Message_.Attempt_.Sequence_) +
         " fences=" + std::to_string(Emitted.Message_.Link_));
  }
  void operator()(const SendSync &Emitted) const {
    line("send-sync link=" + std::to_string(Emitted.Link_.Value_));
  }
  void operator()(const AnswerCall &Emitted) const {
    line("answer-call " + std::to_string(Emitted.Stream_.Value_) + " " +
         replyText(Emitted.Reply_));
  }
  void operator()(const AnswerRevoke &Emitted) const {
    static const char *const Names[] = {"not-started", "finished", "unknown"};
    std::string Text = "answer-revoke " +
                       std::to_string(Emitted.Stream_.Value_) + " " +
                       Names[static_cast<unsigned>(Emitted.Reply_.Result_)];
    if (Emitted.Reply_.Result_ == RevokeResult::Finished)
      Text += " " + replyText(Emitted.Reply_.Reply_);
    line(Text);
  }
  void operator()(const AnswerSync &Emitted) const {
    line("answer-sync " + std::to_string(Emitted.Stream_.Value_));
  }
  void operator()(const DispatchWork &Emitted) const {
    line("dispatch " + std::to_string(Emitted.Work_.Value_) + " " +
         Emitted.Request_.Method_ + " " + Emitted.Request_.Target_ +
         (Emitted.NewConnection_ ? " fresh-connection" : "") +
         (Emitted.Metadata_.Instance_.empty()
              ? ""
              : " instance=" + Emitted.Metadata_.Instance_ + " time-left=" +
                    std::to_string(Emitted.Metadata_.TimeLeft_.count())));
  }
  void operator()(const CancelWork &Emitted) const {
    line("cancel-work " + std::to_string(Emitted.Work_.Value_));
  }
  void operator()(const ProbeBackend &) const { line("probe-backend"); }
  void operator()(const SendDatagram &) const {}
  void operator()(const StoreList &Emitted) const {
    line((Emitted.Collection_ == Collection::Teams ? "store-list"
                                                   : "store-list routes") +
         eraText(Emitted.Era_));
  }
  void operator()(const StoreListNodes &) const {}
  void operator()(const StoreWatch &Emitted) const {
    line(std::string(Emitted.Collection_ == Collection::Teams
                         ? "store-watch"
                         : "store-watch routes") +
         " since=" + std::to_string(Emitted.Since_) + eraText(Emitted.Era_));
  }
  void operator()(const StoreAnnounce &) const {}
  void operator()(const StoreWithdraw &) const { line("store-withdraw"); }
  void operator()(const StoreRemove &) const {}
  void operator()(const AnswerNotice &) const {}
  void operator()(const WriteLog &Emitted) const {
    line("log " +
         std::to_string(static_cast<unsigned>(Emitted.Record_.Event_)) + " " +
         std::string(eventName(Emitted.Record_.Event_)) + " " +
         Emitted.Record_.Text_);
  }
  void operator()(const RecordTime &) const {}
  void operator()(const StopProcess &) const { line("finished"); }
};

// A session whose first line is `# route table` runs with the platform
// interface and a route table.
EngineConfig configOf(const std::filesystem::path &Script) {
  EngineConfig Config;
  std::ifstream Source(Script);
  std::string FirstLine;
  std::getline(Source, FirstLine);
  if (FirstLine == "# route table") {
    Config.Settings_.Interface_ = InterfaceKind::Platform;
    Config.Settings_.Service_ = "shop";
  }
  Config.Settings_.Name_ = "a";
  Config.Settings_.FailureDomain_ = "d";
  Config.Settings_.Region_ = "r";
  Config.Settings_.AdvertisedPeer_ = {"10.0.0.1", 1};
  Config.Incarnation_ = LocalIncarnation;
  Config.Seed_ = 42;
  return Config;
}

std::string runSession(const std::filesystem::path &Script) {
  std::ifstream Source(Script);
  std::ostringstream Out;
  Transcript Writer{Out};
  Engine Core(configOf(Script));
  auto WriteActions = [&] {
    for (const Action &Emitted : Core.takeActions())
      std::visit(Writer, Emitted);
  };
  // Runs each timer at its due time, as the process shell does. A timer that
  // emits no transcript lines leaves no trace in the transcript.
  auto RunTimersUntil = [&](TimePoint Until) {
    while (Core.nextTimer() <= Until) {
      TimePoint TimerDue = Core.nextTimer();
      Core.tick(TimerDue);
      std::vector<Action> Actions = Core.takeActions();
      std::size_t SizeBefore = Out.str().size();
      std::ostringstream TimerLine;
      TimerLine << "  @" << TimerDue.time_since_epoch().count() / 1000
                << " timer\n";
      std::string TextBefore = Out.str();
      Out << TimerLine.str();
      std::size_t SizeWithTimerLine = Out.str().size();
      for (const Action &Emitted : Actions)
        std::visit(Writer, Emitted);
      if (Out.str().size() == SizeWithTimerLine) {
        Out.str(TextBefore);
        Out.seekp(static_cast<std::streamoff>(SizeBefore));
      }
    }
  };
  Core.start(TimePoint(millis(0)));
  WriteActions();
  std::string Text;
  while (std::getline(Source, Text)) {
    if (Text.empty() || Text[0] == '#') {
      Out << Text << '\n';
      continue;
    }
    Line Step = parseLine(Text);
    TimePoint Now{millis(Step.AtMs_)};
    // `late` inputs arrive while due timers have not run yet, as after the
    // process was not scheduled for a while.
    if (Step.text("late") != "yes")
      RunTimersUntil(Now);
    Out << Text << '\n';
    std::optional<Input> NextInput = inputOf(Step, Core.state());
    if (NextInput)
      Core.handle(Now, *NextInput);
    else if (Step.Word_ != "wait")
      Out << "    UNKNOWN WORD\n";
    WriteActions();
  }
  return Out.str();
}

std::string readAll(const std::filesystem::path &File) {
  std::ifstream Source(File);
  std::ostringstream Text;
  Text << Source.rdbuf();
  return Text.str();
}

void showDifference(const std::string &Expected, const std::string &Actual) {
  std::istringstream ExpectedLines(Expected);
  std::istringstream ActualLines(Actual);
  std::string ExpectedLine;
  std::string ActualLine;
  for (int Number = 1;; ++Number) {
    bool HasExpected =
        static_cast<bool>(std::getline(ExpectedLines, ExpectedLine));
    bool HasActual = static_cast<bool>(std::getline(ActualLines, ActualLine));
    if (!HasExpected && !HasActual)
      return;
    if (HasExpected == HasActual && ExpectedLine == ActualLine)
      continue;
    std::cerr << "  line " << Number << "\n  golden: " << ExpectedLine
              << "\n  got:    " << ActualLine << '\n';
    return;
  }
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 2)
    return 2;
  bool Update = Count > 2 && std::string(Arguments[2]) == "--update";
  std::vector<std::filesystem::path> Scripts;
  for (const std::filesystem::directory_entry &Entry :
       std::filesystem::directory_iterator(Arguments[1]))
    if (Entry.path().extension() == ".session")
      Scripts.push_back(Entry.path());
  std::sort(Scripts.begin(), Scripts.end());
  unsigned Failed = 0;
  for (const std::filesystem::path &Script : Scripts) {
    std::filesystem::path Golden = Script;
    Golden.replace_extension(".golden");
    std::string Actual = runSession(Script);
    if (Update)
      std::ofstream(Golden) << Actual;
    std::string Expected = readAll(Golden);
    bool Matches = Expected == Actual;
    std::cout << (Matches ? "ok   " : "FAIL ") << Script.stem().string()
              << '\n';
    if (!Matches)
      showDifference(Expected, Actual);
    Failed += Matches ? 0 : 1;
  }
  std::cout << Scripts.size() - Failed << " passed, " << Failed << " failed\n";
  return Failed == 0 && !Scripts.empty() ? 0 : 1;
}
