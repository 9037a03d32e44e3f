#ifndef FULMARSHELF_DETAIL_QUARANTINE_QUARANTINE_HPP
#define FULMARSHELF_DETAIL_QUARANTINE_QUARANTINE_HPP

#include "fulmarshelf/detail/base/time.hpp"               // TimePoint
#include "fulmarshelf/detail/quarantine/crash_report.hpp" // CrashReport

#include <cstddef>     // size_t
#include <map>         // map
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace fulmarshelf {

/// @brief How likely a request is to crash the backend server that runs it.
enum class Suspicion : std::uint8_t {
  None,
  Suspect,       ///< was in progress at one crash
  StrongSuspect, ///< was in progress at several crashes
  SetAside,      ///< must not run
};

/// @brief `none`, `suspect`, `strong-suspect` or `set-aside`.
std::string_view suspicionName(Suspicion Value);

/// @brief One request with evidence against it, for operators.
struct QuarantinedRequest {
  RequestDigest Digest_;
  Suspicion Suspicion_ = Suspicion::None;
  std::size_t Crashes_ = 0;
  std::uint64_t Rejected_ = 0; ///< attempts that this node has refused
  std::string Target_; ///< method, host and path; empty: not seen at this node
  friend bool operator==(const QuarantinedRequest &,
                         const QuarantinedRequest &) = default;
};

/// @brief Evidence against requests that crash the backend servers which run
/// them, and the requests that are set aside.
///
/// Load pattern: one request crashes each server that runs it, and is sent
/// again under other ids at other entries. All other requests in progress at
/// that server are lost as well, so being in progress at one crash is weak
/// evidence. A request is set aside for ShortTime when it is the only one in
/// progress at a crash that was also in progress at an earlier one, and for
/// LongTime after three crashes. Crashes less than SimultaneousTime apart may
/// have a cause in common, such as a failed dependency, and a frequent request
/// is in progress at each of them; so one of the three must come later. The
/// evidence against a request is discarded when a server answers it. Owners
/// limit the number of suspects that run at a time, so that few requests are in
/// progress at several crashes.
class Quarantine {
public:
  /// @brief Records a crash.
  /// @param SetAside receives the requests that are set aside by this report
  /// @return false when the crash is known already
  bool learnCrash(TimePoint Now, const CrashReport &Report,
                  std::vector<RequestDigest> &SetAside);

  /// @brief Adds evidence from another node about crashes that are not known
  /// here, as after a restart.
  void learnEvidence(TimePoint Now, const std::vector<CrashEvidence> &Evidence);

  /// @brief A backend server answered the request.
  /// @return true when it was a strong suspect, which other nodes should learn
  bool onServed(TimePoint Now, const RequestDigest &Digest);

  /// @brief Removes the evidence against a request.
  /// @return false when there was none
  bool clear(TimePoint Now, const RequestDigest &Digest);

  /// @brief An attempt was refused, which extends the time that the request is
  /// set aside.
  void onRejected(TimePoint Now, const RequestDigest &Digest,
                  const std::string &Target);

  /// @brief Current suspicion; O(log n).
  Suspicion suspicion(TimePoint Now, const RequestDigest &Digest) const;

  /// @brief True after as many crashes as set a request aside for LongTime,
  /// simultaneous ones included; O(log n).
  bool hasManyCrashes(const RequestDigest &Digest) const;

  /// @brief True when the request was served after the last crash beside it and
  /// within ServedTime, so that a further crash is no evidence.
  bool wasServed(TimePoint Now, const RequestDigest &Digest) const;

  /// @brief Requests with evidence against them, those set aside first.
  std::vector<QuarantinedRequest> requests(TimePoint Now) const;

  /// @brief Evidence for a node that has restarted, the strongest first.
  /// @param MaxCount most requests to return
  std::vector<CrashEvidence> evidence(TimePoint Now,
                                      std::size_t MaxCount) const;

  /// @brief Crashes at which the request was in progress; O(log n).
  std::size_t crashes(const RequestDigest &Digest) const;

  bool empty() const { return Entries_.empty(); }
  std::size_t size() const { return Entries_.size(); }

  /// @brief Removes evidence that is too old.
  void expire(TimePoint Now);

  static constexpr Micros ShortTime = millis(5'000);
  static constexpr Micros LongTime = std::chrono::minutes(10);
  static constexpr Micros ServedTime = millis(10'000);
  static constexpr Micros SimultaneousTime = millis(1'000);
  /// @brief Bound of the requests with evidence; the weakest is dropped.
  static constexpr std::size_t MaxRequests = 1024;

private:
  struct Entry {
    std::vector<std::uint64_t> Crashes_;
    unsigned CrashTimes_ = 0; ///< times of crashes, simultaneous ones as one
    TimePoint LastCrashAt_;
    TimePoint ServedAt_;
    TimePoint SetAsideUntil_;
    std::uint64_t Rejected_ = 0;
    std::string Target_;
  };

  static bool isConclusive(const Entry &Suspect);
  void addCrash(TimePoint Now, const RequestDigest &Digest,
                std::uint64_t Crash);
  void rememberCrash(TimePoint Now, std::uint64_t Crash);
  void dropWeakest();

  std::map<RequestDigest, Entry> Entries_;
  std::map<std::uint64_t, TimePoint> KnownCrashes_;
};

} // namespace fulmarshelf

#endif
