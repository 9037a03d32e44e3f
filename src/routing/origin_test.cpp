#include "fulmarshelf/detail/routing/origin_test.hpp"

#include <algorithm> // clamp
#include <cmath>     // sqrt

namespace fulmarshelf {

namespace {

// So many standard deviations above chance come about by chance once in 700.
constexpr double DecidingDeviations = 3;
// A caller's requests are told when, in nineteen cases of twenty, less than
// this part of what chance leaves over agreed as well; of calls it is nearly
// half at the least, even where slow work makes them late.
constexpr double SparedDeviations = 1.65;
constexpr double CallersExcess = 0.35;
// Too few comparisons say nothing.
constexpr double LeastRest = 2;
// With a chance near 0 or 1 one comparison would decide on its own.
constexpr double LeastChance = 0.02;
constexpr double MostChance = 0.98;
// Comparisons lose their weight over so many newer ones, so that a route that
// changes its nature is noticed.
constexpr double MemoryComparisons = 200;

} // namespace

void OriginTest::onCompared(bool Hit, double Chance) {
  double Random = std::clamp(Chance, LeastChance, MostChance);
  double Kept = 1 - 1 / MemoryComparisons;
  Excess_ = Kept * Excess_ + (Hit ? 1 : 0) - Random;
  Variance_ = Kept * Variance_ + Random * (1 - Random);
  Rest_ = Kept * Rest_ + 1 - Random;
}

bool OriginTest::hasData() const { return Rest_ >= LeastRest; }

RouteOrigin OriginTest::verdict() const {
  if (!hasData())
    return RouteOrigin::Undecided;
  double Deviation = std::sqrt(Variance_);
  double Callers = CallersExcess * Rest_;
  if (Excess_ >= DecidingDeviations * Deviation && Excess_ > Callers)
    return RouteOrigin::Work;
  return Excess_ + SparedDeviations * Deviation < Callers
             ? RouteOrigin::Callers
             : RouteOrigin::Undecided;
}

} // namespace fulmarshelf
