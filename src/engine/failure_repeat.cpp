#include "failure_repeat.hpp"

namespace fulmarshelf {

namespace {

constexpr std::uint16_t InternalErrorStatus = 500;
// A repeat is started only if there is time for one that takes longer than
// usual.
constexpr std::int64_t RepeatTimeFactor = 2;
// Part of the bound on repeats for failures that backend servers answered; the
// rest stays for lost answers, whose callers otherwise get no answer.
constexpr double FailureRepeatShare = 0.25;

} // namespace

// Where the chain below the route has no capacity left, the failure
// may be that of a rejected call, and a repeat would add to the overload.
bool mayRepeatFailure(const NodeState &Node, const Request &Pending,
                      const CallReply &Reply) {
  if (!hasRouteTable(Node) || !hasFullPolicy(Node) ||
      Reply.Response_.Status_ != InternalErrorStatus ||
      !Pending.Context_.Idempotent_ || !Pending.Attempts_.empty() ||
      Pending.AnsweredFailure_ || Pending.Context_.Tokens_ == 0)
    return false;
  bool HasCapacity = Reply.Load_.Shares_.Admitted_ == FullShares;
  Micros TimeLeft = Pending.Deadline_ - Node.Now_;
  Micros Expected = Node.CallTimes_.expected(Pending.Route_);
  return HasCapacity && TimeLeft > RepeatTimeFactor * Expected;
}

RepeatBound failureRepeatBound(const NodeState &Node) {
  RepeatBound Bound = repeatBound(Node);
  Bound.Ratio_ *= FailureRepeatShare;
  Bound.Slack_ *= FailureRepeatShare;
  return Bound;
}

} // namespace fulmarshelf
