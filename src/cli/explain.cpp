#include "explain.hpp"

#include <algorithm> // stable_sort
#include <set>       // set
#include <utility>   // pair

namespace fulmarshelf::cli {

namespace {

// A `request` or `work` number, which is unique within one incarnation of a
// node, or a request id, which is valid on all nodes.
struct Reference {
  std::string Incarnation_; ///< node and incarnation; empty for request ids
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

// Start times of each node, in the order of the log.
using StartTimes = std::map<std::string, std::vector<std::string>>;

StartTimes startTimesOf(const std::vector<LogLine> &Lines) {
  StartTimes Result;
  for (const LogLine &Line : Lines)
    if (Line.Event_ == "node-started")
      Result[Line.Node_].push_back(Line.Time_);
  return Result;
}

std::string incarnationOf(const LogLine &Line, const StartTimes &Times) {
  std::size_t Number = 0;
  auto Found = Times.find(Line.Node_);
  if (Found != Times.end())
    for (const std::string &Start : Found->second)
      Number += Start <= Line.Time_ ? 1 : 0;
  return Line.Node_ + "#" + std::to_string(Number);
}

// Request and work numbers are valid within one incarnation of a node only;
// request ids are valid everywhere.
std::vector<Reference> referencesOf(const LogLine &Line,
                                    const StartTimes &Times) {
  std::vector<Reference> Result;
  for (const char *Kind : {"request", "work"})
    if (std::string Value = fieldOf(Line, Kind); !Value.empty())
      Result.push_back({incarnationOf(Line, Times), Kind, Value});
  if (std::string Value = fieldOf(Line, "id"); !Value.empty())
    Result.push_back({"", "id", Value});
  return Result;
}

bool isReferenced(const LogLine &Line, const std::set<Reference> &Known,
                  const StartTimes &Times) {
  for (const Reference &Ref : referencesOf(Line, Times))
    if (Known.contains(Ref))
      return true;
  return Known.contains({"", "id", fieldOf(Line, "parent")});
}

// Identifies an attempt by request id and attempt number. The entry logs only
// the number; the owner logs the full attempt name, which ends with the number.
std::string attemptKey(const LogLine &Line) {
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

// A selected line can refer to further requests and work, whose lines belong to
// the request as well. Repeats the search until it adds no reference.
std::vector<LogLine> linesOfRequest(const std::string &RequestId,
                                    const std::vector<LogLine> &Lines) {
  const StartTimes Times = startTimesOf(Lines);
  std::set<Reference> Known = {{"", "id", RequestId}};
  std::size_t Before = 0;
  while (Known.size() != Before) {
    Before = Known.size();
    for (const LogLine &Line : Lines)
      if (isReferenced(Line, Known, Times))
        for (const Reference &Ref : referencesOf(Line, Times))
          Known.insert(Ref);
  }
  std::vector<LogLine> Result;
  for (const LogLine &Line : Lines)
    if (isReferenced(Line, Known, Times))
      Result.push_back(Line);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const LogLine &Left, const LogLine &Right) {
                     return Left.Time_ < Right.Time_;
                   });
  return Result;
}

std::vector<std::string> clockSkewWarnings(const std::vector<LogLine> &Lines) {
  std::map<std::string, const LogLine *> SentBy;
  for (const LogLine &Line : Lines)
    if (Line.Event_ == "owner-chosen")
      SentBy[attemptKey(Line)] = &Line;
  std::vector<std::string> Result;
  for (const LogLine &Line : Lines) {
    auto Sent = SentBy.find(attemptKey(Line));
    if (Line.Event_ != "work-queued" || Sent == SentBy.end() ||
        Line.Time_ >= Sent->second->Time_)
      continue;
    Result.push_back(
        "clocks differ: node " + Line.Node_ + " queued an attempt at " +
        Line.Time_ + ", before node " + Sent->second->Node_ + " sent it at " +
        Sent->second->Time_ + "; lines of these nodes may be out of order");
  }
  return Result;
}

} // namespace fulmarshelf::cli
