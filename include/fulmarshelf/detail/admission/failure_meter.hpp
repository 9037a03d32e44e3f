#ifndef FULMARSHELF_DETAIL_ADMISSION_FAILURE_METER_HPP
#define FULMARSHELF_DETAIL_ADMISSION_FAILURE_METER_HPP

#include "fulmarshelf/detail/base/time.hpp" // TimePoint

namespace fulmarshelf {

/// @brief Measures the share of calls that a backend server itself rejects or
/// fails.
///
/// Load pattern: a server fails a part of its calls immediately while it
/// reports itself healthy. It appears fast and idle and attracts work, and a
/// request that needs many calls rarely succeeds. So the choice of owners takes
/// the failure share into account.
class FailureMeter {
public:
  /// @brief Counts a call that the server answered, rejected or failed.
  void onCallEnded(TimePoint Now, bool Failed);

  /// @brief Current share of failures, 0 to 1; 0 while failures are rare. The
  /// share decays while no calls are made, so that the server is used again.
  double share(TimePoint Now) const;

  /// @brief Discards the measurements of a server instance that has ended.
  void restart() { *this = FailureMeter(); }

private:
  double decayed(TimePoint Now) const;

  double MeanFailures_ = 0;
  TimePoint UpdatedAt_;
};

} // namespace fulmarshelf

#endif
