#include "backends.hpp"                             // backendRows
#include "explain.hpp"                              // linesAbout
#include "fulmarshelf/detail/shell/http_client.hpp" // fetch
#include "platform_client.hpp"                      // PlatformClient

#include <nlohmann/json.hpp> // json
#include <sodium.h>          // sodium_init
#include <tclap/CmdLine.h>   // CmdLine

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
  std::vector<std::string> Words_; ///< after the command's own words
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
  std::size_t Words_ = 0; ///< arguments that it needs
  Command Run_;
  bool MayHaveMore_ = false; ///< takes further arguments
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

// A place from an option or from the environment.
bool readPlace(const std::string &Given, const char *Variable,
               Endpoint &Result) {
  const char *Environment = std::getenv(Variable);
  std::string Text = Given.empty() && Environment != nullptr
                         ? std::string(Environment)
                         : Given;
  return parseEndpoint(Text, Result);
}

template <typename Action>
int withPlatform(const Arguments &Given, Action Run) {
  Endpoint Platform;
  if (!readPlace(Given.Platform_, "FULMARSHELF_PLATFORM", Platform))
    return fail(ExitUsage, "needs --platform or FULMARSHELF_PLATFORM");
  std::string Author = Given.Author_;
  const char *User = std::getenv("USER");
  if (Author.empty())
    Author = User == nullptr ? "unnamed" : User;
  return Run(PlatformClient(Platform, Author, DefaultTimeout));
}

int checkFile(const std::string &File, std::string &Text) {
  Checked<std::string> Read = readTextFile(File);
  if (!Read)
    return failWith(Read.error(), ExitFaulty);
  Text = Read.value();
  Checked<TeamSettings> Parsed = parseTeamSettings(File, Text);
  if (!Parsed)
    return failWith(Parsed.error(), ExitFaulty);
  return ExitDone;
}

int runCheck(const Arguments &Given) {
  std::string Text;
  int Code = checkFile(Given.Words_[0], Text);
  if (Code == ExitDone)
    std::cout << Given.Words_[0] << ": no faults\n";
  return Code;
}

// A service belongs to one team; a second claim is refused before the write.
Findings findForeignServices(const std::string &File, const std::string &Path,
                             const std::string &Text,
                             const std::vector<SubtreeVersion> &Others) {
  Findings Faults;
  Checked<TeamSettings> Own = parseTeamSettings(File, Text);
  for (const SubtreeVersion &Other : Others) {
    Checked<TeamSettings> Theirs = parseTeamSettings(Other.Path_, Other.Text_);
    if (Other.Path_ == Path || !Theirs || !Own)
      continue;
    for (const std::string &Service : Own.value().Services_)
      for (const std::string &Claimed : Theirs.value().Services_)
        if (Service == Claimed)
          Faults.push_back(
              {File, 0, ErrorCode::ForeignService,
               "service '" + Service + "' belongs to " + Other.Path_});
  }
  return Faults;
}

struct WriteReporter {
  std::string Path_;

  int operator()(const WriteApplied &Result) const {
    std::cout << Path_ << ": accepted as version " << Result.Version_
              << (Result.Settled_ ? " (the answer was lost; settled by reading "
                                    "back)"
                                  : "")
              << '\n';
    return ExitDone;
  }
  int operator()(const WriteConflict &Result) const {
    std::cerr << "fulmarshelf: error 202 version-conflict: " << Path_
              << " is at version " << Result.Version_ << ", written by "
              << Result.Author_
              << "; nothing was changed. Read it, merge, apply again.\n";
    return ExitConflict;
  }
  int operator()(const WriteFailed &Result) const {
    std::cerr << "fulmarshelf: error " << static_cast<unsigned>(Result.Code_)
              << ' ' << errorName(Result.Code_) << ": " << Result.Detail_
              << (Result.MayHaveApplied_
                      ? "; the change may have taken effect: read it back"
                      : "; nothing was changed")
              << '\n';
    return ExitUnreachable;
  }
};

int writeText(const PlatformClient &Client, const Arguments &Given,
              const std::string &Path, const std::string &File,
              const std::string &Text) {
  Checked<std::vector<SubtreeVersion>> Others = Client.readAll();
  if (!Others)
    return failWith(Others.error(), ExitUnreachable);
  Findings Foreign = findForeignServices(File, Path, Text, Others.value());
  if (!Foreign.empty())
    return failWith(Foreign, ExitFaulty);
  std::uint64_t IfVersion = Given.IfVersion_;
  if (!Given.HasIfVersion_)
    for (const SubtreeVersion &Known : Others.value())
      if (Known.Path_ == Path)
        IfVersion = Known.Version_;
  return std::visit(WriteReporter{Path}, Client.write(Path, Text, IfVersion));
}

int runApply(const Arguments &Given) {
  const std::string &Path = Given.Words_[0];
  const std::string &File = Given.Words_[1];
  if (!isTeamPath(Path))
    return fail(ExitUsage, "'" + Path + "' is not a path such as /kwan");
  std::string Text;
  int Code = checkFile(File, Text);
  if (Code != ExitDone)
    return Code;
  return withPlatform(Given, [&](const PlatformClient &Client) {
    return writeText(Client, Given, Path, File, Text);
  });
}

int runUndo(const Arguments &Given) {
  const std::string &Path = Given.Words_[0];
  return withPlatform(Given, [&](const PlatformClient &Client) {
    Checked<StoredSettings> Stored = Client.read(Path);
    if (!Stored)
      return failWith(Stored.error(), ExitUnreachable);
    if (Stored.value().Document_.Previous_.empty())
      return fail(ExitMissing, Path + " has no text before the present one");
    return std::visit(WriteReporter{Path},
                      Client.write(Path, Stored.value().Document_.Previous_,
                                   Stored.value().Version_));
  });
}

int runGet(const Arguments &Given) {
  const std::string &Path = Given.Words_[0];
  return withPlatform(Given, [&](const PlatformClient &Client) {
    Checked<StoredSettings> Stored = Client.read(Path);
    if (!Stored)
      return failWith(Stored.error(), ExitUnreachable);
    if (!Stored.value().Exists_)
      return fail(ExitMissing, "no settings at " + Path);
    const SettingsDocument &Document = Stored.value().Document_;
    std::cout << "; " << Path << " version " << Stored.value().Version_;
    if (!Document.Writes_.empty())
      std::cout << " by " << Document.Writes_.front().Author_;
    std::cout << '\n' << Document.Text_;
    return static_cast<int>(ExitDone);
  });
}

int runRemove(const Arguments &Given) {
  const std::string &Path = Given.Words_[0];
  if (!Given.HasIfVersion_)
    return fail(ExitUsage, "settings remove needs --if-version");
  return withPlatform(Given, [&](const PlatformClient &Client) {
    return std::visit(WriteReporter{Path},
                      Client.remove(Path, Given.IfVersion_));
  });
}

int runList(const Arguments &Given) {
  return withPlatform(Given, [&](const PlatformClient &Client) {
    Checked<std::vector<SubtreeVersion>> All = Client.readAll();
    if (!All)
      return failWith(All.error(), ExitUnreachable);
    for (const SubtreeVersion &Item : All.value())
      std::cout << Item.Path_ << " version " << Item.Version_ << '\n';
    return static_cast<int>(ExitDone);
  });
}

std::optional<std::string> readPage(const Endpoint &Place,
                                    const std::string &Target) {
  HttpResult Result = fetch(Place, {"GET", Target, {}, {}}, DefaultTimeout);
  const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
  if (Response == nullptr || Response->Status_ != 200)
    return std::nullopt;
  return Response->Body_;
}

// Version of a path that one node has in force, as a text.
std::string versionAt(const Endpoint &Node, const std::string &Path) {
  std::optional<std::string> Page = readPage(Node, "/status");
  Json Status = Json::parse(Page.value_or(""), nullptr, false);
  if (!Status.is_object())
    return "unreachable";
  for (const Json &Item : Status["settings"])
    if (Item["path"] == Path)
      return std::to_string(Item["version"].get<std::uint64_t>());
  return "none";
}

int runInForce(const Arguments &Given) {
  const std::string &Path = Given.Words_[0];
  return withPlatform(Given, [&](const PlatformClient &Client) {
    Checked<StoredSettings> Stored = Client.read(Path);
    Checked<std::vector<NodeAddresses>> Nodes = Client.readNodes();
    if (!Stored || !Nodes)
      return fail(ExitUnreachable, "the platform does not answer");
    std::string Wanted = std::to_string(Stored.value().Version_);
    unsigned Behind = 0;
    for (const NodeAddresses &Node : Nodes.value()) {
      std::string Version = versionAt(Node.Operator_, Path);
      Behind += Version == Wanted ? 0 : 1;
      std::cout << toString(Node.Operator_) << " version " << Version
                << (Version == Wanted ? "" : " (behind)") << '\n';
    }
    std::cout << Path << ": accepted version " << Wanted << ", in force on "
              << Nodes.value().size() - Behind << " of " << Nodes.value().size()
              << " nodes\n";
    return static_cast<int>(Behind == 0 ? ExitDone : ExitConflict);
  });
}

int runEffective(const Arguments &Given) {
  Endpoint Node;
  if (!readPlace(Given.Node_, "FULMARSHELF_NODE", Node))
    return fail(ExitUsage, "needs --node or FULMARSHELF_NODE");
  std::string Target = "/effective?path=" + Given.Words_[0] +
                       "&method=" + Given.Method_ + "&caller=" + Given.Caller_;
  std::optional<std::string> Page = readPage(Node, Target);
  Json Rules = Json::parse(Page.value_or(""), nullptr, false);
  if (!Rules.is_object())
    return fail(ExitMissing, "the node has no settings for " + Given.Words_[0] +
                                 ", or does not answer");
  for (auto Item = Rules.begin(); Item != Rules.end(); ++Item)
    std::cout << Item.key() << " = " << Item.value() << '\n';
  return ExitDone;
}

void printStatus(const Json &Status) {
  std::cout << "node " << Status["node"].get<std::string>() << " is "
            << Status["phase"].get<std::string>() << " in "
            << Status["region"].get<std::string>() << "/"
            << Status["failure_domain"].get<std::string>() << '\n';
  std::cout << "shedding: " << Status["shedding"].get<std::string>() << '\n';
  std::cout << "backend server: ";
  if (Status["backend"].is_null())
    std::cout << "none has announced itself\n";
  else
    std::cout << Status["backend"]["service"].get<std::string>() << " at "
              << Status["backend"]["address"].get<std::string>() << ", "
              << Status["running"] << " of " << Status["limit"]
              << " calls run (slots " << Status["backend"]["slots"] << "), "
              << Status["queued"] << " wait"
              << (Status["backend"]["draining"].get<bool>() ? ", draining" : "")
              << (Status["backend"].contains("instance")
                      ? ", instance " +
                            Status["backend"]["instance"].get<std::string>()
                      : std::string())
              << '\n';
  if (Status.contains("unreadable"))
    std::cout << "newest routes cannot be read: "
              << Status["unreadable"].get<std::string>() << '\n';
  std::cout << "settings in force:\n";
  for (const Json &Item : Status["settings"])
    std::cout << "  " << Item["path"].get<std::string>() << " version "
              << Item["version"]
              << (Item["deleted"].get<bool>() ? " (deleted)" : "") << '\n';
  std::cout << "answers by importance:\n";
  for (const Json &Item : Status["by_importance"])
    if (Item["answered"] != 0 || Item["refused"] != 0)
      std::cout << "  " << Item["importance"] << ": " << Item["answered"]
                << " answered, " << Item["refused"] << " refused\n";
  std::cout << "other nodes:\n";
  for (const Json &Item : Status["members"])
    std::cout << "  " << Item["node"].get<std::string>() << ' '
              << Item["status"].get<std::string>() << ' '
              << Item["service"].get<std::string>() << '\n';
}

int runStatus(const Arguments &Given) {
  Endpoint Node;
  if (!readPlace(Given.Node_, "FULMARSHELF_NODE", Node))
    return fail(ExitUsage, "needs --node or FULMARSHELF_NODE");
  std::optional<std::string> Page = readPage(Node, "/status");
  if (!Page)
    return fail(ExitUnreachable, toString(Node) + " does not answer");
  if (Given.Json_)
    std::cout << *Page;
  else
    printStatus(Json::parse(*Page));
  return ExitDone;
}

int runBackends(const Arguments &Given) {
  Endpoint Node;
  if (!readPlace(Given.Node_, "FULMARSHELF_NODE", Node))
    return fail(ExitUsage, "needs --node or FULMARSHELF_NODE");
  std::optional<std::string> Page = readPage(Node, "/status");
  if (!Page)
    return fail(ExitUnreachable, toString(Node) + " does not answer");
  Json Rows = backendRows(Json::parse(*Page));
  std::cout << (Given.Json_ ? Rows.dump(1) + "\n" : backendTable(Rows));
  return ExitDone;
}

int runRoutes(const Arguments &Given) {
  Endpoint Node;
  if (!readPlace(Given.Node_, "FULMARSHELF_NODE", Node))
    return fail(ExitUsage, "needs --node or FULMARSHELF_NODE");
  std::optional<std::string> Page = readPage(Node, "/routes");
  if (!Page)
    return fail(ExitMissing,
                toString(Node) + " has no route table, or does not answer");
  std::cout << *Page;
  return ExitDone;
}

int runExplain(const Arguments &Given) {
  std::vector<LogLine> Lines;
  for (std::size_t Index = 1; Index < Given.Words_.size(); ++Index) {
    std::ifstream File(Given.Words_[Index]);
    if (!File)
      return fail(ExitMissing, Given.Words_[Index] + " cannot be read");
    std::string Text;
    LogLine Line;
    while (std::getline(File, Text))
      if (parseLogLine(Text, Line))
        Lines.push_back(Line);
  }
  std::vector<LogLine> Story = linesAbout(Given.Words_[0], Lines);
  for (const LogLine &Line : Story)
    std::cout << Line.Text_ << '\n';
  for (const std::string &Finding : clockFindings(Story))
    std::cout << Finding << '\n';
  if (Story.empty())
    return fail(ExitMissing, "no line about " + Given.Words_[0] +
                                 "; lines may have been left out, see "
                                 "lines-omitted");
  return ExitDone;
}

int runTicket(const Arguments &Given) {
  Endpoint Entry;
  if (!readPlace(Given.Entry_, "FULMARSHELF_ENTRY", Entry))
    return fail(ExitUsage, "needs --entry or FULMARSHELF_ENTRY");
  std::optional<std::string> Page = readPage(Entry, "/_fulmarshelf/ticket");
  if (!Page)
    return fail(ExitUnreachable, toString(Entry) + " gives no ticket");
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
  std::cout << "\nenvironment: FULMARSHELF_PLATFORM, FULMARSHELF_NODE, "
               "FULMARSHELF_ENTRY\nexit codes: 0 done, 1 usage, 2 settings "
               "have faults, 3 version conflict or nodes behind, 4 platform "
               "or node unreachable, 5 nothing there\n";
  return ExitDone;
}

Arguments parseArguments(const std::string &Name, const CommandEntry &Entry,
                         std::vector<std::string> Words) {
  TCLAP::CmdLine Line("fulmarshelf " + Name + " " + Entry.Usage_, ' ', "0.1");
  Line.setExceptionHandling(true);
  TCLAP::ValueArg<std::string> Platform("p", "platform", "platform address",
                                        false, "", "endpoint", Line);
  TCLAP::ValueArg<std::string> Node("n", "node", "operator address of a node",
                                    false, "", "endpoint", Line);
  TCLAP::ValueArg<std::string> Entrance(
      "e", "entry", "caller address of a node", false, "", "endpoint", Line);
  TCLAP::ValueArg<std::string> Author("a", "author", "name of the operator",
                                      false, "", "name", Line);
  TCLAP::ValueArg<std::string> Method("m", "method", "HTTP method", false,
                                      "GET", "method", Line);
  TCLAP::ValueArg<std::string> Caller("c", "caller", "kind of caller", false,
                                      "", "kind", Line);
  TCLAP::ValueArg<std::uint64_t> IfVersion(
      "i", "if-version", "version that the change is based on", false, 0,
      "number", Line);
  TCLAP::SwitchArg AsJson("j", "json", "print the node's own JSON", Line);
  TCLAP::UnlabeledMultiArg<std::string> Rest("words", "arguments", false,
                                             "text", Line);
  Words.insert(Words.begin(), "fulmarshelf " + Name);
  Line.parse(Words);
  Arguments Given;
  Given.Words_ = Rest.getValue();
  Given.Platform_ = Platform.getValue();
  Given.Node_ = Node.getValue();
  Given.Entry_ = Entrance.getValue();
  Given.Author_ = Author.getValue();
  Given.Method_ = Method.getValue();
  Given.Caller_ = Caller.getValue();
  Given.IfVersion_ = IfVersion.getValue();
  Given.HasIfVersion_ = IfVersion.isSet();
  Given.Json_ = AsJson.getValue();
  return Given;
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
    auto Found = commands().find(Name);
    if (Found == commands().end())
      continue;
    std::vector<std::string> Rest(
        Words.begin() + static_cast<std::ptrdiff_t>(Length), Words.end());
    Arguments Given = parseArguments(Name, Found->second, Rest);
    bool Good = Found->second.MayHaveMore_
                    ? Given.Words_.size() >= Found->second.Words_
                    : Given.Words_.size() == Found->second.Words_;
    if (!Good)
      return fail(ExitUsage,
                  "usage: fulmarshelf " + Name + " " + Found->second.Usage_);
    return Found->second.Run_(Given);
  }
  return fail(ExitUsage, "no such command; see fulmarshelf --help");
}
