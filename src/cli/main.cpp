#include "backends.hpp"                                     // backendRows
#include "explain.hpp"                                      // linesOfRequest
#include "fulmarshelf/detail/settings/settings_version.hpp" // formatVersion
#include "fulmarshelf/detail/shell/http_client.hpp"         // fetch
#include "node_pages.hpp"                                   // statusText
#include "platform_client.hpp"                              // PlatformClient

#include <nlohmann/json.hpp> // json
#include <sodium.h>          // sodium_init
#include <tclap/CmdLine.h>   // CmdLine

#include <algorithm>  // max
#include <cstdlib>    // getenv
#include <fstream>    // ifstream
#include <functional> // function
#include <iostream>   // cout, cerr
#include <map>        // map

namespace {

using namespace fulmarshelf;
using namespace fulmarshelf::cli;
using Json = nlohmann::json;

/// Exit codes; docs/CLI.md is the reference.
enum ExitCode : int {
  ExitDone = 0,
  ExitUsage = 1,
  ExitFaulty = 2,
  ExitConflict = 3,
  ExitUnreachable = 4,
  ExitMissing = 5,
};

constexpr std::chrono::milliseconds DefaultTimeout{3000};

struct Arguments {
  std::vector<std::string> Positional_; ///< arguments after the command name
  std::string Platform_;
  std::string Node_;
  std::string Entry_;
  std::string Author_;
  std::string Method_;
  std::string Caller_;
  std::uint64_t IfVersion_ = 0;
  bool HasIfVersion_ = false;
  bool Json_ = false;
};

using Command = std::function<int(const Arguments &)>;

struct CommandEntry {
  std::string Usage_;
  std::size_t ArgumentCount_ = 0; ///< number of required arguments
  Command Run_;
  bool AcceptsMore_ = false; ///< accepts more than the required arguments
};

int fail(ExitCode Code, const std::string &Text) {
  std::cerr << "fulmarshelf: " << Text << '\n';
  return Code;
}

int failWith(const Findings &Faults, ExitCode Code) {
  for (const Finding &Fault : Faults)
    std::cerr << toString(Fault) << '\n';
  return Code;
}

// Reads an address from a command-line option, or from the environment variable
// when the option is empty. Returns false when neither holds a valid address.
bool readEndpoint(const std::string &Option, const char *Variable,
                  Endpoint &Result) {
  const char *Environment = std::getenv(Variable);
  std::string Text = Option.empty() && Environment != nullptr
                         ? std::string(Environment)
                         : Option;
  return parseEndpoint(Text, Result);
}

template <typename Action> int withPlatform(const Arguments &Args, Action Run) {
  Endpoint Platform;
  if (!readEndpoint(Args.Platform_, "FULMARSHELF_PLATFORM", Platform))
    return fail(ExitUsage, "no valid platform address; give --platform IP:PORT "
                           "or set FULMARSHELF_PLATFORM");
  std::string Author = Args.Author_;
  const char *User = std::getenv("USER");
  if (Author.empty())
    Author = User == nullptr ? "unnamed" : User;
  return Run(PlatformClient(Platform, Author, DefaultTimeout));
}

int checkFile(const std::string &File, std::string &Text) {
  Checked<std::string> Content = readTextFile(File);
  if (!Content)
    return failWith(Content.error(), ExitFaulty);
  Text = Content.value();
  Checked<TeamSettings> Parsed = parseTeamSettings(File, Text);
  if (!Parsed)
    return failWith(Parsed.error(), ExitFaulty);
  return ExitDone;
}

int runCheck(const Arguments &Args) {
  std::string Text;
  int Code = checkFile(Args.Positional_[0], Text);
  if (Code == ExitDone)
    std::cout << Args.Positional_[0] << ": no faults\n";
  return Code;
}

// A service belongs to one team only, so settings that claim a service of
// another team are rejected before the write.
Findings findForeignServices(const std::string &File, const std::string &Path,
                             const std::string &Text,
                             const std::vector<SubtreeVersion> &Others) {
  Findings Faults;
  Checked<TeamSettings> NewSettings = parseTeamSettings(File, Text);
  for (const SubtreeVersion &Other : Others) {
    Checked<TeamSettings> OtherSettings =
        parseTeamSettings(Other.Path_, Other.Text_);
    if (Other.Path_ == Path || !OtherSettings || !NewSettings)
      continue;
    for (const std::string &Service : NewSettings.value().Services_)
      for (const std::string &Claimed : OtherSettings.value().Services_)
        if (Service == Claimed)
          Faults.push_back({File, 0, ErrorCode::ForeignService,
                            "service '" + Service + "' belongs to " +
                                Other.Path_ +
                                "; a service can belong to one team only"});
  }
  return Faults;
}

struct WriteReporter {
  std::string Path_;

  int operator()(const WriteApplied &Result) const {
    std::cout << Path_ << ": accepted as version "
              << formatVersion(Result.Version_)
              << (Result.ConfirmedByRead_
                      ? " (the platform's answer was lost; settled by "
                        "reading the object back)"
                      : "")
              << '\n';
    return ExitDone;
  }
  int operator()(const WriteConflict &Result) const {
    std::cerr << "fulmarshelf: error 202 version-conflict: " << Path_
              << " is at version " << formatVersion(Result.Version_)
              << ", written by " << Result.Author_
              << "; nothing was changed. Read it, merge, apply again.\n";
    return ExitConflict;
  }
  int operator()(const WriteFailed &Result) const {
    std::cerr << "fulmarshelf: error " << static_cast<unsigned>(Result.Code_)
              << ' ' << errorName(Result.Code_) << ": " << Result.Detail_
              << (Result.MayHaveApplied_
                      ? "; the change may have taken effect: read the settings "
                        "back before you repeat it"
                      : "; nothing was changed")
              << '\n';
    return ExitUnreachable;
  }
};

int writeText(const PlatformClient &Client, const Arguments &Args,
              const std::string &Path, const std::string &File,
              const std::string &Text) {
  Checked<std::vector<SubtreeVersion>> Others = Client.readAll();
  if (!Others)
    return failWith(Others.error(), ExitUnreachable);
  Findings Faults = findForeignServices(File, Path, Text, Others.value());
  if (!Faults.empty())
    return failWith(Faults, ExitFaulty);
  std::uint64_t IfVersion = Args.IfVersion_;
  if (!Args.HasIfVersion_)
    for (const SubtreeVersion &Current : Others.value())
      if (Current.Path_ == Path)
        IfVersion = Current.Version_;
  return std::visit(WriteReporter{Path}, Client.write(Path, Text, IfVersion));
}

int runApply(const Arguments &Args) {
  const std::string &Path = Args.Positional_[0];
  const std::string &File = Args.Positional_[1];
  if (!isTeamPath(Path))
    return fail(ExitUsage,
                "'" + Path +
                    "' is not a valid team path; a path looks like /kwan");
  std::string Text;
  int Code = checkFile(File, Text);
  if (Code != ExitDone)
    return Code;
  return withPlatform(Args, [&](const PlatformClient &Client) {
    return writeText(Client, Args, Path, File, Text);
  });
}

int runUndo(const Arguments &Args) {
  const std::string &Path = Args.Positional_[0];
  return withPlatform(Args, [&](const PlatformClient &Client) {
    Checked<StoredSettings> Stored = Client.read(Path);
    if (!Stored)
      return failWith(Stored.error(), ExitUnreachable);
    if (Stored.value().Document_.Previous_.empty())
      return fail(ExitMissing, Path + " has no previous text to restore");
    return std::visit(WriteReporter{Path},
                      Client.write(Path, Stored.value().Document_.Previous_,
                                   Stored.value().Version_));
  });
}

int runGet(const Arguments &Args) {
  const std::string &Path = Args.Positional_[0];
  return withPlatform(Args, [&](const PlatformClient &Client) {
    Checked<StoredSettings> Stored = Client.read(Path);
    if (!Stored)
      return failWith(Stored.error(), ExitUnreachable);
    if (!Stored.value().Exists_)
      return fail(ExitMissing, "no settings at " + Path +
                                   "; settings list prints all paths");
    const SettingsDocument &Document = Stored.value().Document_;
    std::cout << "; " << Path << " version "
              << formatVersion(Stored.value().Version_);
    if (!Document.Writes_.empty())
      std::cout << " by " << Document.Writes_.front().Author_;
    std::cout << '\n' << Document.Text_;
    return static_cast<int>(ExitDone);
  });
}

int runRemove(const Arguments &Args) {
  const std::string &Path = Args.Positional_[0];
  if (!Args.HasIfVersion_)
    return fail(ExitUsage, "settings remove needs --if-version N, the version "
                           "to remove; settings get " +
                               Path + " prints it");
  return withPlatform(Args, [&](const PlatformClient &Client) {
    return std::visit(WriteReporter{Path},
                      Client.remove(Path, Args.IfVersion_));
  });
}

int runList(const Arguments &Args) {
  return withPlatform(Args, [&](const PlatformClient &Client) {
    Checked<std::vector<SubtreeVersion>> All = Client.readAll();
    if (!All)
      return failWith(All.error(), ExitUnreachable);
    for (const SubtreeVersion &Subtree : All.value())
      std::cout << Subtree.Path_ << " version "
                << formatVersion(Subtree.Version_) << '\n';
    return static_cast<int>(ExitDone);
  });
}

std::optional<std::string> readPage(const Endpoint &Address,
                                    const std::string &Target) {
  HttpResult Result = fetch(Address, {"GET", Target, {}, {}}, DefaultTimeout);
  const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
  if (Response == nullptr || Response->Status_ != 200)
    return std::nullopt;
  return Response->Body_;
}

// Version that a node has in force for a path.
struct NodeVersion {
  bool Reached_ = false;      ///< the node's status page could be read
  std::uint64_t Version_ = 0; ///< 0: the node has no settings for the path
};

NodeVersion versionAt(const Endpoint &Node, const std::string &Path) {
  std::optional<std::string> Page = readPage(Node, "/status");
  Json Status = Json::parse(Page.value_or(""), nullptr, false);
  if (!Status.is_object())
    return {};
  for (const Json &Subtree : Status["settings"])
    if (Subtree["path"] == Path && !Subtree["deleted"].get<bool>())
      return {true, Subtree["version"].get<std::uint64_t>()};
  return {true, 0};
}

// True for a version of an earlier era that is newer than the stored one.
bool isLost(const NodeVersion &Node, const StoredSettings &Stored) {
  return Node.Version_ > Stored.Version_ && Stored.Era_ &&
         positionOf(Node.Version_).Era_ < *Stored.Era_;
}

std::string describe(const NodeVersion &Node, const StoredSettings &Stored) {
  if (!Node.Reached_)
    return "unreachable (behind)";
  std::string Text = Node.Version_ == 0 ? "none" : formatVersion(Node.Version_);
  if (Node.Version_ == Stored.Version_)
    return Text;
  if (isLost(Node, Stored))
    return Text + " (not in the store)";
  return Text + (Node.Version_ > Stored.Version_ ? " (newer)" : " (behind)");
}

int runInForce(const Arguments &Args) {
  const std::string &Path = Args.Positional_[0];
  return withPlatform(Args, [&](const PlatformClient &Client) {
    Checked<StoredSettings> Stored = Client.read(Path);
    Checked<std::vector<NodeAddresses>> Nodes = Client.readNodes();
    if (!Stored || !Nodes)
      return fail(ExitUnreachable,
                  "the platform did not return the settings and the list of "
                  "nodes; check the platform address");
    std::uint64_t Accepted = Stored.value().Version_;
    std::size_t InForceCount = 0;
    std::uint64_t Lost = 0;
    for (const NodeAddresses &Node : Nodes.value()) {
      NodeVersion InForce = versionAt(Node.Operator_, Path);
      InForceCount += InForce.Reached_ && InForce.Version_ == Accepted ? 1 : 0;
      if (isLost(InForce, Stored.value()))
        Lost = std::max(Lost, InForce.Version_);
      std::cout << toString(Node.Operator_) << " version "
                << describe(InForce, Stored.value()) << '\n';
    }
    std::cout << Path << ": accepted version " << formatVersion(Accepted)
              << ", in force on " << InForceCount << " of "
              << Nodes.value().size() << " nodes\n";
    if (Lost != 0)
      std::cout << Path << ": the store has lost version "
                << formatVersion(Lost)
                << ", which nodes keep in force; apply the settings again\n";
    return static_cast<int>(
        InForceCount == Nodes.value().size() ? ExitDone : ExitConflict);
  });
}

// Runs an action on the operator address of the node that the arguments name.
int withNode(const Arguments &Args,
             const std::function<int(const Endpoint &)> &Action) {
  Endpoint Node;
  if (!readEndpoint(Args.Node_, "FULMARSHELF_NODE", Node))
    return fail(ExitUsage, "no valid operator address of a node; give --node "
                           "IP:PORT or set FULMARSHELF_NODE");
  return Action(Node);
}

// Runs an action on the status page of the node that the arguments name.
int withStatus(const Arguments &Args,
               const std::function<void(const Json &)> &Action) {
  return withNode(Args, [&Action](const Endpoint &Node) {
    std::optional<std::string> Page = readPage(Node, "/status");
    if (!Page)
      return fail(ExitUnreachable,
                  "node " + toString(Node) +
                      " did not answer GET /status with 200 within " +
                      std::to_string(DefaultTimeout.count()) +
                      " ms; check that this is its operator address");
    Action(Json::parse(*Page));
    return static_cast<int>(ExitDone);
  });
}

int runEffective(const Arguments &Args) {
  return withNode(Args, [&Args](const Endpoint &Node) {
    std::string Target = "/effective?path=" + Args.Positional_[0] +
                         "&method=" + Args.Method_ + "&caller=" + Args.Caller_;
    std::optional<std::string> Page = readPage(Node, Target);
    Json Rules = Json::parse(Page.value_or(""), nullptr, false);
    if (!Rules.is_object())
      return fail(ExitMissing, "node " + toString(Node) +
                                   " has no settings for " +
                                   Args.Positional_[0] + ", or did not answer");
    for (auto Rule = Rules.begin(); Rule != Rules.end(); ++Rule)
      std::cout << Rule.key() << " = " << Rule.value() << '\n';
    return static_cast<int>(ExitDone);
  });
}

int runStatus(const Arguments &Args) {
  return withStatus(Args, [&Args](const Json &Status) {
    std::cout << (Args.Json_ ? Status.dump(1) + "\n" : statusText(Status));
  });
}

int runBackends(const Arguments &Args) {
  return withStatus(Args, [&Args](const Json &Status) {
    Json Rows = backendRows(Status);
    std::cout << (Args.Json_ ? Rows.dump(1) + "\n" : backendTable(Rows));
  });
}

int runQuarantineList(const Arguments &Args) {
  return withStatus(Args, [&Args](const Json &Status) {
    const Json &Requests = Status.at("quarantine");
    std::cout << (Args.Json_ ? Requests.dump(1) + "\n"
                             : quarantineText(Requests));
  });
}

int runQuarantineRelease(const Arguments &Args) {
  return withNode(Args, [&Args](const Endpoint &Node) {
    HttpResult Result = fetch(
        Node,
        {"POST", "/quarantine/release?request=" + Args.Positional_[0], {}, {}},
        DefaultTimeout);
    const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
    if (Response == nullptr)
      return fail(ExitUnreachable, "node " + toString(Node) +
                                       " did not answer; check that this is "
                                       "its operator address");
    if (Response->Status_ == 400)
      return fail(ExitUsage, Response->Body_);
    if (Response->Status_ != 200)
      return fail(ExitMissing, Response->Body_);
    std::cout << Response->Body_;
    return static_cast<int>(ExitDone);
  });
}

int runRoutes(const Arguments &Args) {
  return withNode(Args, [](const Endpoint &Node) {
    std::optional<std::string> Page = readPage(Node, "/routes");
    if (!Page)
      return fail(ExitMissing, "node " + toString(Node) +
                                   " has no route table, or did not answer");
    std::cout << *Page;
    return static_cast<int>(ExitDone);
  });
}

int runExplain(const Arguments &Args) {
  std::vector<LogLine> Lines;
  for (std::size_t Index = 1; Index < Args.Positional_.size(); ++Index) {
    std::ifstream File(Args.Positional_[Index]);
    if (!File)
      return fail(ExitMissing,
                  Args.Positional_[Index] +
                      " cannot be read; check the path and its permissions");
    std::string Text;
    LogLine Line;
    while (std::getline(File, Text))
      if (parseLogLine(Text, Line))
        Lines.push_back(Line);
  }
  std::vector<LogLine> RequestLines =
      linesOfRequest(Args.Positional_[0], Lines);
  for (const LogLine &Line : RequestLines)
    std::cout << Line.Text_ << '\n';
  for (const std::string &Warning : clockSkewWarnings(RequestLines))
    std::cout << Warning << '\n';
  if (RequestLines.empty())
    return fail(ExitMissing,
                "no log line refers to request " + Args.Positional_[0] +
                    "; a node logs lines-omitted when it drops lines");
  return ExitDone;
}

int runTicket(const Arguments &Args) {
  Endpoint Entry;
  if (!readEndpoint(Args.Entry_, "FULMARSHELF_ENTRY", Entry))
    return fail(ExitUsage, "no valid caller address of a node; give --entry "
                           "IP:PORT or set FULMARSHELF_ENTRY");
  std::optional<std::string> Page = readPage(Entry, "/_fulmarshelf/ticket");
  if (!Page)
    return fail(
        ExitUnreachable,
        "node " + toString(Entry) +
            " did not issue a ticket; check that this is its caller address");
  std::cout << *Page;
  return ExitDone;
}

const std::map<std::string, CommandEntry> &commands() {
  static const std::map<std::string, CommandEntry> Table = {
      {"settings check", {"FILE", 1, &runCheck}},
      {"settings apply", {"/PATH FILE [--if-version N]", 2, &runApply}},
      {"settings get", {"/PATH", 1, &runGet}},
      {"settings list", {"", 0, &runList}},
      {"settings undo", {"/PATH", 1, &runUndo}},
      {"settings remove", {"/PATH --if-version N", 1, &runRemove}},
      {"settings in-force", {"/PATH", 1, &runInForce}},
      {"settings effective",
       {"/SERVICE/PATH [--method M] [--caller KIND] --node EP", 1,
        &runEffective}},
      {"status", {"--node EP [--json]", 0, &runStatus}},
      {"backends", {"--node EP [--json]", 0, &runBackends}},
      {"quarantine list", {"--node EP [--json]", 0, &runQuarantineList}},
      {"quarantine release", {"REQUEST --node EP", 1, &runQuarantineRelease}},
      {"routes", {"--node EP", 0, &runRoutes}},
      {"explain", {"REQUEST-ID FILE [FILE ...]", 2, &runExplain, true}},
      {"ticket", {"--entry EP", 0, &runTicket}}};
  return Table;
}

int printHelp() {
  std::cout << "usage: fulmarshelf COMMAND [ARGUMENTS] [--help]\n\n";
  for (const std::pair<const std::string, CommandEntry> &Entry : commands())
    std::cout << "  fulmarshelf " << Entry.first << ' ' << Entry.second.Usage_
              << '\n';
  std::cout
      << "\nEP is an address, IP:PORT.\nenvironment: FULMARSHELF_PLATFORM, "
         "FULMARSHELF_NODE, FULMARSHELF_ENTRY (defaults of --platform, "
         "--node, --entry)\nexit codes: 0 done, 1 wrong usage, 2 settings "
         "have faults, 3 version conflict or nodes behind, 4 platform "
         "or node unreachable, 5 not found\n";
  return ExitDone;
}

Arguments parseArguments(const std::string &Name, const CommandEntry &Entry,
                         std::vector<std::string> Words) {
  TCLAP::CmdLine Line("fulmarshelf " + Name + " " + Entry.Usage_, ' ', "0.1");
  Line.setExceptionHandling(true);
  TCLAP::ValueArg<std::string> Platform(
      "p", "platform",
      "address of the platform's store; default FULMARSHELF_PLATFORM", false,
      "", "endpoint", Line);
  TCLAP::ValueArg<std::string> Node(
      "n", "node", "operator address of a node; default FULMARSHELF_NODE",
      false, "", "endpoint", Line);
  TCLAP::ValueArg<std::string> EntryNode(
      "e", "entry", "caller address of a node; default FULMARSHELF_ENTRY",
      false, "", "endpoint", Line);
  TCLAP::ValueArg<std::string> Author(
      "a", "author", "author stored with a change; default USER", false, "",
      "name", Line);
  TCLAP::ValueArg<std::string> Method("m", "method",
                                      "HTTP method of the request", false,
                                      "GET", "method", Line);
  TCLAP::ValueArg<std::string> Caller(
      "c", "caller", "caller kind, as in a [caller KIND] section", false, "",
      "kind", Line);
  TCLAP::ValueArg<std::string> IfVersion(
      "i", "if-version",
      "change the settings only if this is still their version", false, "0",
      "version", Line);
  TCLAP::SwitchArg AsJson("j", "json", "print JSON instead of text", Line);
  TCLAP::UnlabeledMultiArg<std::string> Rest("words", "arguments", false,
                                             "text", Line);
  Words.insert(Words.begin(), "fulmarshelf " + Name);
  Line.parse(Words);
  Arguments Args;
  Args.Positional_ = Rest.getValue();
  Args.Platform_ = Platform.getValue();
  Args.Node_ = Node.getValue();
  Args.Entry_ = EntryNode.getValue();
  Args.Author_ = Author.getValue();
  Args.Method_ = Method.getValue();
  Args.Caller_ = Caller.getValue();
  std::optional<std::uint64_t> Version = parseVersion(IfVersion.getValue());
  if (!Version)
    throw TCLAP::ArgException("'" + IfVersion.getValue() +
                                  "' is no version such as 14 or 2.14",
                              "if-version");
  Args.IfVersion_ = *Version;
  Args.HasIfVersion_ = IfVersion.isSet();
  Args.Json_ = AsJson.getValue();
  return Args;
}

} // namespace

int main(int Count, char **Values) {
  std::vector<std::string> Words(Values + 1, Values + Count);
  if (Words.empty() || Words[0] == "--help" || Words[0] == "-h")
    return Words.empty() ? (printHelp(), ExitUsage) : printHelp();
  if (sodium_init() < 0)
    return ExitUsage;
  for (std::size_t Length : {std::size_t{2}, std::size_t{1}}) {
    if (Words.size() < Length)
      continue;
    std::string Name = Words[0] + (Length == 2 ? " " + Words[1] : "");
    auto Match = commands().find(Name);
    if (Match == commands().end())
      continue;
    std::vector<std::string> Rest(
        Words.begin() + static_cast<std::ptrdiff_t>(Length), Words.end());
    Arguments Args = parseArguments(Name, Match->second, Rest);
    bool CountMatches =
        Match->second.AcceptsMore_
            ? Args.Positional_.size() >= Match->second.ArgumentCount_
            : Args.Positional_.size() == Match->second.ArgumentCount_;
    if (!CountMatches)
      return fail(ExitUsage,
                  "usage: fulmarshelf " + Name + " " + Match->second.Usage_);
    return Match->second.Run_(Args);
  }
  return fail(ExitUsage, "unknown command '" + Words[0] +
                             (Words.size() > 1 ? " " + Words[1] : "") +
                             "'; fulmarshelf --help lists the commands");
}
