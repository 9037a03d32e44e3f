#include "fulmarshelf/detail/settings/ini.hpp"

#include <ini.h> // ini_parse_stream

#include <nlohmann/json.hpp> // json

#include <algorithm>     // max, min, stable_sort
#include <array>         // array
#include <cstdio>        // snprintf
#include <cstring>       // memcpy
#include <unordered_set> // unordered_set

namespace fulmarshelf {

namespace {

// inih truncates longer keys without an error.
constexpr std::size_t MaxKeyLength = 49;

struct ReadState {
  const std::string *File_ = nullptr;
  const std::string *Text_ = nullptr;
  std::size_t Position_ = 0;
  unsigned Line_ = 0;
  std::vector<IniSection> Sections_;
  std::unordered_set<std::string> SectionNames_;
  std::unordered_set<std::string> Keys_; ///< of the last section
  Findings Faults_;
};

void addFault(ReadState &State, ErrorCode Code, std::string Message) {
  State.Faults_.push_back(
      {*State.File_, State.Line_, Code, std::move(Message)});
}

void addSectionHeader(ReadState &State, const std::string &Line) {
  std::size_t Start = Line.find_first_not_of(" \t");
  if (Start == std::string::npos || Line[Start] != '[')
    return;
  std::size_t End = Line.find(']', Start);
  if (End == std::string::npos)
    return;
  std::string Name = Line.substr(Start + 1, End - Start - 1);
  if (!State.SectionNames_.insert(Name).second)
    addFault(State, ErrorCode::DuplicateSection,
             "section [" + Name +
                 "] is repeated; merge its keys into the first one");
  State.Sections_.push_back({Name, State.Line_, {}});
  State.Keys_.clear();
}

std::size_t longestLine(const std::string &Text) {
  std::size_t Longest = 0;
  for (std::size_t Start = 0; Start < Text.size();) {
    std::size_t End = std::min(Text.find('\n', Start), Text.size());
    Longest = std::max(Longest, End - Start);
    Start = End + 1;
  }
  return Longest;
}

// inih reads the size of its line buffer from global variables.
void setLineBuffer(std::size_t LongestLine) {
  constexpr std::size_t LineBreakAndEnd = 4;
  ini_use_stack = false;
  ini_allow_realloc = false;
  ini_initial_alloc = ini_max_line =
      static_cast<int>(LongestLine + LineBreakAndEnd);
}

void checkKeyLength(ReadState &State, const std::string &Line) {
  std::size_t Length = Line.find_first_of("=:");
  if (Line.size() <= MaxKeyLength || Line[0] == '[' || Line[0] == ';' ||
      Line[0] == '#' || Length == std::string::npos)
    return;
  Length = Line.find_last_not_of(" \t", Length == 0 ? 0 : Length - 1) + 1;
  if (Length > MaxKeyLength)
    addFault(State, ErrorCode::SyntaxError,
             "key has " + std::to_string(Length) +
                 " characters; the limit is " + std::to_string(MaxKeyLength));
}

// Called by inih for each line. Records section headers, too: inih reports only
// lines with a key, and truncates the names of sections.
char *readLine(char *Buffer, int Size, void *Stream) {
  ReadState &State = *static_cast<ReadState *>(Stream);
  if (State.Position_ >= State.Text_->size())
    return nullptr;
  ++State.Line_;
  std::size_t End = State.Text_->find('\n', State.Position_);
  std::size_t Next = End == std::string::npos ? State.Text_->size() : End + 1;
  std::string Line =
      State.Text_->substr(State.Position_, Next - State.Position_);
  State.Position_ = Next;
  if (Line.size() >= static_cast<std::size_t>(Size)) {
    addFault(State, ErrorCode::SyntaxError,
             "line has " + std::to_string(Line.size()) +
                 " bytes; the reader takes " + std::to_string(Size - 1));
    Line = "\n";
  }
  if (Line.find('\0') != std::string::npos) {
    addFault(State, ErrorCode::SyntaxError,
             "line contains a NUL byte; settings must be plain text");
    Line = "\n";
  }
  // inih appends a line that begins with a blank to the previous value.
  // Settings have no multi-line values, so the indentation is removed.
  std::size_t Start = Line.find_first_not_of(" \t");
  Line.erase(0, Start == std::string::npos ? Line.size() - 1 : Start);
  addSectionHeader(State, Line);
  checkKeyLength(State, Line);
  std::memcpy(Buffer, Line.c_str(), Line.size() + 1);
  return Buffer;
}

int handleEntry(void *User, const char *, const char *Name, const char *Value) {
  ReadState &State = *static_cast<ReadState *>(User);
  if (State.Sections_.empty()) {
    addFault(
        State, ErrorCode::SyntaxError,
        "key '" + std::string(Name) +
            "' precedes the first section; move it below a [section] line");
    return 1;
  }
  std::vector<IniEntry> &Entries = State.Sections_.back().Entries_;
  std::string Key = Name;
  if (!State.Keys_.insert(Key).second)
    addFault(State, ErrorCode::BadValue,
             "key '" + Key + "' is repeated in section [" +
                 State.Sections_.back().Name_ + "]; keep only one line");
  Entries.push_back({Key, Value, State.Line_});
  return 1;
}

// inih reports only the first faulty line; this function finds all of them.
void findFaultyLines(ReadState &State) {
  unsigned Number = 0;
  for (std::string &Line : splitList(*State.Text_, '\n')) {
    ++Number;
    if (Line.empty() || Line[0] == ';' || Line[0] == '#')
      continue;
    State.Line_ = Number;
    if (Line[0] == '[' && Line.find(']') == std::string::npos)
      addFault(State, ErrorCode::SyntaxError,
               "section line has no closing ']'");
    if (Line[0] != '[' && Line.find_first_of("=:") == std::string::npos)
      addFault(State, ErrorCode::SyntaxError,
               "line is neither a [section] nor 'key = value'; begin a comment "
               "with '#' or ';'");
  }
}

// Characters that end a value, an item of a list or the name of a section.
bool isSeparator(char Letter) {
  return Letter == ';' || Letter == ',' || Letter == ']';
}

bool needsQuotes(char Letter) {
  auto Code = static_cast<unsigned char>(Letter);
  return isSeparator(Letter) || Code < 0x20 || Code == 0x7f;
}

std::string escapeOf(char Letter) {
  std::array<char, 8> Text{};
  std::snprintf(Text.data(), Text.size(), "\\u%04x",
                static_cast<unsigned>(Letter));
  return Text.data();
}

} // namespace

std::string quoteText(const std::string &Text) {
  bool Plain = !Text.empty() && Text.front() != '"' && Text.front() != ' ' &&
               Text.back() != ' ' &&
               std::none_of(Text.begin(), Text.end(), needsQuotes);
  if (Plain)
    return Text;
  std::string Result;
  for (char Letter : nlohmann::json(Text).dump(
           -1, ' ', false, nlohmann::json::error_handler_t::replace))
    Result += isSeparator(Letter) ? escapeOf(Letter) : std::string(1, Letter);
  return Result;
}

std::optional<std::string> unquoteText(const std::string &Value) {
  if (!Value.starts_with('"'))
    return Value;
  nlohmann::json Text = nlohmann::json::parse(Value, nullptr, false);
  if (!Text.is_string())
    return std::nullopt;
  return Text.get<std::string>();
}

std::vector<std::string> splitList(const std::string &Text, char Separator) {
  std::vector<std::string> Parts;
  std::size_t Position = 0;
  while (Position <= Text.size()) {
    std::size_t End = std::min(Text.find(Separator, Position), Text.size());
    std::string Part = Text.substr(Position, End - Position);
    std::size_t First = Part.find_first_not_of(" \t\r");
    std::size_t Last = Part.find_last_not_of(" \t\r");
    Parts.push_back(First == std::string::npos
                        ? std::string()
                        : Part.substr(First, Last - First + 1));
    Position = End + 1;
  }
  return Parts;
}

Checked<std::vector<IniSection>> parseIni(const std::string &File,
                                          const std::string &Text,
                                          std::size_t MaxBytes) {
  if (Text.size() > MaxBytes)
    return Findings{{File, 0, ErrorCode::FileTooLarge,
                     "text has " + std::to_string(Text.size()) +
                         " bytes; the limit is " + std::to_string(MaxBytes)}};
  ReadState State;
  State.File_ = &File;
  State.Text_ = &Text;
  setLineBuffer(longestLine(Text));
  ini_parse_stream(&readLine, &State, &handleEntry, &State);
  findFaultyLines(State);
  if (State.Faults_.empty())
    return State.Sections_;
  std::stable_sort(State.Faults_.begin(), State.Faults_.end(),
                   [](const Finding &Left, const Finding &Right) {
                     return Left.Line_ < Right.Line_;
                   });
  return State.Faults_;
}

} // namespace fulmarshelf
