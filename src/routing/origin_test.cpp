#include "fulmarshelf/detail/routing/origin_test.hpp"

#include <algorithm> // clamp
#include <cmath>     // sqrt

namespace fulmarshelf {

namespace {

// An excess of this many standard deviations occurs by chance once in 700
// tests.
constexpr double WorkDeviations = 3;
// Requests count as callers' requests when the excess hits are, with a
// confidence of nineteen cases in twenty, less than CallersExcessShare of the
// misses expected by chance. For calls this share is nearly half or more, even
// where slow work makes them late.
constexpr double CallersDeviations = 1.65;
constexpr double CallersExcessShare = 0.35;
// With fewer expected misses the comparisons allow no decision.
constexpr double MinExpectedMisses = 2;
// With a chance near 0 or 1 a single comparison would decide the test.
constexpr double MinChance = 0.02;
constexpr double MaxChance = 0.98;
// Comparisons lose their weight over this many newer ones, so that a change of
// a route's origin is detected.
constexpr double DecayComparisons = 200;

} // namespace

void OriginTest::onCompared(bool Hit, double Chance) {
  double HitProbability = std::clamp(Chance, MinChance, MaxChance);
  double Decay = 1 - 1 / DecayComparisons;
  ExcessHits_ = Decay * ExcessHits_ + (Hit ? 1 : 0) - HitProbability;
  Variance_ = Decay * Variance_ + HitProbability * (1 - HitProbability);
  ExpectedMisses_ = Decay * ExpectedMisses_ + 1 - HitProbability;
}

bool OriginTest::hasData() const {
  return ExpectedMisses_ >= MinExpectedMisses;
}

RouteOrigin OriginTest::verdict() const {
  if (!hasData())
    return RouteOrigin::Undecided;
  double Deviation = std::sqrt(Variance_);
  double MaxCallersExcess = CallersExcessShare * ExpectedMisses_;
  if (ExcessHits_ >= WorkDeviations * Deviation &&
      ExcessHits_ > MaxCallersExcess)
    return RouteOrigin::Work;
  return ExcessHits_ + CallersDeviations * Deviation < MaxCallersExcess
             ? RouteOrigin::Callers
             : RouteOrigin::Undecided;
}

} // namespace fulmarshelf
