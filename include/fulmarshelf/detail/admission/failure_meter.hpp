#ifndef FULMARSHELF_DETAIL_ADMISSION_FAILURE_METER_HPP
#define FULMARSHELF_DETAIL_ADMISSION_FAILURE_METER_HPP

#include "fulmarshelf/detail/base/time.hpp" // TimePoint

namespace fulmarshelf {

/// @brief Share of calls that a backend server rejects or fails by itself.
///
/// Load pattern: a server that fails a part of its calls at once while it says
/// that it is well. It looks fast and empty and draws work, and a request that
/// needs many calls hardly ever gets through. So its share of failures counts
/// in the choice of owners.
class FailureMeter {
public:
  /// @brief A call ended by the server's own doing.
  void onEnded(TimePoint Now, bool Failed);

  /// @brief Share of failures now, 0 to 1; 0 while they are rare. It fades when
  /// nothing is called, so that the server is tried again.
  double share(TimePoint Now) const;

  /// @brief Forgets what was seen of an instance that is over.
  void restart() { *this = FailureMeter(); }

private:
  double decayed(TimePoint Now) const;

  double Mean_ = 0;
  TimePoint At_;
};

} // namespace fulmarshelf

#endif
