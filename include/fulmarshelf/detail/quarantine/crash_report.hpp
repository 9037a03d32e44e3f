#ifndef FULMARSHELF_DETAIL_QUARANTINE_CRASH_REPORT_HPP
#define FULMARSHELF_DETAIL_QUARANTINE_CRASH_REPORT_HPP

#include "fulmarshelf/detail/quarantine/request_digest.hpp" // RequestDigest

#include <cstdint> // uint64_t
#include <vector>  // vector

namespace fulmarshelf {

/// @brief A crash of a backend server and the requests that were in progress.
struct CrashReport {
  std::uint64_t Crash_ = 0; ///< identifies the crash in the mesh
  std::vector<RequestDigest> InProgress_;
  friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

/// @brief Evidence against one request, as a node passes it on to a node that
/// has restarted.
struct CrashEvidence {
  RequestDigest Digest_;
  std::vector<std::uint64_t> Crashes_;
  unsigned CrashTimes_ = 0; ///< times of crashes, simultaneous ones as one
  friend bool operator==(const CrashEvidence &,
                         const CrashEvidence &) = default;
};

/// @brief Reports about requests that crash backend servers.
struct QuarantineNews {
  std::vector<CrashReport> Crashes_;
  std::vector<RequestDigest> Cleared_; ///< were served, or released
  bool empty() const { return Crashes_.empty() && Cleared_.empty(); }
  friend bool operator==(const QuarantineNews &,
                         const QuarantineNews &) = default;
};

} // namespace fulmarshelf

#endif
