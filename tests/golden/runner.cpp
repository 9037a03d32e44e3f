// Runs whole sessions of the real core: a script of inputs goes in, the
// transcript of actions must equal the golden file beside it. Traces of the
// model checker's mutants are replayed here as sessions too.
#include "fulmarshelf/detail/engine/answers.hpp"        // toResponse
#include "fulmarshelf/detail/engine/engine.hpp"         // Engine
#include "fulmarshelf/detail/wire/native_interface.hpp" // nativeRequestMetadata

#include <algorithm>  // sort
#include <filesystem> // directory_iterator
#include <fstream>    // ifstream, ofstream
#include <iostream>   // cerr
#include <map>        // map
#include <sstream>    // istringstream

namespace {

using namespace fulmarshelf;

constexpr Incarnation OwnIncarnation = 1000;

// One line of a script: a word and `name=value` pairs.
struct Line {
  std::int64_t AtMs_ = 0;
  std::string Word_;
  std::map<std::string, std::string> Values_;

  std::string text(const std::string &Name,
                   const std::string &Default = {}) const {
    auto Found = Values_.find(Name);
    return Found == Values_.end() ? Default : Found->second;
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
  char At = 0;
  Words >> At >> Result.AtMs_ >> Result.Word_;
  std::string Pair;
  while (Words >> Pair) {
    std::size_t Sign = Pair.find('=');
    Result.Values_[Pair.substr(0, Sign)] =
        Sign == std::string::npos ? "yes" : Pair.substr(Sign + 1);
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
  Message.ToIncarnation_ = Source.number("to", OwnIncarnation);
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

// Settings of the sessions' only team.
SubtreeVersion subtreeOf(const Line &Source) {
  std::string Text = "[team]\nservices = shop, till, deep\n[defaults]\n"
                     "retries = " +
                     Source.text("retries", "4") +
                     "\npatience-ms = 1000\nimportance = 3\n"
                     "[route till /pay]\nimportance = 9\nidempotent = no\n"
                     "[route shop /pay]\nimportance = 9\nidempotent = no\n"
                     "[route deep /pay]\nimportance = 9\nidempotent = no\n";
  bool Deleted = Source.text("deleted") == "yes";
  return {Source.text("path", "/team"), Source.number("version", 1), Deleted,
          Deleted ? "" : Text};
}

Input memberOf(const Line &Source) {
  Member Told;
  Told.Node_ = Source.text("node");
  Told.Incarnation_ = Source.number("life", 1);
  Told.Version_ = static_cast<std::uint32_t>(Source.number("version", 1));
  Told.Peer_ = {"10.0.0.9", 9};
  Told.Region_ = "r";
  Told.FailureDomain_ = Source.text("domain", "d");
  Told.Service_ = Source.text("service");
  for (MemberStatus Status : {MemberStatus::Alive, MemberStatus::Leaving,
                              MemberStatus::Suspect, MemberStatus::Dead})
    if (statusName(Status) == Source.text("status", "alive"))
      Told.Status_ = Status;
  // As part of a sync, so that no digest makes the core ask back.
  SyncReply Reply;
  Reply.Members_ = {Told};
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
  auto Found = Node.Links_.find(Link);
  return Found == Node.Links_.end() ? std::string() : Found->second.Node_;
}

// The table of the sessions with a route table: one route for each kind of
// request, and a split one.
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

BackendAnnounced announcementOf(const Line &Source) {
  Announcement Told;
  Told.Instance_ = Source.text("instance");
  Told.Service_ = Source.text("service", "shop");
  Told.Address_ = {"127.0.0.1", 80};
  Told.Slots_ = static_cast<unsigned>(Source.number("slots", 1));
  Told.Connections_ = 10;
  Told.State_ = Source.text("draining") == "yes" ? BackendState::Draining
                                                 : BackendState::Serving;
  std::optional<AnnouncementOrder> Order;
  if (Source.Values_.contains("sequence"))
    Order = AnnouncementOrder{Source.number("born"), Source.number("sequence")};
  return {Told, Order, Micros(0)};
}

CallerArrived arrivalOf(const Line &Source) {
  HttpRequest Http = requestOf(Source);
  RequestMetadata Facts = nativeRequestMetadata(Http);
  Facts.Host_ = Source.text("host");
  return {CallerKey{Source.number("id", 1)},
          Source.text("backend") == "yes",
          {Http, Facts}};
}

BackendAnswered backendAnswerOf(const Line &Source) {
  HttpResponse Response{
      static_cast<std::uint16_t>(Source.number("status", 200)),
      headersOf(Source), Source.text("body")};
  ResponseMetadata Facts = nativeResponseMetadata(Response);
  Facts.OtherInstance_ = Source.text("other-instance") == "yes";
  Facts.NotExecuted_ = Facts.NotExecuted_ || Facts.OtherInstance_ ||
                       Source.text("not-executed") == "yes";
  return {WorkId{Source.number("work", 1)}, Response, Facts};
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
    return StoreListed{
        Collection::Routes, Source.number("version", 1), {routesOf(Source)}};
  if (Word == "routes-unreadable")
    return StoreUnreadable{Collection::Routes, Source.number("version", 1),
                           "it is no JSON object"};
  if (Word == "departed")
    return BackendDeparted{Source.text("instance")};
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
         Source.number("to", OwnIncarnation)}};
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
                         Source.text("never-sent") == "yes"};
  if (Word == "member")
    return memberOf(Source);
  if (Word == "listed")
    return StoreListed{
        Collection::Teams, Source.number("version", 1), {subtreeOf(Source)}};
  if (Word == "listed-empty")
    return StoreListed{Collection::Teams, Source.number("version", 1), {}};
  if (Word == "watched")
    return StoreWatched{
        Collection::Teams, Source.number("version", 1), {subtreeOf(Source)}};
  if (Word == "synced")
    return SyncAnswered{
        Link,
        {Source.text("serving", "yes") == "yes", {}, {subtreeOf(Source)}}};
  if (Word == "store-failed")
    return StoreFailed{storeCallOf(Source), Collection::Teams};
  if (Word == "leave")
    return LeaveRequested{};
  return std::nullopt;
}

// Writes actions as lines; gossip and measurements have tests of their own.
struct Transcript {
  std::ostringstream &Out_;

  void line(const std::string &Text) const { Out_ << "    " << Text << '\n'; }

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

  void operator()(const AnswerCaller &Wanted) const {
    HttpResponse Response = toResponse(Wanted.Reply_, Wanted.Ticket_);
    std::string Text = "answer-caller " +
                       std::to_string(Wanted.Caller_.Value_) +
                       " status=" + std::to_string(Response.Status_);
    for (const Header &Field : Response.Headers_)
      if (Field.Name_ != "Content-Type")
        Text += " " + Field.Name_ + ":" + Field.Value_;
    line(Text);
  }
  void operator()(const OpenLink &Wanted) const {
    line("open-link " + std::to_string(Wanted.Link_.Value_));
  }
  void operator()(const CloseLink &Wanted) const {
    line("close-link " + std::to_string(Wanted.Link_.Value_));
  }
  void operator()(const PingLink &Wanted) const {
    line("ping-link " + std::to_string(Wanted.Link_.Value_));
  }
  void operator()(const SendCall &Wanted) const {
    const CallMessage &Message = Wanted.Message_;
    line("send-call link=" + std::to_string(Wanted.Link_.Value_) +
         " attempt=" + std::to_string(Message.Attempt_.Sequence_) + " " +
         Message.Request_.Method_ + " " + Message.Request_.Target_ +
         " tokens=" + std::to_string(Message.Context_.Tokens_) +
         " importance=" + std::to_string(importanceOf(Message.Context_.Rank_)) +
         " budget=" + std::to_string(Message.Context_.TimeLeft_.count()) +
         (Message.Ticket_.empty() ? "" : " ticket"));
  }
  void operator()(const SendCancel &Wanted) const {
    line("send-cancel link=" + std::to_string(Wanted.Link_.Value_) +
         " attempt=" + std::to_string(Wanted.Sequence_));
  }
  void operator()(const SendRevoke &Wanted) const {
    line("send-revoke link=" + std::to_string(Wanted.Link_.Value_) +
         " attempt=" + std::to_string(Wanted.Message_.Attempt_.Sequence_) +
         " fences=" + std::to_string(Wanted.Message_.Link_));
  }
  void operator()(const SendSync &Wanted) const {
    line("send-sync link=" + std::to_string(Wanted.Link_.Value_));
  }
  void operator()(const AnswerCall &Wanted) const {
    line("answer-call " + std::to_string(Wanted.Stream_.Value_) + " " +
         replyText(Wanted.Reply_));
  }
  void operator()(const AnswerRevoke &Wanted) const {
    static const char *const Names[] = {"not-started", "finished", "unknown"};
    std::string Text = "answer-revoke " +
                       std::to_string(Wanted.Stream_.Value_) + " " +
                       Names[static_cast<unsigned>(Wanted.Reply_.Result_)];
    if (Wanted.Reply_.Result_ == RevokeResult::Finished)
      Text += " " + replyText(Wanted.Reply_.Reply_);
    line(Text);
  }
  void operator()(const AnswerSync &Wanted) const {
    line("answer-sync " + std::to_string(Wanted.Stream_.Value_));
  }
  void operator()(const DispatchWork &Wanted) const {
    line("dispatch " + std::to_string(Wanted.Work_.Value_) + " " +
         Wanted.Request_.Method_ + " " + Wanted.Request_.Target_ +
         (Wanted.NewConnection_ ? " fresh-connection" : "") +
         (Wanted.Metadata_.Instance_.empty()
              ? ""
              : " instance=" + Wanted.Metadata_.Instance_ + " time-left=" +
                    std::to_string(Wanted.Metadata_.TimeLeft_.count())));
  }
  void operator()(const CancelWork &Wanted) const {
    line("cancel-work " + std::to_string(Wanted.Work_.Value_));
  }
  void operator()(const SendDatagram &) const {}
  void operator()(const StoreList &Wanted) const {
    line(Wanted.Collection_ == Collection::Teams ? "store-list"
                                                 : "store-list routes");
  }
  void operator()(const StoreListNodes &) const {}
  void operator()(const StoreWatch &Wanted) const {
    line(std::string(Wanted.Collection_ == Collection::Teams
                         ? "store-watch"
                         : "store-watch routes") +
         " since=" + std::to_string(Wanted.Since_));
  }
  void operator()(const StoreAnnounce &) const {}
  void operator()(const StoreWithdraw &) const { line("store-withdraw"); }
  void operator()(const WriteLog &Wanted) const {
    line("log " + std::to_string(static_cast<unsigned>(Wanted.Record_.Event_)) +
         " " + std::string(eventName(Wanted.Record_.Event_)) + " " +
         Wanted.Record_.Text_);
  }
  void operator()(const RecordTime &) const {}
  void operator()(const StopProcess &) const { line("finished"); }
};

// A session whose first line says `# route table` runs with one.
EngineConfig configOf(const std::filesystem::path &Script) {
  EngineConfig Config;
  std::ifstream Source(Script);
  std::string First;
  std::getline(Source, First);
  if (First == "# route table") {
    Config.Settings_.Interface_ = InterfaceKind::Platform;
    Config.Settings_.Service_ = "shop";
  }
  Config.Settings_.Name_ = "a";
  Config.Settings_.FailureDomain_ = "d";
  Config.Settings_.Region_ = "r";
  Config.Settings_.AdvertisedPeer_ = {"10.0.0.1", 1};
  Config.Incarnation_ = OwnIncarnation;
  Config.Seed_ = 42;
  return Config;
}

std::string runSession(const std::filesystem::path &Script) {
  std::ifstream Source(Script);
  std::ostringstream Out;
  Transcript Writer{Out};
  Engine Core(configOf(Script));
  auto Show = [&] {
    for (const Action &Wanted : Core.takeActions())
      std::visit(Writer, Wanted);
  };
  // Timers run at their own moments, as the shell would run them.
  auto RunUntil = [&](TimePoint Moment) {
    while (Core.nextTimer() <= Moment) {
      TimePoint Next = Core.nextTimer();
      Core.tick(Next);
      std::vector<Action> Wanted = Core.takeActions();
      std::size_t Before = Out.str().size();
      std::ostringstream Stamp;
      Stamp << "  @" << Next.time_since_epoch().count() / 1000 << " timer\n";
      std::string Saved = Out.str();
      Out << Stamp.str();
      std::size_t WithStamp = Out.str().size();
      for (const Action &Item : Wanted)
        std::visit(Writer, Item);
      if (Out.str().size() == WithStamp) {
        Out.str(Saved);
        Out.seekp(static_cast<std::streamoff>(Before));
      }
    }
  };
  Core.start(TimePoint(millis(0)));
  Show();
  std::string Text;
  while (std::getline(Source, Text)) {
    if (Text.empty() || Text[0] == '#') {
      Out << Text << '\n';
      continue;
    }
    Line Step = parseLine(Text);
    TimePoint Moment{millis(Step.AtMs_)};
    // `late` inputs come in when timers are due that have not run yet, as after
    // a moment without the processor.
    if (Step.text("late") != "yes")
      RunUntil(Moment);
    Out << Text << '\n';
    std::optional<Input> Happened = inputOf(Step, Core.state());
    if (Happened)
      Core.handle(Moment, *Happened);
    else if (Step.Word_ != "wait")
      Out << "    UNKNOWN WORD\n";
    Show();
  }
  return Out.str();
}

std::string readAll(const std::filesystem::path &File) {
  std::ifstream Source(File);
  std::ostringstream Text;
  Text << Source.rdbuf();
  return Text.str();
}

void showDifference(const std::string &Expected, const std::string &Got) {
  std::istringstream Left(Expected);
  std::istringstream Right(Got);
  std::string Wanted;
  std::string Seen;
  for (int Number = 1;; ++Number) {
    bool HasLeft = static_cast<bool>(std::getline(Left, Wanted));
    bool HasRight = static_cast<bool>(std::getline(Right, Seen));
    if (!HasLeft && !HasRight)
      return;
    if (HasLeft == HasRight && Wanted == Seen)
      continue;
    std::cerr << "  line " << Number << "\n  golden: " << Wanted
              << "\n  got:    " << Seen << '\n';
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
    std::string Got = runSession(Script);
    if (Update)
      std::ofstream(Golden) << Got;
    std::string Expected = readAll(Golden);
    bool Same = Expected == Got;
    std::cout << (Same ? "ok   " : "FAIL ") << Script.stem().string() << '\n';
    if (!Same)
      showDifference(Expected, Got);
    Failed += Same ? 0 : 1;
  }
  std::cout << Scripts.size() - Failed << " passed, " << Failed << " failed\n";
  return Failed == 0 && !Scripts.empty() ? 0 : 1;
}
