#include "fulmarshelf/detail/admission/failure_meter.hpp"

#include <cmath> // exp2

namespace fulmarshelf {

namespace {

// The mean of about twenty calls tells a tenth from a half.
constexpr double Weight = 0.05;
// Servers fail some calls in a thousand at any time.
constexpr double UsualShare = 0.05;
constexpr double HalfLifeMicros = 2e6;

} // namespace

double FailureMeter::decayed(TimePoint Now) const {
  auto Age = static_cast<double>((Now - At_).count());
  return Mean_ * std::exp2(-Age / HalfLifeMicros);
}

void FailureMeter::onEnded(TimePoint Now, bool Failed) {
  Mean_ += Weight * ((Failed ? 1 : 0) - Mean_);
  At_ = Now;
}

double FailureMeter::share(TimePoint Now) const {
  double Share = decayed(Now);
  return Share < UsualShare ? 0 : Share;
}

} // namespace fulmarshelf
