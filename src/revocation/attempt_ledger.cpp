#include "fulmarshelf/detail/revocation/attempt_ledger.hpp"

#include <algorithm> // max
#include <iterator>  // prev

namespace fulmarshelf {

namespace {

constexpr std::size_t MaxFinished = 4096;
constexpr std::size_t MaxBodyBytes = std::size_t{2} * 1024 * 1024;
constexpr std::size_t MaxListedLinks = 16;

} // namespace

AttemptLedger::Sender &AttemptLedger::senderOf(const AttemptId &Attempt) {
  SenderKey Key{Attempt.Node_, Attempt.Incarnation_};
  auto Known = Senders_.find(Key);
  if (Known == Senders_.end()) {
    Known = Senders_.emplace(Key, Sender()).first;
    dropOldIncarnations(Known);
  }
  return Known->second;
}

// Nobody asks about the attempts of a life that has ended long ago. The one
// before the latest is kept, since its last bytes may still be under way.
void AttemptLedger::dropOldIncarnations(
    std::map<SenderKey, Sender>::iterator Last) {
  std::size_t Kept = 0;
  while (Last != Senders_.begin()) {
    auto Before = std::prev(Last);
    if (Before->first.Node_ != Last->first.Node_)
      return;
    if (++Kept > 1)
      Senders_.erase(Before);
    else
      Last = Before;
  }
}

bool AttemptLedger::recordArrival(const AttemptId &Attempt,
                                  std::uint64_t Link) {
  Sender &From = senderOf(Attempt);
  if (Link <= From.FencedThrough_)
    return false;
  std::uint64_t &Last = From.LastArrived_[Link];
  Last = std::max(Last, Attempt.Sequence_);
  if (From.LastArrived_.size() > MaxListedLinks) {
    From.ForgottenThrough_ = From.LastArrived_.begin()->first;
    From.LastArrived_.erase(From.LastArrived_.begin());
  }
  return true;
}

void AttemptLedger::recordReply(const AttemptId &Attempt,
                                const CallReply &Reply, bool KeepBody) {
  CallReply Kept = Reply;
  if (!KeepBody && Reply.Outcome_ == Outcome::Complete) {
    Kept.Outcome_ = Outcome::Unknown;
    Kept.Error_ = ErrorCode::OutcomeUnknown;
    Kept.Response_ = {};
  }
  if (!Finished_.emplace(Attempt, Kept).second)
    return;
  FinishedOrder_.push_back(Attempt);
  BodyBytes_ += Kept.Response_.Body_.size();
  boundMemory();
}

void AttemptLedger::boundMemory() {
  while (FinishedOrder_.size() > MaxFinished || BodyBytes_ > MaxBodyBytes) {
    auto Oldest = Finished_.find(FinishedOrder_.front());
    BodyBytes_ -= Oldest->second.Response_.Body_.size();
    Finished_.erase(Oldest);
    FinishedOrder_.pop_front();
  }
}

void AttemptLedger::fence(const AttemptId &Attempt, std::uint64_t Link) {
  Sender &From = senderOf(Attempt);
  From.FencedThrough_ = std::max(From.FencedThrough_, Link);
}

RevokeReply AttemptLedger::resolve(const AttemptId &Attempt,
                                   std::uint64_t Link) {
  fence(Attempt, Link);
  auto Known = Finished_.find(Attempt);
  if (Known != Finished_.end())
    return {RevokeResult::Finished, Known->second};
  const Sender &From = senderOf(Attempt);
  if (Link <= From.ForgottenThrough_)
    return {RevokeResult::Unknown, {}};
  auto Last = From.LastArrived_.find(Link);
  bool MayHaveArrived =
      Last != From.LastArrived_.end() && Last->second >= Attempt.Sequence_;
  if (MayHaveArrived)
    return {RevokeResult::Unknown, {}};
  return {RevokeResult::NotStarted, {}};
}

} // namespace fulmarshelf
