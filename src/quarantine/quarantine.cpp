#include "fulmarshelf/detail/quarantine/quarantine.hpp"

#include <algorithm> // find, max, min_element, stable_sort
#include <set>       // set
#include <utility>   // pair

namespace fulmarshelf {

namespace {

constexpr std::size_t CrashesToSetAside = 3;
constexpr unsigned CrashTimesToSetAside = 2;
constexpr std::size_t MaxCrashesKept = 8;
constexpr std::size_t MaxKnownCrashes = 1024;

} // namespace

std::string_view suspicionName(Suspicion Value) {
  switch (Value) {
  case Suspicion::None:
    return "none";
  case Suspicion::Suspect:
    return "suspect";
  case Suspicion::StrongSuspect:
    return "strong-suspect";
  case Suspicion::SetAside:
    return "set-aside";
  }
  return "none";
}

bool Quarantine::isConclusive(const Entry &Suspect) {
  return Suspect.Crashes_.size() >= CrashesToSetAside &&
         Suspect.CrashTimes_ >= CrashTimesToSetAside;
}

void Quarantine::addCrash(TimePoint Now, const RequestDigest &Digest,
                          std::uint64_t Crash) {
  if (!Entries_.contains(Digest) && Entries_.size() >= MaxRequests)
    dropWeakest();
  Entry &Suspect = Entries_[Digest];
  std::vector<std::uint64_t> &Crashes = Suspect.Crashes_;
  bool IsKnown =
      std::find(Crashes.begin(), Crashes.end(), Crash) != Crashes.end();
  if (!IsKnown &&
      (Crashes.empty() || Now - Suspect.LastCrashAt_ >= SimultaneousTime))
    ++Suspect.CrashTimes_;
  if (!IsKnown && Crashes.size() < MaxCrashesKept)
    Crashes.push_back(Crash);
  Suspect.LastCrashAt_ = Now;
  if (isConclusive(Suspect))
    Suspect.SetAsideUntil_ = Now + LongTime;
}

void Quarantine::rememberCrash(TimePoint Now, std::uint64_t Crash) {
  KnownCrashes_[Crash] = Now;
  if (KnownCrashes_.size() > MaxKnownCrashes)
    KnownCrashes_.erase(std::min_element(
        KnownCrashes_.begin(), KnownCrashes_.end(),
        [](const std::pair<const std::uint64_t, TimePoint> &Left,
           const std::pair<const std::uint64_t, TimePoint> &Right) {
          return Left.second < Right.second;
        }));
}

bool Quarantine::learnCrash(TimePoint Now, const CrashReport &Report,
                            std::vector<RequestDigest> &SetAside) {
  if (KnownCrashes_.contains(Report.Crash_))
    return false;
  rememberCrash(Now, Report.Crash_);
  std::vector<RequestDigest> Repeated;
  for (const RequestDigest &Digest : Report.InProgress_) {
    if (wasServed(Now, Digest))
      continue;
    bool WasSetAside = suspicion(Now, Digest) == Suspicion::SetAside;
    addCrash(Now, Digest, Report.Crash_);
    if (Entries_[Digest].Crashes_.size() > 1)
      Repeated.push_back(Digest);
    if (!WasSetAside && suspicion(Now, Digest) == Suspicion::SetAside)
      SetAside.push_back(Digest);
  }
  if (Repeated.size() == 1 &&
      suspicion(Now, Repeated.front()) != Suspicion::SetAside) {
    Entries_[Repeated.front()].SetAsideUntil_ = Now + ShortTime;
    SetAside.push_back(Repeated.front());
  }
  return true;
}

void Quarantine::learnEvidence(TimePoint Now,
                               const std::vector<CrashEvidence> &Evidence) {
  // Crashes that are known here were judged with what was known at the time.
  std::set<std::uint64_t> NewCrashes;
  for (const CrashEvidence &Known : Evidence)
    for (std::uint64_t Crash : Known.Crashes_)
      if (!KnownCrashes_.contains(Crash))
        NewCrashes.insert(Crash);
  for (const CrashEvidence &Known : Evidence) {
    for (std::uint64_t Crash : Known.Crashes_)
      if (NewCrashes.contains(Crash))
        addCrash(Now, Known.Digest_, Crash);
    auto Learned = Entries_.find(Known.Digest_);
    if (Learned == Entries_.end() || Learned->second.Crashes_.empty())
      continue;
    Entry &Suspect = Learned->second;
    Suspect.CrashTimes_ = std::max(Suspect.CrashTimes_, Known.CrashTimes_);
    if (isConclusive(Suspect))
      Suspect.SetAsideUntil_ = Now + LongTime;
  }
  for (std::uint64_t Crash : NewCrashes)
    rememberCrash(Now, Crash);
}

bool Quarantine::onServed(TimePoint Now, const RequestDigest &Digest) {
  auto Existing = Entries_.find(Digest);
  if (Existing == Entries_.end())
    return false;
  bool WasStrong = Existing->second.Crashes_.size() > 1;
  Existing->second.Crashes_.clear();
  Existing->second.CrashTimes_ = 0;
  Existing->second.ServedAt_ = Now;
  Existing->second.SetAsideUntil_ = TimePoint{};
  return WasStrong;
}

bool Quarantine::clear(TimePoint Now, const RequestDigest &Digest) {
  auto Existing = Entries_.find(Digest);
  bool HadEvidence =
      Existing != Entries_.end() && !Existing->second.Crashes_.empty();
  onServed(Now, Digest);
  return HadEvidence;
}

void Quarantine::onRejected(TimePoint Now, const RequestDigest &Digest,
                            const std::string &Target) {
  auto Existing = Entries_.find(Digest);
  if (Existing == Entries_.end())
    return;
  Entry &Refused = Existing->second;
  ++Refused.Rejected_;
  Refused.Target_ = Target;
  if (isConclusive(Refused))
    Refused.SetAsideUntil_ = Now + LongTime;
}

Suspicion Quarantine::suspicion(TimePoint Now,
                                const RequestDigest &Digest) const {
  auto Existing = Entries_.find(Digest);
  if (Existing == Entries_.end() || Existing->second.Crashes_.empty())
    return Suspicion::None;
  if (Now < Existing->second.SetAsideUntil_)
    return Suspicion::SetAside;
  return Existing->second.Crashes_.size() > 1 ? Suspicion::StrongSuspect
                                              : Suspicion::Suspect;
}

bool Quarantine::wasServed(TimePoint Now, const RequestDigest &Digest) const {
  auto Existing = Entries_.find(Digest);
  return Existing != Entries_.end() && Existing->second.Crashes_.empty() &&
         Now - Existing->second.ServedAt_ < ServedTime;
}

bool Quarantine::hasManyCrashes(const RequestDigest &Digest) const {
  return crashes(Digest) >= CrashesToSetAside;
}

std::vector<QuarantinedRequest> Quarantine::requests(TimePoint Now) const {
  std::vector<QuarantinedRequest> Result;
  for (const std::pair<const RequestDigest, Entry> &Known : Entries_)
    if (!Known.second.Crashes_.empty())
      Result.push_back({Known.first, suspicion(Now, Known.first),
                        Known.second.Crashes_.size(), Known.second.Rejected_,
                        Known.second.Target_});
  std::stable_sort(
      Result.begin(), Result.end(),
      [](const QuarantinedRequest &Left, const QuarantinedRequest &Right) {
        return std::pair(Left.Suspicion_, Left.Crashes_) >
               std::pair(Right.Suspicion_, Right.Crashes_);
      });
  return Result;
}

std::vector<CrashEvidence> Quarantine::evidence(TimePoint Now,
                                                std::size_t MaxCount) const {
  std::vector<CrashEvidence> Result;
  for (const QuarantinedRequest &Request : requests(Now)) {
    if (Result.size() >= MaxCount)
      break;
    const Entry &Suspect = Entries_.at(Request.Digest_);
    Result.push_back({Request.Digest_, Suspect.Crashes_, Suspect.CrashTimes_});
  }
  return Result;
}

std::size_t Quarantine::crashes(const RequestDigest &Digest) const {
  auto Existing = Entries_.find(Digest);
  return Existing == Entries_.end() ? 0 : Existing->second.Crashes_.size();
}

void Quarantine::dropWeakest() {
  auto Weakest =
      std::min_element(Entries_.begin(), Entries_.end(),
                       [](const std::pair<const RequestDigest, Entry> &Left,
                          const std::pair<const RequestDigest, Entry> &Right) {
                         return std::pair(Left.second.Crashes_.size(),
                                          Left.second.LastCrashAt_) <
                                std::pair(Right.second.Crashes_.size(),
                                          Right.second.LastCrashAt_);
                       });
  if (Weakest != Entries_.end())
    Entries_.erase(Weakest);
}

void Quarantine::expire(TimePoint Now) {
  std::erase_if(Entries_,
                [Now](const std::pair<const RequestDigest, Entry> &Known) {
                  const Entry &Suspect = Known.second;
                  return Now - Suspect.LastCrashAt_ >= LongTime &&
                         Now >= Suspect.SetAsideUntil_;
                });
  std::erase_if(KnownCrashes_,
                [Now](const std::pair<const std::uint64_t, TimePoint> &Known) {
                  return Now - Known.second >= 2 * LongTime;
                });
}

} // namespace fulmarshelf
