#include "fulmarshelf/detail/settings/key_reader.hpp"

#include "fulmarshelf/detail/base/ids.hpp" // parseNumber

#include <algorithm>    // find
#include <charconv>     // from_chars
#include <system_error> // errc

namespace fulmarshelf {

namespace {

// A deployment renders a value that it does not set as an empty text or as
// null; one that does not know the value may leave its placeholder.
bool isUnset(const std::string &Value) {
  return Value.empty() || Value == "null" || Value.starts_with("{{");
}

} // namespace

KeyReader::KeyReader(const std::string &File, const IniSection &Section,
                     Findings &Faults)
    : File_(File), Section_(Section), Faults_(Faults) {
  for (const IniEntry &Entry : Section_.Entries_)
    Entries_.emplace(Entry.Key_, &Entry);
}

const IniEntry *KeyReader::find(const std::string &Key) {
  ReadKeys_.insert(Key);
  auto Entry = Entries_.find(Key);
  return Entry == Entries_.end() ? nullptr : Entry->second;
}

void KeyReader::addFinding(const std::string &Key, ErrorCode Code,
                           std::string Message) {
  auto Entry = Entries_.find(Key);
  unsigned Line =
      Entry == Entries_.end() ? Section_.Line_ : Entry->second->Line_;
  Faults_.push_back({File_, Line, Code, std::move(Message)});
}

std::optional<std::uint64_t> KeyReader::number(const std::string &Key,
                                               std::uint64_t Min,
                                               std::uint64_t Max) {
  const IniEntry *Entry = find(Key);
  if (Entry == nullptr)
    return std::nullopt;
  std::uint64_t Value = 0;
  if (parseNumber(Entry->Value_, Value) && Value >= Min && Value <= Max)
    return Value;
  addFinding(Key, ErrorCode::BadValue,
             "'" + Key + "' must be a whole number from " +
                 std::to_string(Min) + " to " + std::to_string(Max) +
                 ", not '" + Entry->Value_ + "'");
  return std::nullopt;
}

std::optional<Micros> KeyReader::duration(const std::string &Key,
                                          std::uint64_t MinMs,
                                          std::uint64_t MaxMs) {
  std::optional<std::uint64_t> Value = number(Key, MinMs, MaxMs);
  if (!Value)
    return std::nullopt;
  return millis(static_cast<std::int64_t>(*Value));
}

std::optional<double> KeyReader::real(const std::string &Key) {
  const IniEntry *Entry = find(Key);
  if (Entry == nullptr || isUnset(Entry->Value_))
    return std::nullopt;
  double Value = 0;
  const char *End = Entry->Value_.data() + Entry->Value_.size();
  std::from_chars_result Parsed =
      std::from_chars(Entry->Value_.data(), End, Value);
  if (Parsed.ec == std::errc() && Parsed.ptr == End && Value >= 0)
    return Value;
  addFinding(Key, ErrorCode::BadValue,
             "'" + Key + "' must be a number of 0 or more, not '" +
                 Entry->Value_ + "'");
  return std::nullopt;
}

std::optional<Micros> KeyReader::seconds(const std::string &Key) {
  constexpr double MicrosPerSecond = 1e6;
  std::optional<double> Value = real(Key);
  if (!Value)
    return std::nullopt;
  return Micros(static_cast<Micros::rep>(*Value * MicrosPerSecond));
}

std::optional<bool> KeyReader::flag(const std::string &Key) {
  const IniEntry *Entry = find(Key);
  if (Entry == nullptr)
    return std::nullopt;
  if (Entry->Value_ == "yes")
    return true;
  if (Entry->Value_ == "no")
    return false;
  addFinding(Key, ErrorCode::BadValue,
             "'" + Key + "' must be 'yes' or 'no', not '" + Entry->Value_ +
                 "'");
  return std::nullopt;
}

std::optional<bool> KeyReader::renderedFlag(const std::string &Key) {
  const IniEntry *Entry = find(Key);
  if (Entry == nullptr || isUnset(Entry->Value_))
    return std::nullopt;
  if (Entry->Value_ == "true")
    return true;
  if (Entry->Value_ == "false")
    return false;
  return flag(Key);
}

std::optional<std::string> KeyReader::text(const std::string &Key) {
  const IniEntry *Entry = find(Key);
  if (Entry == nullptr)
    return std::nullopt;
  if (!Entry->Value_.empty())
    return Entry->Value_;
  addFinding(Key, ErrorCode::BadValue,
             "'" + Key +
                 "' has no value; add one or, if the key is optional, remove "
                 "the line");
  return std::nullopt;
}

std::optional<std::string> KeyReader::quotedText(const std::string &Key) {
  std::optional<std::string> Value = text(Key);
  if (!Value)
    return std::nullopt;
  std::optional<std::string> Unquoted = unquoteText(*Value);
  if (!Unquoted)
    addFinding(Key, ErrorCode::BadValue,
               "'" + Key +
                   "' begins with a quotation mark, but is no JSON "
                   "string");
  return Unquoted;
}

std::vector<std::string> KeyReader::list(const std::string &Key) {
  const IniEntry *Entry = find(Key);
  if (Entry == nullptr)
    return {};
  std::vector<std::string> Parts = splitList(Entry->Value_, ',');
  if (std::find(Parts.begin(), Parts.end(), std::string()) == Parts.end())
    return Parts;
  addFinding(Key, ErrorCode::BadValue,
             "'" + Key +
                 "' has an empty item; list values separated by single commas");
  return {};
}

void KeyReader::require(const std::string &Key) {
  for (const IniEntry &Entry : Section_.Entries_)
    if (Entry.Key_ == Key)
      return;
  addFinding(Key, ErrorCode::MissingKey,
             "section [" + Section_.Name_ + "] lacks the required key '" + Key +
                 "'");
}

void KeyReader::reportUnknownKeys() {
  for (const IniEntry &Entry : Section_.Entries_)
    if (!ReadKeys_.contains(Entry.Key_))
      addFinding(Entry.Key_, ErrorCode::UnknownKey,
                 "key '" + Entry.Key_ + "' is not known in section [" +
                     Section_.Name_ + "]; check its spelling or remove it");
}

} // namespace fulmarshelf
