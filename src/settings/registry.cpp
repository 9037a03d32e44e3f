#include "fulmarshelf/detail/settings/registry.hpp"

#include "fulmarshelf/detail/settings/settings_version.hpp" // formatVersion

#include <algorithm>  // find, min
#include <functional> // hash

namespace fulmarshelf {

namespace {

constexpr unsigned DefaultImportance = 3;
constexpr Micros DefaultPatience = millis(2000);
constexpr std::uint32_t DefaultRetries = 2;
constexpr std::uint64_t DefaultMaxBodyBytes = std::uint64_t{256} * 1024;
constexpr unsigned DefaultRetrySharePercent = 10;

bool isIdempotentMethod(const std::string &Method) {
  return Method == "GET" || Method == "HEAD" || Method == "PUT" ||
         Method == "OPTIONS";
}

bool matchesMethod(const RouteRules &Route, const std::string &Method) {
  return Route.Methods_.empty() ||
         std::find(Route.Methods_.begin(), Route.Methods_.end(), Method) !=
             Route.Methods_.end();
}

const RouteRules *findRouteRules(const TeamSettings &Settings,
                                 const std::string &Service,
                                 const std::string &Method,
                                 std::string_view Path) {
  std::string_view PathInService =
      Path.substr(std::min(Path.size(), Service.size() + 1));
  const RouteRules *Best = nullptr;
  for (const RouteRules &Route : Settings.Routes_) {
    if (Route.Service_ != Service || !matchesMethod(Route, Method) ||
        !PathInService.starts_with(Route.Prefix_))
      continue;
    if (Best == nullptr || Route.Prefix_.size() > Best->Prefix_.size())
      Best = &Route;
  }
  return Best;
}

template <typename T>
void overlay(std::optional<T> &Base, const std::optional<T> &Override) {
  if (Override)
    Base = Override;
}

void overlayRules(CallRules &Base, const CallRules &Override) {
  overlay(Base.Importance_, Override.Importance_);
  overlay(Base.Idempotent_, Override.Idempotent_);
  overlay(Base.Patience_, Override.Patience_);
  overlay(Base.Retries_, Override.Retries_);
  overlay(Base.MaxBodyBytes_, Override.MaxBodyBytes_);
  overlay(Base.RetrySharePercent_, Override.RetrySharePercent_);
}

// The time limit of a caller kind can only shorten the limit of the route.
void applyCaller(const TeamSettings &Settings, const std::string &Caller,
                 CallRules &Rules) {
  for (const CallerRules &Kind : Settings.Callers_) {
    if (Kind.Caller_ != Caller)
      continue;
    if (Kind.Patience_)
      Rules.Patience_ =
          std::min(*Kind.Patience_, Rules.Patience_.value_or(*Kind.Patience_));
    overlay(Rules.Retries_, Kind.Retries_);
  }
}

} // namespace

std::string versionText(const SubtreeVersion &Subtree) {
  return Subtree.Path_ == RouteTablePath ? std::to_string(Subtree.Version_)
                                         : formatVersion(Subtree.Version_);
}

EffectiveRules effectiveRules(const CallRules &Base,
                              const TeamSettings &Settings,
                              const std::string &Service,
                              const std::string &Method, std::string_view Path,
                              const std::string &Caller) {
  CallRules Rules = Base;
  overlayRules(Rules, Settings.Defaults_);
  for (const ServiceRules &Entry : Settings.ServiceRules_)
    if (Entry.Service_ == Service)
      overlayRules(Rules, Entry.Rules_);
  if (const RouteRules *Route = findRouteRules(Settings, Service, Method, Path))
    overlayRules(Rules, Route->Rules_);
  applyCaller(Settings, Caller, Rules);
  EffectiveRules Result;
  Result.Importance_ = Rules.Importance_.value_or(DefaultImportance);
  Result.Idempotent_ = Rules.Idempotent_.value_or(isIdempotentMethod(Method));
  Result.Patience_ = Rules.Patience_.value_or(DefaultPatience);
  Result.Retries_ = Rules.Retries_.value_or(DefaultRetries);
  Result.MaxBodyBytes_ = Rules.MaxBodyBytes_.value_or(DefaultMaxBodyBytes);
  Result.RetrySharePercent_ =
      Rules.RetrySharePercent_.value_or(DefaultRetrySharePercent);
  return Result;
}

ApplyResult SettingsRegistry::apply(const SubtreeVersion &Offered) {
  if (Offered.Version_ <= versionOf(Offered.Path_))
    return ApplyResult::NotNewer;
  Subtree NewSubtree;
  NewSubtree.Version_ = Offered;
  if (Offered.Path_ == RouteTablePath) {
    Checked<RouteTable> Parsed = parseRouteTable(Offered.Path_, Offered.Text_);
    if (!Parsed)
      return ApplyResult::Faulty;
    Routes_ = Parsed.value();
    Tenants_ = TenantDirectory(Routes_->Tenancy_);
  } else if (!Offered.Deleted_) {
    Checked<TeamSettings> Parsed =
        parseTeamSettings(Offered.Path_, Offered.Text_);
    if (!Parsed)
      return ApplyResult::Faulty;
    NewSubtree.Settings_ = Parsed.value();
  }
  Subtrees_[Offered.Path_] = NewSubtree;
  rebuildIndex();
  return ApplyResult::Applied;
}

std::uint64_t SettingsRegistry::versionOf(const std::string &Path) const {
  const SubtreeVersion *Applied = find(Path);
  return Applied == nullptr ? 0 : Applied->Version_;
}

const SubtreeVersion *SettingsRegistry::find(const std::string &Path) const {
  auto Entry = Subtrees_.find(Path);
  return Entry == Subtrees_.end() ? nullptr : &Entry->second.Version_;
}

std::vector<SubtreeVersion> SettingsRegistry::all() const {
  std::vector<SubtreeVersion> Result;
  for (const std::pair<const std::string, Subtree> &Entry : Subtrees_)
    Result.push_back(Entry.second.Version_);
  return Result;
}

std::uint64_t SettingsRegistry::digest() const { return Digest_; }

std::string SettingsRegistry::teamOf(const std::string &Service) const {
  auto Team = TeamOfService_.find(Service);
  return Team == TeamOfService_.end() ? std::string() : Team->second;
}

std::optional<EffectiveRules>
SettingsRegistry::effective(const std::string &Service,
                            const std::string &Method, std::string_view Path,
                            const std::string &Caller) const {
  auto TeamEntry = TeamOfService_.find(Service);
  if (TeamEntry == TeamOfService_.end())
    return std::nullopt;
  const Subtree &Team = Subtrees_.at(TeamEntry->second);
  EffectiveRules Result =
      effectiveRules({}, Team.Settings_, Service, Method, Path, Caller);
  Result.Team_ = TeamEntry->second;
  Result.Version_ = Team.Version_.Version_;
  return Result;
}

// A team may lower the time limit and the retries of the route, but not raise
// them: the route limits the number of backend servers that run a request.
EffectiveRules SettingsRegistry::effective(const Route &Matched,
                                           const std::string &Service,
                                           const std::string &Method,
                                           std::string_view Path,
                                           const std::string &Caller) const {
  CallRules Base;
  Base.Importance_ = Matched.Importance_;
  Base.Idempotent_ = Matched.Idempotent_;
  Base.Patience_ = Matched.Timeout_;
  Base.Retries_ = Matched.Attempts_ - 1;
  auto Team = TeamOfService_.find(Service);
  static const TeamSettings NoTeam;
  EffectiveRules Result = effectiveRules(
      Base,
      Team == TeamOfService_.end() ? NoTeam
                                   : Subtrees_.at(Team->second).Settings_,
      Service, Method, Path, Caller);
  Result.Idempotent_ = Matched.Idempotent_;
  Result.Patience_ = std::min(Result.Patience_, Matched.Timeout_);
  Result.Retries_ = std::min(Result.Retries_, Matched.Attempts_ - 1);
  Result.LatencyTarget_ = Matched.LatencyTarget_;
  Result.NeedsCredential_ = Tenants_.isRequired() && !Matched.Public_;
  if (Routes_)
    Result.MaxBodyBytes_ = Routes_->Limits_.BodyBytes_;
  Result.Team_ = Team == TeamOfService_.end() ? "" : Team->second;
  Result.Version_ = versionOf(std::string(RouteTablePath));
  return Result;
}

// When two teams name the same service, the team whose path sorts first owns
// it, so that all nodes agree without communication.
void SettingsRegistry::rebuildIndex() {
  TeamOfService_.clear();
  Digest_ = 0;
  for (const std::pair<const std::string, Subtree> &Entry : Subtrees_) {
    for (const std::string &Service : Entry.second.Settings_.Services_)
      TeamOfService_.emplace(Service, Entry.first);
    std::string VersionedPath =
        Entry.first + "@" + std::to_string(Entry.second.Version_.Version_);
    Digest_ ^= std::hash<std::string>()(VersionedPath);
  }
}

} // namespace fulmarshelf
