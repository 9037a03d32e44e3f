#include "fulmarshelf/detail/engine/store_followers.hpp"

#include "fulmarshelf/detail/membership/member.hpp" // rendezvousWeight

#include <algorithm> // count_if, find_if, max, min
#include <iterator>  // distance

namespace fulmarshelf {

namespace {

// Copies of one answer arrive over several paths with ages that differ
// slightly.
constexpr Micros SameAnswer = millis(1);

} // namespace

std::uint64_t StoreFollowers::weight(const std::string &Node) {
  return rendezvousWeight("store", Node);
}

bool StoreFollowers::onAnswer(TimePoint At, const std::string &Node,
                              bool Elected) {
  onOtherAnswer(At);
  std::erase_if(Followers_, [this](const auto &Entry) {
    return Entry.second.AnsweredAt_ + Lifetime < Newest_;
  });
  Follower &Entry = Followers_[Node];
  if (At < Entry.AnsweredAt_ + SameAnswer)
    return false;
  Entry = {At, Elected};
  return true;
}

void StoreFollowers::onOtherAnswer(TimePoint At) {
  Newest_ = std::max(Newest_, At);
}

bool StoreFollowers::isFollowing(TimePoint Now, const std::string &Node) const {
  auto Entry = Followers_.find(Node);
  return Entry != Followers_.end() &&
         Now <= Entry->second.AnsweredAt_ + Lifetime;
}

std::size_t StoreFollowers::preceding(TimePoint Now,
                                      const std::string &Node) const {
  std::uint64_t LocalWeight = weight(Node);
  return static_cast<std::size_t>(std::count_if(
      Followers_.begin(), Followers_.end(), [&](const auto &Entry) {
        return Entry.first != Node && isFollowing(Now, Entry.first) &&
               (Entry.second.Elected_ || weight(Entry.first) > LocalWeight);
      }));
}

// All followers align their turns to the answers of the first one, which keeps
// the period.
Micros StoreFollowers::watchTime(TimePoint Now, const std::string &Node,
                                 Micros MaxPeriod) const {
  std::size_t Count = 0;
  std::size_t Turn = 0;
  TimePoint FirstAnsweredAt;
  for (const std::pair<const std::string, Follower> &Entry : Followers_) {
    if (Entry.first != Node && !isFollowing(Now, Entry.first))
      continue;
    if (Count == 0)
      FirstAnsweredAt = Entry.second.AnsweredAt_;
    if (Entry.first == Node)
      Turn = Count;
    ++Count;
  }
  auto Turns = static_cast<Micros::rep>(std::max<std::size_t>(1, Count));
  Micros Period = std::min(MaxPeriod, EvidenceInterval * Turns);
  if (Turn == 0)
    return Period;
  TimePoint Next =
      FirstAnsweredAt + Period * static_cast<Micros::rep>(Turn) / Turns;
  while (Next < Now + EvidenceInterval)
    Next += Period;
  return std::min<Micros>(Next - Now, Period + EvidenceInterval);
}

} // namespace fulmarshelf
