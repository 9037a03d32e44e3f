#include "explain.hpp"

#include <algorithm> // min, stable_sort
#include <set>       // set

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
  auto Field = Line.Fields_.find(Name);
  return Field == Line.Fields_.end() ? std::string() : Field->second;
}

void readFields(const std::string &Text, std::size_t Position,
                LogLine &Result) {
  while (Position < Text.size()) {
    std::size_t EqualSign = Text.find('=', Position);
    if (EqualSign == std::string::npos)
      return;
    bool Quoted = EqualSign + 1 < Text.size() && Text[EqualSign + 1] == '"';
    std::size_t Start = EqualSign + (Quoted ? 2 : 1);
    std::size_t End =
        std::min(Text.find(Quoted ? '"' : ' ', Start), Text.size());
    Result.Fields_[Text.substr(Position, EqualSign - Position)] =
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
  auto NodeStarts = Times.find(Line.Node_);
  if (NodeStarts != Times.end())
    for (const std::string &Start : NodeStarts->second)
      Number += Start <= Line.Time_ ? 1 : 0;
  return Line.Node_ + "#" + std::to_string(Number);
}

// Returns the request, the work and the request id that a line names.
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

bool isReferenced(const LogLine &Line, const std::set<Reference> &References,
                  const StartTimes &Times) {
  for (const Reference &Ref : referencesOf(Line, Times))
    if (References.contains(Ref))
      return true;
  return References.contains({"", "id", fieldOf(Line, "parent")});
}

// Identifies an attempt by request id and attempt number. The entry logs only
// the number; the owner logs the full attempt name, which ends with the number.
std::string attemptKey(const LogLine &Line) {
  std::string Attempt = fieldOf(Line, "attempt");
  return fieldOf(Line, "id") + " " + Attempt.substr(Attempt.rfind('.') + 1);
}

} // namespace

bool parseLogLine(const std::string &Text, LogLine &Result) {
  std::size_t NodeStart = Text.find(" node=");
  std::size_t EventStart = Text.find(" event=");
  if (NodeStart == std::string::npos || EventStart == std::string::npos ||
      EventStart < NodeStart)
    return false;
  std::size_t Start = Text.rfind(' ', NodeStart - 1);
  Start = Start == std::string::npos ? 0 : Start + 1;
  std::size_t NameStart = Text.find(' ', EventStart + 1);
  if (NameStart == std::string::npos)
    return false;
  std::size_t FieldsStart =
      std::min(Text.find(' ', NameStart + 1), Text.size());
  Result = {};
  Result.Time_ = Text.substr(Start, NodeStart - Start);
  Result.Node_ = Text.substr(NodeStart + 6, EventStart - NodeStart - 6);
  Result.Event_ = Text.substr(NameStart + 1, FieldsStart - NameStart - 1);
  Result.Text_ = Text.substr(Start);
  readFields(Text, FieldsStart + 1, Result);
  return true;
}

// A selected line can refer to further requests and work, whose lines belong to
// the request as well. The search is repeated until it adds no reference.
std::vector<LogLine> linesOfRequest(const std::string &RequestId,
                                    const std::vector<LogLine> &Lines) {
  const StartTimes Times = startTimesOf(Lines);
  std::set<Reference> References = {{"", "id", RequestId}};
  std::size_t PreviousSize = 0;
  while (References.size() != PreviousSize) {
    PreviousSize = References.size();
    for (const LogLine &Line : Lines)
      if (isReferenced(Line, References, Times))
        for (const Reference &Ref : referencesOf(Line, Times))
          References.insert(Ref);
  }
  std::vector<LogLine> Result;
  for (const LogLine &Line : Lines)
    if (isReferenced(Line, References, Times))
      Result.push_back(Line);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const LogLine &Left, const LogLine &Right) {
                     return Left.Time_ < Right.Time_;
                   });
  return Result;
}

std::vector<std::string> clockSkewWarnings(const std::vector<LogLine> &Lines) {
  std::map<std::string, const LogLine *> SentLines;
  for (const LogLine &Line : Lines)
    if (Line.Event_ == "owner-chosen")
      SentLines[attemptKey(Line)] = &Line;
  std::vector<std::string> Result;
  for (const LogLine &Line : Lines) {
    auto Sent = SentLines.find(attemptKey(Line));
    if (Line.Event_ != "work-queued" || Sent == SentLines.end() ||
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
