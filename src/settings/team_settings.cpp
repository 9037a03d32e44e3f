#include "fulmarshelf/detail/settings/team_settings.hpp"

#include "fulmarshelf/detail/settings/ini.hpp"        // parseIni
#include "fulmarshelf/detail/settings/key_reader.hpp" // KeyReader

#include <algorithm> // all_of, count, find

namespace fulmarshelf {

namespace {

constexpr std::uint64_t MaxImportance = 9;
constexpr std::uint64_t MaxPatienceMs = 60'000;
constexpr std::uint64_t MaxRetries = 16;
constexpr std::uint64_t MaxBodyKilobytes = 1024;
constexpr std::uint64_t MaxRetrySharePercent = 50;
constexpr std::size_t MaxNameLength = 32;
constexpr std::size_t MaxPathLength = 64;
constexpr std::ptrdiff_t MaxPathDepth = 4;

// Rule of isName(), for error messages.
constexpr const char *NameRule =
    "must have 1 to 32 lower-case letters, digits or dashes";

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), [](char Letter) {
           return (Letter >= 'a' && Letter <= 'z') ||
                  (Letter >= '0' && Letter <= '9') || Letter == '-';
         });
}

// Reads the sections of one team's settings into a TeamSettings object.
class TeamReader {
public:
  TeamReader(const std::string &File, const std::vector<IniSection> &Sections)
      : File_(File), Sections_(Sections) {}

  Checked<TeamSettings> read() {
    readTeam();
    for (const IniSection &Section : Sections_)
      readSection(Section);
    if (!Faults_.empty())
      return Faults_;
    return Result_;
  }

private:
  void readTeam() {
    for (const IniSection &Section : Sections_) {
      if (Section.Name_ != "team")
        continue;
      KeyReader Keys(File_, Section, Faults_);
      Keys.require("services");
      Result_.Services_ = Keys.list("services");
      for (const std::string &Service : Result_.Services_)
        if (!isName(Service))
          Keys.addFinding("services", ErrorCode::BadValue,
                          "service name '" + Service + "' " + NameRule);
      Keys.reportUnknownKeys();
      return;
    }
    Faults_.push_back({File_, 0, ErrorCode::MissingKey,
                       "required section [team] is missing"});
  }

  void readSection(const IniSection &Section) {
    std::vector<std::string> Words = splitList(Section.Name_, ' ');
    if (Section.Name_ == "team")
      return;
    KeyReader Keys(File_, Section, Faults_);
    if (Section.Name_ == "defaults")
      Result_.Defaults_ = readRules(Keys);
    else if (Words[0] == "service" && Words.size() == 2)
      readService(Keys, Words[1]);
    else if (Words[0] == "route" && Words.size() == 3)
      readRoute(Keys, Words[1], Words[2]);
    else if (Words[0] == "caller" && Words.size() == 2)
      readCaller(Keys, Words[1]);
    else {
      Keys.addFinding("", ErrorCode::UnknownSection,
                      "section [" + Section.Name_ +
                          "] is none of [team], [defaults], [service NAME], "
                          "[route NAME /PREFIX], [caller NAME]");
      return;
    }
    Keys.reportUnknownKeys();
  }

  CallRules readRules(KeyReader &Keys) {
    CallRules Rules;
    if (std::optional<std::uint64_t> Value =
            Keys.number("importance", 0, MaxImportance))
      Rules.Importance_ = static_cast<unsigned>(*Value);
    Rules.Idempotent_ = Keys.flag("idempotent");
    Rules.Patience_ = Keys.duration("patience-ms", 1, MaxPatienceMs);
    Rules.Retries_ = readRetries(Keys);
    if (std::optional<std::uint64_t> Value =
            Keys.number("max-body-kb", 1, MaxBodyKilobytes))
      Rules.MaxBodyBytes_ = *Value * 1024;
    if (std::optional<std::uint64_t> Value =
            Keys.number("retry-share-percent", 0, MaxRetrySharePercent))
      Rules.RetrySharePercent_ = static_cast<unsigned>(*Value);
    return Rules;
  }

  static std::optional<std::uint32_t> readRetries(KeyReader &Keys) {
    std::optional<std::uint64_t> Value = Keys.number("retries", 0, MaxRetries);
    if (!Value)
      return std::nullopt;
    return static_cast<std::uint32_t>(*Value);
  }

  void checkTeamHasService(KeyReader &Keys, const std::string &Service) {
    const std::vector<std::string> &TeamServices = Result_.Services_;
    if (std::find(TeamServices.begin(), TeamServices.end(), Service) ==
        TeamServices.end())
      Keys.addFinding(
          "", ErrorCode::ForeignService,
          "service '" + Service +
              "' is not in 'services' of section [team]; add it there "
              "or remove this section");
  }

  void readService(KeyReader &Keys, const std::string &Service) {
    checkTeamHasService(Keys, Service);
    Result_.ServiceRules_.push_back({Service, readRules(Keys)});
  }

  void readRoute(KeyReader &Keys, const std::string &Service,
                 const std::string &Prefix) {
    checkTeamHasService(Keys, Service);
    if (Prefix.front() != '/')
      Keys.addFinding("", ErrorCode::BadValue,
                      "the prefix of a route must begin with '/', but is '" +
                          Prefix + "'");
    RouteRules Route;
    Route.Service_ = Service;
    Route.Prefix_ = Prefix;
    Route.Methods_ = Keys.list("methods");
    Route.Rules_ = readRules(Keys);
    Result_.Routes_.push_back(Route);
  }

  void readCaller(KeyReader &Keys, const std::string &Caller) {
    if (!isName(Caller))
      Keys.addFinding("", ErrorCode::BadValue,
                      "caller kind '" + Caller + "' " + NameRule);
    CallerRules Rules;
    Rules.Caller_ = Caller;
    Rules.Patience_ = Keys.duration("patience-ms", 1, MaxPatienceMs);
    Rules.Retries_ = readRetries(Keys);
    Result_.Callers_.push_back(Rules);
  }

  const std::string &File_;
  const std::vector<IniSection> &Sections_;
  TeamSettings Result_;
  Findings Faults_;
};

} // namespace

Checked<TeamSettings> parseTeamSettings(const std::string &File,
                                        const std::string &Text) {
  Checked<std::vector<IniSection>> Sections = parseIni(File, Text);
  if (!Sections)
    return Sections.error();
  return TeamReader(File, Sections.value()).read();
}

bool isTeamPath(const std::string &Path) {
  if (Path.empty() || Path.front() != '/' || Path.size() > MaxPathLength)
    return false;
  if (std::count(Path.begin(), Path.end(), '/') > MaxPathDepth)
    return false;
  std::vector<std::string> Names = splitList(Path.substr(1), '/');
  return std::all_of(Names.begin(), Names.end(), isName);
}

} // namespace fulmarshelf
