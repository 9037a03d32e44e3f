#include "fulmarshelf/detail/quarantine/crash_detector.hpp"

#include <algorithm> // sort, unique

namespace fulmarshelf {

namespace {

constexpr std::size_t MaxLost = 512;
// All connections of a server that crashes are closed within this time.
constexpr Micros CrashDuration = millis(250);
// Answers that were sent before the crash may be read after the first lost
// connection.
constexpr Micros AnswerDelay = millis(20);
// A crashed server is back, or refuses connections, within this time.
constexpr Micros ConfirmationTime = millis(10'000);

} // namespace

void CrashDetector::onLost(TimePoint Now, const RequestDigest &Digest) {
  if (Lost_.size() >= MaxLost)
    Lost_.erase(Lost_.begin());
  Lost_.push_back({Now, Digest});
}

void CrashDetector::onAnswer(TimePoint Now) {
  if (!Lost_.empty() && Now - Lost_.back().At_ >= AnswerDelay)
    Lost_.clear();
}

std::vector<RequestDigest> CrashDetector::confirm(TimePoint Now) {
  std::vector<RequestDigest> InProgress;
  if (!Lost_.empty() && Now - Lost_.back().At_ < ConfirmationTime)
    for (const LostRequest &Request : Lost_)
      if (Lost_.back().At_ - Request.At_ <= CrashDuration)
        InProgress.push_back(Request.Digest_);
  Lost_.clear();
  std::sort(InProgress.begin(), InProgress.end());
  InProgress.erase(std::unique(InProgress.begin(), InProgress.end()),
                   InProgress.end());
  return InProgress;
}

} // namespace fulmarshelf
