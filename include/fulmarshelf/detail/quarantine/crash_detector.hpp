#ifndef FULMARSHELF_DETAIL_QUARANTINE_CRASH_DETECTOR_HPP
#define FULMARSHELF_DETAIL_QUARANTINE_CRASH_DETECTOR_HPP

#include "fulmarshelf/detail/base/time.hpp"                 // TimePoint
#include "fulmarshelf/detail/quarantine/request_digest.hpp" // RequestDigest

#include <cstddef> // size_t
#include <vector>  // vector

namespace fulmarshelf {

/// @brief Finds the requests that were in progress at a backend server when it
/// crashed.
///
/// A lost connection alone does not show a crash: a faulty server loses single
/// answers. The crash is confirmed when the server then refuses a connection or
/// another incarnation announces itself, without an answer in between. The
/// owner opens a connection for this check, since placement avoids a failing
/// owner and no other request may arrive.
class CrashDetector {
public:
  /// @brief A request that had been sent ended without an answer, because its
  /// connection was closed.
  void onLost(TimePoint Now, const RequestDigest &Digest);

  /// @brief The server answered, so it had not crashed.
  void onAnswer(TimePoint Now);

  /// @brief True while requests are lost and the server has not answered since.
  bool isSuspected() const { return !Lost_.empty(); }

  /// @brief The server leaves as planned, or another node state makes the lost
  /// requests no evidence.
  void reset() { Lost_.clear(); }

  /// @brief The server has ended without having announced it.
  /// @return requests in progress at that time, each once; empty when there
  /// were none or they were lost too long ago
  std::vector<RequestDigest> confirm(TimePoint Now);

private:
  struct LostRequest {
    TimePoint At_;
    RequestDigest Digest_;
  };

  std::vector<LostRequest> Lost_; ///< in order of time, at most MaxLost
};

} // namespace fulmarshelf

#endif
