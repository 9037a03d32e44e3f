#include "fulmarshelf/detail/admission/failure_meter.hpp"

#include <cmath> // exp2

namespace fulmarshelf {

namespace {

// Weight of one call in the mean, which thus covers about twenty calls: enough
// to distinguish a failure share of a tenth from one of a half.
constexpr double CallWeight = 0.05;
// Healthy servers also fail a few calls in a thousand; shares below this count
// as 0.
constexpr double MinReportedShare = 0.05;
constexpr double HalfLifeMicros = 2e6;

} // namespace

double FailureMeter::decayed(TimePoint Now) const {
  auto Age = static_cast<double>((Now - UpdatedAt_).count());
  return MeanFailures_ * std::exp2(-Age / HalfLifeMicros);
}

void FailureMeter::onCallEnded(TimePoint Now, bool Failed) {
  MeanFailures_ += CallWeight * ((Failed ? 1 : 0) - MeanFailures_);
  UpdatedAt_ = Now;
}

double FailureMeter::share(TimePoint Now) const {
  double Share = decayed(Now);
  return Share < MinReportedShare ? 0 : Share;
}

} // namespace fulmarshelf
