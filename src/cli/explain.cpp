#include "explain.hpp"

#include <algorithm> // stable_sort
#include <set>       // set
#include <utility>   // pair

namespace fulmarshelf::cli {

namespace {

// Something that a life of a node numbers: `request` or `work`; or an id.
struct Reference {
  std::string Life_; ///< node and life; empty for ids, which hold everywhere
  std::string Kind_;
  std::string Value_;
  friend auto operator<=>(const Reference &, const Reference &) = default;
};

std::string fieldOf(const LogLine &Line, const std::string &Name) {
  auto Found = Line.Fields_.find(Name);
  return Found == Line.Fields_.end() ? std::string() : Found->second;
}

void readFields(const std::string &Text, std::size_t Position,
                LogLine &Result) {
  while (Position < Text.size()) {
    std::size_t Sign = Text.find('=', Position);
    if (Sign == std::string::npos)
      return;
    bool Quoted = Sign + 1 < Text.size() && Text[Sign + 1] == '"';
    std::size_t Start = Sign + (Quoted ? 2 : 1);
    std::size_t End =
        std::min(Text.find(Quoted ? '"' : ' ', Start), Text.size());
    Result.Fields_[Text.substr(Position, Sign - Position)] =
        Text.substr(Start, End - Start);
    Position = End + (Quoted ? 2 : 1);
  }
}

// Moments at which each node started.
using Starts = std::map<std::string, std::vector<std::string>>;

Starts startsOf(const std::vector<LogLine> &Lines) {
  Starts Result;
  for (const LogLine &Line : Lines)
    if (Line.Event_ == "node-started")
      Result[Line.Node_].push_back(Line.Time_);
  return Result;
}

std::string lifeOf(const LogLine &Line, const Starts &Known) {
  std::size_t Life = 0;
  auto Found = Known.find(Line.Node_);
  if (Found != Known.end())
    for (const std::string &Start : Found->second)
      Life += Start <= Line.Time_ ? 1 : 0;
  return Line.Node_ + "#" + std::to_string(Life);
}

// Numbers of one life of a node mean nothing in another; an id of a caller
// does.
std::vector<Reference> referencesOf(const LogLine &Line, const Starts &Lives) {
  std::vector<Reference> Result;
  for (const char *Kind : {"request", "work"})
    if (std::string Value = fieldOf(Line, Kind); !Value.empty())
      Result.push_back({lifeOf(Line, Lives), Kind, Value});
  if (std::string Value = fieldOf(Line, "id"); !Value.empty())
    Result.push_back({"", "id", Value});
  return Result;
}

bool isKnown(const LogLine &Line, const std::set<Reference> &Known,
             const Starts &Lives) {
  for (const Reference &Item : referencesOf(Line, Lives))
    if (Known.contains(Item))
      return true;
  return Known.contains({"", "id", fieldOf(Line, "parent")});
}

// An attempt by the caller's id and its own number. The entry logs the number,
// the owner the whole name, which ends with it.
std::string attemptOf(const LogLine &Line) {
  std::string Attempt = fieldOf(Line, "attempt");
  return fieldOf(Line, "id") + " " + Attempt.substr(Attempt.rfind('.') + 1);
}

} // namespace

bool parseLogLine(const std::string &Text, LogLine &Result) {
  std::size_t Node = Text.find(" node=");
  std::size_t Event = Text.find(" event=");
  if (Node == std::string::npos || Event == std::string::npos || Event < Node)
    return false;
  std::size_t Start = Text.rfind(' ', Node - 1);
  Start = Start == std::string::npos ? 0 : Start + 1;
  std::size_t Name = Text.find(' ', Event + 1);
  if (Name == std::string::npos)
    return false;
  std::size_t Fields = std::min(Text.find(' ', Name + 1), Text.size());
  Result = {};
  Result.Time_ = Text.substr(Start, Node - Start);
  Result.Node_ = Text.substr(Node + 6, Event - Node - 6);
  Result.Event_ = Text.substr(Name + 1, Fields - Name - 1);
  Result.Text_ = Text.substr(Start);
  readFields(Text, Fields + 1, Result);
  return true;
}

// What a line about the request refers to is about the request as well, so the
// set grows until nothing is added.
std::vector<LogLine> linesAbout(const std::string &RequestId,
                                const std::vector<LogLine> &Lines) {
  const Starts Lives = startsOf(Lines);
  std::set<Reference> Known = {{"", "id", RequestId}};
  std::size_t Before = 0;
  while (Known.size() != Before) {
    Before = Known.size();
    for (const LogLine &Line : Lines)
      if (isKnown(Line, Known, Lives))
        for (const Reference &Item : referencesOf(Line, Lives))
          Known.insert(Item);
  }
  std::vector<LogLine> Result;
  for (const LogLine &Line : Lines)
    if (isKnown(Line, Known, Lives))
      Result.push_back(Line);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const LogLine &Left, const LogLine &Right) {
                     return Left.Time_ < Right.Time_;
                   });
  return Result;
}

std::vector<std::string> clockFindings(const std::vector<LogLine> &Lines) {
  std::map<std::string, const LogLine *> SentBy;
  for (const LogLine &Line : Lines)
    if (Line.Event_ == "owner-chosen")
      SentBy[attemptOf(Line)] = &Line;
  std::vector<std::string> Result;
  for (const LogLine &Line : Lines) {
    auto Sent = SentBy.find(attemptOf(Line));
    if (Line.Event_ != "work-queued" || Sent == SentBy.end() ||
        Line.Time_ >= Sent->second->Time_)
      continue;
    Result.push_back("clocks differ: " + Line.Node_ + " took the attempt at " +
                     Line.Time_ + ", before " + Sent->second->Node_ +
                     " sent it at " + Sent->second->Time_);
  }
  return Result;
}

} // namespace fulmarshelf::cli
