#include "fulmarshelf/detail/revocation/attempt_ledger.hpp"

#include <algorithm> // max
#include <iterator>  // prev

namespace fulmarshelf {

namespace {

constexpr std::size_t MaxFinished = 4096;
constexpr std::size_t MaxBodyBytes = std::size_t{2} * 1024 * 1024;
// Connections for which LastArrived_ is stored, for each sender.
constexpr std::size_t MaxStoredLinks = 16;

} // namespace

AttemptLedger::Sender &AttemptLedger::senderOf(const AttemptId &Attempt) {
  SenderKey Key{Attempt.Node_, Attempt.Incarnation_};
  auto Existing = Senders_.find(Key);
  if (Existing == Senders_.end()) {
    Existing = Senders_.emplace(Key, Sender()).first;
    dropOldIncarnations(Existing);
  }
  return Existing->second;
}

// Attempts of an incarnation that ended long ago are no longer revoked. The
// incarnation before the latest is retained, since its last bytes may still be
// in transit.
void AttemptLedger::dropOldIncarnations(
    std::map<SenderKey, Sender>::iterator Retained) {
  std::size_t EarlierCount = 0;
  while (Retained != Senders_.begin()) {
    auto Previous = std::prev(Retained);
    if (Previous->first.Node_ != Retained->first.Node_)
      return;
    if (++EarlierCount > 1)
      Senders_.erase(Previous);
    else
      Retained = Previous;
  }
}

bool AttemptLedger::recordArrival(const AttemptId &Attempt,
                                  std::uint64_t Link) {
  Sender &From = senderOf(Attempt);
  if (Link <= From.FencedThrough_)
    return false;
  std::uint64_t &LastSequence = From.LastArrived_[Link];
  LastSequence = std::max(LastSequence, Attempt.Sequence_);
  if (From.LastArrived_.size() > MaxStoredLinks) {
    From.DroppedThrough_ = From.LastArrived_.begin()->first;
    From.LastArrived_.erase(From.LastArrived_.begin());
  }
  return true;
}

void AttemptLedger::recordReply(const AttemptId &Attempt,
                                const CallReply &Reply, bool KeepBody) {
  CallReply Stored = Reply;
  if (!KeepBody && Reply.Outcome_ == Outcome::Complete) {
    Stored.Outcome_ = Outcome::Unknown;
    Stored.Error_ = ErrorCode::OutcomeUnknown;
    Stored.Response_ = {};
  }
  if (!Finished_.emplace(Attempt, Stored).second)
    return;
  FinishedOrder_.push_back(Attempt);
  BodyBytes_ += Stored.Response_.Body_.size();
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
  auto Existing = Finished_.find(Attempt);
  if (Existing != Finished_.end())
    return {RevokeResult::Finished, Existing->second};
  const Sender &From = senderOf(Attempt);
  if (Link <= From.DroppedThrough_)
    return {RevokeResult::Unknown, {}};
  auto LastArrival = From.LastArrived_.find(Link);
  bool MayHaveArrived = LastArrival != From.LastArrived_.end() &&
                        LastArrival->second >= Attempt.Sequence_;
  if (MayHaveArrived)
    return {RevokeResult::Unknown, {}};
  return {RevokeResult::NotStarted, {}};
}

} // namespace fulmarshelf
