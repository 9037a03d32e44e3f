#ifndef FULMARSHELF_DETAIL_ROUTING_OWNER_CHOICE_HPP
#define FULMARSHELF_DETAIL_ROUTING_OWNER_CHOICE_HPP

#include "fulmarshelf/detail/base/time.hpp"     // TimePoint, Micros
#include "fulmarshelf/detail/wire/messages.hpp" // LoadReport, OwnerShares, Rank

#include <array>         // array
#include <optional>      // optional
#include <random>        // mt19937_64
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief State of one owner as an entry observes it through its own calls.
class OwnerView {
public:
  /// @brief An attempt was sent.
  void onSent();
  /// @brief An attempt ended.
  /// @param Slowness duration of the attempt divided by the typical duration of
  /// the route
  void onEnded(TimePoint Now, double Slowness);
  /// @brief An attempt ended without a usable duration.
  void onEnded();
  /// @brief An attempt was abandoned before the owner answered it.
  /// @param MinSlowness lower bound of the owner's slowness, from the time that
  /// the attempt had run; the actual slowness is unknown, so each abandoned
  /// attempt raises the estimate
  void onAbandoned(TimePoint Now, double MinSlowness);
  /// @brief The owner reported its load along with an answer.
  void onReport(TimePoint Now, const std::string &Route, unsigned Importance,
                const LoadReport &Report);

  /// @brief Duration of the owner's calls divided by the typical duration of
  /// their routes, 1 when equal. Decays to 1 with time so that a recovered
  /// owner receives calls again.
  double slowness(TimePoint Now) const;
  /// @brief True for a limited time after the owner reported that it leaves.
  bool isLeaving(TimePoint Now) const;
  /// @brief Lowest rank admitted for a route, 0 when unknown or outdated.
  Rank level(TimePoint Now, const std::string &Route) const;
  /// @brief The backend server ran a call of a route.
  /// @param ServiceTime duration of the call at the backend server
  void onServiceTime(const std::string &Route, Micros ServiceTime);
  /// @brief Typical service time of a route at the owner's backend server,
  /// multiplied by the slowness so that failed and unanswered calls count;
  /// nullopt when the route has not run there yet.
  std::optional<Micros> serviceTime(TimePoint Now,
                                    const std::string &Route) const;
  /// @brief Share of calls that fail through a fault of the owner's backend
  /// server, from a recent report of the owner; 0 without one.
  double failureShare(TimePoint Now) const;
  /// @brief Share of the requests of a route and importance that the owner and
  /// all its downstream services admit, from a recent report of an owner that
  /// has spare slots; 0 otherwise.
  double admittedShare(TimePoint Now, const std::string &Route,
                       unsigned Importance) const;
  /// @brief Share of a route's calls for which the owner and its downstream
  /// services have capacity; 1 without a recent report.
  /// @param SameDomain whether the root of the call chain is in the owner's
  /// failure domain
  double share(TimePoint Now, const std::string &Route, unsigned Importance,
               bool SameDomain) const;
  /// @brief Time until a call that is sent now would start, from the owner's
  /// last report and the calls sent to it since.
  /// @param Importance importance of the call; more important work has a
  /// shorter queue delay
  /// @param ServiceTime typical service time of the calls sent to the owner
  Micros expectedQueueDelay(TimePoint Now, unsigned Importance,
                            Micros ServiceTime) const;

  /// @brief Allows a request with a rank below the admission level as a probe.
  /// @return true at most once per probe interval and route
  bool tryAcquireProbe(TimePoint Now, const std::string &Route);

  unsigned inFlight() const { return InFlight_; }
  const LoadReport &report() const { return Report_; }

private:
  struct RouteLevel {
    Rank Level_ = 0;
    OwnerShares Shares_;
    TimePoint ReceivedAt_;
    TimePoint NextProbe_;
  };
  struct ReportedDelay {
    Micros QueueDelay_{0};
    TimePoint ReceivedAt_;
  };

  unsigned InFlight_ = 0;
  unsigned SentSinceReport_ = 0;
  std::unordered_map<std::string, Micros> ServiceTimes_;
  std::array<ReportedDelay, ImportanceCount> ReportedDelays_{};
  double Slowness_ = 1;
  TimePoint SlownessAt_;
  LoadReport Report_;
  TimePoint ReportedAt_;
  std::unordered_map<std::string, RouteLevel> Levels_;
};

/// @brief One owner that may receive a request, with its estimated times.
struct Candidate {
  std::string Node_;
  double Slowness_ = 1;
  unsigned InFlight_ = 0;
  LoadReport Report_;
  double Distance_ = 0;    ///< network round trip divided by the route's
                           ///< typical duration
  Micros QueueDelay_{0};   ///< time until a call sent now would start
  Micros ServiceTime_{0};  ///< time from the start of a call to its answer
  bool SameDomain_ = true; ///< owner is in the local failure domain
  double Share_ = 1; ///< share of such calls that the owner has capacity for
  friend bool operator==(const Candidate &, const Candidate &) = default;
};

/// @brief Cost of sending one more call to a candidate; lower is better.
double candidateCost(const Candidate &Option);

/// @brief Samples two candidates at random and selects the cheaper one.
/// @param Options owners that accept the request
/// @param Random source of randomness, seeded by the shell
/// @return index of the selected candidate, nullopt when there is no candidate;
/// O(1)
std::optional<std::size_t> chooseOwner(const std::vector<Candidate> &Options,
                                       std::mt19937_64 &Random);

/// @brief Time until a candidate would answer a call that is sent now.
Micros expectedCompletion(const Candidate &Option);

/// @brief A selected candidate and the probability that the capacity shares
/// select its domain. The reciprocal of the probability is the number of calls
/// that the placed one represents.
struct Placement {
  std::size_t Index_ = 0;  ///< index of the selected candidate
  double Probability_ = 1; ///< 1 when the capacity shares were not consulted
};

/// @brief Conditions for sending a call to another failure domain.
struct CrossDomainRule {
  Micros Margin_{0};         ///< minimum time that a remote candidate saves
  Micros AcceptableTime_{0}; ///< local answers within this time are fast enough
  friend bool operator==(const CrossDomainRule &,
                         const CrossDomainRule &) = default;
};

/// @brief Selects the candidate that is expected to answer first. A candidate
/// in another failure domain is selected for its speed only when it is faster
/// by the margin and the local one is slower than the acceptable time. Traffic
/// between domains is billed, and a merely faster server is not worth the cost.
/// Otherwise the capacity shares of both candidates decide at random, and a few
/// calls probe the other domains.
///
/// Load pattern: a failure domain whose only backend server is slow, full, cold
/// or gone. Of the calls that exceed its capacity, as many go to other domains
/// as those have capacity for. When no domain has capacity, no call except a
/// probe leaves the local domain. Only two random candidates of the other
/// domains are compared, so that the entries do not all send to the same owner.
/// @return nullopt when there is no candidate
std::optional<Placement>
chooseByCompletion(const std::vector<Candidate> &Options,
                   const CrossDomainRule &Rule, std::mt19937_64 &Random);

} // namespace fulmarshelf

#endif
