#include "fulmarshelf/detail/settings/route_table.hpp"

#include "fulmarshelf/detail/base/ids.hpp"            // parseNumber
#include "fulmarshelf/detail/settings/ini.hpp"        // parseIni
#include "fulmarshelf/detail/settings/key_reader.hpp" // KeyReader

#include <algorithm> // any_of, min
#include <array>     // array
#include <charconv>  // to_chars
#include <limits>    // numeric_limits
#include <optional>  // optional
#include <sstream>   // ostringstream

namespace fulmarshelf {

namespace {

constexpr unsigned MaxImportance = 9;
constexpr unsigned MaxAttempts = 100;
constexpr std::uint64_t MaxTimeoutMs = 3'600'000; // one hour
constexpr std::uint64_t MaxWeight = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t MaxConnections = MaxWeight;
// The largest object of the store has 1 MiB. The INI text of a table is at most
// about nine times as long as the object from which the table was read: the
// digest of a credential is longer than the credential, and a section longer
// than a row.
constexpr std::size_t MaxTableBytes = std::size_t{15} * 1024 * 1024;
// Keeps the lines readable.
constexpr std::size_t DigestsPerLine = 5;
constexpr std::size_t DigestLength = 32; // hexadecimal digits

std::vector<ServiceShare> readShares(KeyReader &Keys) {
  std::vector<ServiceShare> Result;
  Keys.require("services");
  for (const std::string &ShareText : Keys.list("services")) {
    std::size_t Colon = ShareText.rfind(':');
    std::optional<std::string> Service =
        unquoteText(ShareText.substr(0, Colon));
    std::uint64_t Weight = 1;
    bool Valid =
        Service && (Colon == std::string::npos ||
                    (parseNumber(ShareText.substr(Colon + 1), Weight) &&
                     Weight <= MaxWeight));
    if (Valid)
      Result.push_back({*Service, static_cast<std::uint32_t>(Weight)});
    else
      Keys.addFinding(
          "services", ErrorCode::BadValue,
          "each item of 'services' must be NAME or NAME:WEIGHT with a whole "
          "weight from 0 to " +
              std::to_string(MaxWeight) + ", but one is '" + ShareText + "'");
  }
  bool AnyWeight =
      std::any_of(Result.begin(), Result.end(),
                  [](const ServiceShare &Share) { return Share.Weight_ > 0; });
  if (!Result.empty() && !AnyWeight)
    Keys.addFinding(
        "services", ErrorCode::BadValue,
        "'services' needs at least one service with a weight above 0");
  return Result;
}

Route readRoute(KeyReader &Keys) {
  Route Result;
  Result.OutOfService_ = Keys.flag("out-of-service").value_or(false);
  for (const char *Key : {"host", "prefix"})
    Keys.require(Key);
  if (!Result.OutOfService_)
    Keys.require("timeout-ms");
  Result.Host_ = Keys.quotedText("host").value_or("");
  Result.Prefix_ = Keys.quotedText("prefix").value_or("/");
  if (Result.Prefix_.empty() || Result.Prefix_.front() != '/' ||
      Result.Prefix_.back() != '/')
    Keys.addFinding("prefix", ErrorCode::BadValue,
                    "'prefix' must begin and end with a slash, but is '" +
                        Result.Prefix_ + "'");
  if (!Result.OutOfService_)
    Result.Services_ = readShares(Keys);
  Result.Idempotent_ = Keys.flag("idempotent").value_or(true);
  Result.Timeout_ =
      Keys.duration("timeout-ms", 1, MaxTimeoutMs).value_or(Micros(0));
  Result.LatencyTarget_ =
      Keys.duration("target-ms", 1, MaxTimeoutMs).value_or(Result.Timeout_);
  Result.Importance_ = static_cast<unsigned>(
      Keys.number("importance", 0, MaxImportance).value_or(0));
  Result.Attempts_ = static_cast<unsigned>(
      Keys.number("attempts", 1, MaxAttempts).value_or(1));
  Result.Public_ = Keys.flag("public").value_or(false);
  return Result;
}

std::string digestsKey(std::size_t Line) {
  return "credentials-" + std::to_string(Line);
}

bool isDigest(const std::string &Text) {
  return Text.size() == DigestLength &&
         Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void readDigests(KeyReader &Keys, Tenant &Result) {
  for (std::size_t Line = 1;; ++Line) {
    std::vector<std::string> Digests = Keys.list(digestsKey(Line));
    if (Digests.empty())
      return;
    for (std::string &Digest : Digests) {
      if (!isDigest(Digest))
        Keys.addFinding(digestsKey(Line), ErrorCode::BadValue,
                        "'" + digestsKey(Line) +
                            "' must list digests of 32 hexadecimal digits");
      Result.CredentialDigests_.push_back(std::move(Digest));
    }
  }
}

Tenant readTenant(KeyReader &Keys) {
  Tenant Result;
  Keys.require("name");
  Result.Name_ = Keys.quotedText("name").value_or("");
  if (Result.Name_.size() > MaxTenantNameBytes)
    Keys.addFinding("name", ErrorCode::BadValue,
                    "'name' must have at most " +
                        std::to_string(MaxTenantNameBytes) + " bytes");
  if (std::optional<std::uint64_t> Importance =
          Keys.number("importance", 0, MaxImportance))
    Result.Importance_ = static_cast<unsigned>(*Importance);
  Result.Quota_.RatePerSecond_ = Keys.real("rate").value_or(0);
  Result.Quota_.Burst_ = Keys.real("burst").value_or(0);
  Result.OutOfService_ = Keys.flag("out-of-service").value_or(false);
  readDigests(Keys, Result);
  return Result;
}

void readTenancy(KeyReader &Keys, Tenancy &Result) {
  Result.Required_ = Keys.flag("required").value_or(false);
  Result.Incomplete_ = Keys.flag("incomplete").value_or(false);
}

ServiceEntry readService(KeyReader &Keys, const std::string &Name) {
  ServiceEntry Result;
  Result.Name_ = Name;
  Result.HealthPath_ = Keys.quotedText("health-path").value_or("/health");
  Result.Connections_ = static_cast<std::uint32_t>(
      Keys.number("connections", 0, MaxConnections).value_or(0));
  return Result;
}

CallerLimits readLimits(KeyReader &Keys) {
  CallerLimits Result;
  Result.HeaderBytes_ = static_cast<std::uint32_t>(
      Keys.number("header-bytes", 1, MaxCallerHeadBytes)
          .value_or(Result.HeaderBytes_));
  Result.BodyBytes_ = Keys.number("body-bytes", 0, MaxCallerBodyBytes)
                          .value_or(Result.BodyBytes_);
  Result.HeaderTimeout_ = Keys.duration("header-timeout-ms", 1, MaxTimeoutMs)
                              .value_or(Result.HeaderTimeout_);
  Result.IdleTimeout_ = Keys.duration("idle-timeout-ms", 1, MaxTimeoutMs)
                            .value_or(Result.IdleTimeout_);
  return Result;
}

void readSection(KeyReader &Keys, const std::string &Name, RouteTable &Result) {
  constexpr std::string_view RoutePrefix = "route ";
  constexpr std::string_view ServicePrefix = "service ";
  constexpr std::string_view TenantPrefix = "tenant ";
  if (Name.starts_with(RoutePrefix))
    Result.Routes_.push_back(readRoute(Keys));
  else if (Name.starts_with(ServicePrefix) &&
           unquoteText(Name.substr(ServicePrefix.size())))
    Result.Services_.push_back(
        readService(Keys, *unquoteText(Name.substr(ServicePrefix.size()))));
  else if (Name.starts_with(TenantPrefix))
    Result.Tenancy_.Tenants_.push_back(readTenant(Keys));
  else if (Name == "limits")
    Result.Limits_ = readLimits(Keys);
  else if (Name == "tenancy")
    readTenancy(Keys, Result.Tenancy_);
  else
    Keys.addFinding("", ErrorCode::UnknownSection,
                    "section [" + Name +
                        "] is none of [limits], [tenancy], [service NAME], "
                        "[route NUMBER], [tenant NUMBER]");
  Keys.reportUnknownKeys();
}

void formatRoute(std::ostringstream &Out, const Route &Value) {
  Out << "host = " << quoteText(Value.Host_)
      << "\nprefix = " << quoteText(Value.Prefix_);
  if (Value.OutOfService_) {
    Out << "\nout-of-service = yes\n";
    return;
  }
  Out << "\nservices = ";
  const char *Separator = "";
  for (const ServiceShare &Share : Value.Services_) {
    Out << Separator << quoteText(Share.Service_) << ':' << Share.Weight_;
    Separator = ", ";
  }
  Out << "\nidempotent = " << (Value.Idempotent_ ? "yes" : "no")
      << "\ntimeout-ms = " << Value.Timeout_.count() / 1000
      << "\ntarget-ms = " << Value.LatencyTarget_.count() / 1000
      << "\nimportance = " << Value.Importance_
      << "\nattempts = " << Value.Attempts_ << '\n';
  if (Value.Public_)
    Out << "public = yes\n";
}

// Shortest text that reads back as the same number.
std::string formatReal(double Value) {
  std::array<char, 32> Text{};
  std::to_chars_result Written =
      std::to_chars(Text.data(), Text.data() + Text.size(), Value);
  return {Text.data(), Written.ptr};
}

void formatTenant(std::ostringstream &Out, const Tenant &Value) {
  Out << "name = " << quoteText(Value.Name_) << '\n';
  if (Value.Importance_)
    Out << "importance = " << *Value.Importance_ << '\n';
  if (Value.Quota_ != Quota())
    Out << "rate = " << formatReal(Value.Quota_.RatePerSecond_)
        << "\nburst = " << formatReal(Value.Quota_.Burst_) << '\n';
  if (Value.OutOfService_)
    Out << "out-of-service = yes\n";
  const std::vector<std::string> &Digests = Value.CredentialDigests_;
  for (std::size_t First = 0; First < Digests.size(); First += DigestsPerLine) {
    Out << digestsKey(First / DigestsPerLine + 1) << " = ";
    std::size_t End = std::min(First + DigestsPerLine, Digests.size());
    for (std::size_t Index = First; Index < End; ++Index)
      Out << (Index == First ? "" : ", ") << Digests[Index];
    Out << '\n';
  }
}

void formatTenancy(std::ostringstream &Out, const Tenancy &Value) {
  if (Value == Tenancy())
    return;
  Out << "[tenancy]\nrequired = " << (Value.Required_ ? "yes" : "no")
      << "\nincomplete = " << (Value.Incomplete_ ? "yes" : "no") << '\n';
  std::size_t Number = 0;
  for (const Tenant &Entry : Value.Tenants_) {
    Out << "[tenant " << ++Number << "]\n";
    formatTenant(Out, Entry);
  }
}

} // namespace

const Route *findRoute(const RouteTable &Table, std::string_view Host,
                       std::string_view Path) {
  const Route *Best = nullptr;
  for (const Route &Candidate : Table.Routes_) {
    bool Longer =
        Best == nullptr || Candidate.Prefix_.size() > Best->Prefix_.size();
    if (Longer && Candidate.Host_ == Host &&
        Path.starts_with(Candidate.Prefix_))
      Best = &Candidate;
  }
  return Best;
}

const ServiceEntry *findService(const RouteTable &Table,
                                std::string_view Service) {
  for (const ServiceEntry &Entry : Table.Services_)
    if (Entry.Name_ == Service)
      return &Entry;
  return nullptr;
}

std::string routeName(const Route &Value) {
  return Value.Host_ + Value.Prefix_;
}

std::string formatRouteTable(const RouteTable &Table) {
  std::ostringstream Out;
  Out << "[limits]\nheader-bytes = " << Table.Limits_.HeaderBytes_
      << "\nbody-bytes = " << Table.Limits_.BodyBytes_
      << "\nheader-timeout-ms = " << Table.Limits_.HeaderTimeout_.count() / 1000
      << "\nidle-timeout-ms = " << Table.Limits_.IdleTimeout_.count() / 1000
      << '\n';
  for (const ServiceEntry &Entry : Table.Services_)
    Out << "[service " << quoteText(Entry.Name_)
        << "]\nhealth-path = " << quoteText(Entry.HealthPath_)
        << "\nconnections = " << Entry.Connections_ << '\n';
  std::size_t Number = 0;
  for (const Route &Value : Table.Routes_) {
    Out << "[route " << ++Number << "]\n";
    formatRoute(Out, Value);
  }
  formatTenancy(Out, Table.Tenancy_);
  return Out.str();
}

Checked<RouteTable> parseRouteTable(const std::string &File,
                                    const std::string &Text) {
  Checked<std::vector<IniSection>> Sections =
      parseIni(File, Text, MaxTableBytes);
  if (!Sections)
    return Sections.error();
  RouteTable Result;
  Findings Faults;
  for (const IniSection &Section : Sections.value()) {
    KeyReader Keys(File, Section, Faults);
    readSection(Keys, Section.Name_, Result);
  }
  for (const Route &Value : Result.Routes_)
    for (const ServiceShare &Share : Value.Services_)
      if (findService(Result, Share.Service_) == nullptr)
        Faults.push_back({File, 0, ErrorCode::UnknownService,
                          "route " + routeName(Value) + " sends requests to '" +
                              Share.Service_ + "', but section [service " +
                              Share.Service_ + "] is missing"});
  if (!Faults.empty())
    return Faults;
  return Result;
}

} // namespace fulmarshelf
