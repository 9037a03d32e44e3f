#include "fulmarshelf/detail/admission/admission_level.hpp"

#include <algorithm> // min

namespace fulmarshelf {

namespace {

// Older windows still count, with less weight, so that the few arrivals of one
// window do not make the level jump.
constexpr double Decay = 0.7;

} // namespace

void AdmissionLevel::onArrival(Rank ArrivalRank) {
  std::size_t Bucket =
      std::min<std::size_t>(ArrivalRank >> BucketShift, BucketCount - 1);
  Arrivals_[Bucket] += 1;
}

void AdmissionLevel::onStart() { Starts_ += 1; }

void AdmissionLevel::onEviction() { ++Evictions_; }

std::size_t AdmissionLevel::bucketForCapacity() const {
  double CumulativeArrivals = 0;
  for (std::size_t Bucket = BucketCount; Bucket > 0; --Bucket) {
    CumulativeArrivals += Arrivals_[Bucket - 1];
    if (CumulativeArrivals > Starts_)
      return Bucket - 1;
  }
  return 0;
}

bool AdmissionLevel::update(TimePoint Now) {
  if (Now < WindowEnd_)
    return false;
  WindowEnd_ = Now + Window;
  std::size_t PreviousBucket = Bucket_;
  if (Evictions_ > 0) {
    Bucket_ = bucketForCapacity();
    Step_ = 1;
  } else {
    Bucket_ -= std::min(Bucket_, Step_);
    Step_ = std::min<std::size_t>(Step_ * 2, BucketCount);
  }
  for (double &Count : Arrivals_)
    Count *= Decay;
  Starts_ *= Decay;
  Evictions_ = 0;
  return Bucket_ != PreviousBucket;
}

Rank AdmissionLevel::level() const {
  return static_cast<Rank>(Bucket_ << BucketShift);
}

} // namespace fulmarshelf
