#ifndef FULMARSHELF_DETAIL_ROUTING_OWNER_CHOICE_HPP
#define FULMARSHELF_DETAIL_ROUTING_OWNER_CHOICE_HPP

#include "fulmarshelf/detail/base/time.hpp"     // TimePoint, Micros
#include "fulmarshelf/detail/wire/messages.hpp" // LoadReport, Rank

#include <array>         // array
#include <optional>      // optional
#include <random>        // mt19937_64
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief What an entry has learned about one owner from its own calls.
class OwnerView {
public:
  /// @brief An attempt was sent.
  void onSent();
  /// @brief An attempt ended.
  /// @param Slowness its time over the usual time of its route
  void onEnded(TimePoint Now, double Slowness);
  /// @brief An attempt ended without telling anything about speed.
  void onEnded();
  /// @brief An attempt was given up while the owner still held it back.
  /// @param AtLeast lowest slowness that this shows; how slow it really is
  /// stays unknown, so each such attempt makes it count as slower
  void onAbandoned(TimePoint Now, double AtLeast);
  /// @brief The owner told its load along with an answer.
  void onReport(TimePoint Now, const std::string &Route, unsigned Importance,
                const LoadReport &Report);

  /// @brief How much slower than usual calls run there, 1 when as usual;
  /// falls back to 1 with time so that a recovered owner is tried again.
  double slowness(TimePoint Now) const;
  /// @brief True for a while after the owner said that it leaves.
  bool isLeaving(TimePoint Now) const;
  /// @brief Lowest rank admitted for a route, 0 when not known or outdated.
  Rank level(TimePoint Now, const std::string &Route) const;
  /// @brief The backend server took so long for a call of a route.
  void onServiceTime(const std::string &Route, Micros Took);
  /// @brief Usual time of a route at the owner's backend server, failures and
  /// silences counted in; nullopt when it has not run there yet.
  std::optional<Micros> serviceTime(TimePoint Now,
                                    const std::string &Route) const;
  /// @brief Share of calls that fail there by the server's own doing, as the
  /// owner told lately.
  double failureShare(TimePoint Now) const;
  /// @brief True when the owner said lately that it and all behind it admit
  /// every request of a route and importance, and has slots to spare.
  bool hasSpareCapacity(TimePoint Now, const std::string &Route,
                        unsigned Importance) const;
  /// @brief Share of a route's calls that there is room for, at the owner and
  /// behind it.
  /// @param Near whether the root of their chain is in its failure domain
  double share(TimePoint Now, const std::string &Route, unsigned Importance,
               bool Near) const;
  /// @brief Time until a call that is sent now would start, from the owner's
  /// last word and what was sent to it since.
  /// @param Importance of the call; more important work waits less
  /// @param Service usual time of the calls that are sent there
  Micros expectedQueueDelay(TimePoint Now, unsigned Importance,
                            Micros Service) const;

  /// @brief Lets one request through although the level forbids it.
  /// @return true at most once per probe interval
  bool takeProbe(TimePoint Now, const std::string &Route);

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
    Micros Wait_{0};
    TimePoint ReceivedAt_;
  };

  unsigned InFlight_ = 0;
  unsigned SentSinceReport_ = 0;
  std::unordered_map<std::string, Micros> Services_;
  std::array<ReportedDelay, ImportanceLevels> Waits_{};
  double Slowness_ = 1;
  TimePoint SlownessAt_;
  LoadReport Report_;
  TimePoint ReportedAt_;
  std::unordered_map<std::string, RouteLevel> Levels_;
};

/// @brief One owner that could take a request.
struct Candidate {
  std::string Node_;
  double Slowness_ = 1;
  unsigned InFlight_ = 0;
  LoadReport Report_;
  double Distance_ = 0;    ///< network time over the usual time of the route
  Micros QueueDelay_{0};   ///< until a call would start there
  Micros ServiceTime_{0};  ///< its time once it has started
  bool SameDomain_ = true; ///< in this VM's failure domain
  double Share_ = 1;       ///< of such calls that fits there
  friend bool operator==(const Candidate &, const Candidate &) = default;
};

/// @brief Cost of giving one more call to a candidate; lower is better.
double candidateCost(const Candidate &Option);

/// @brief Picks two candidates at random and takes the cheaper one.
/// @param Options the owners that accept the request
/// @param Random source of randomness, seeded by the shell
/// @return index of the choice, nullopt when there is no candidate; O(1)
std::optional<std::size_t> chooseOwner(const std::vector<Candidate> &Options,
                                       std::mt19937_64 &Random);

/// @brief Time until a candidate would answer one more call.
Micros expectedCompletion(const Candidate &Option);

/// @brief A choice and what it says about the calls that were placed otherwise.
struct Placement {
  std::size_t Index_ = 0;  ///< of the chosen candidate
  double Probability_ = 1; ///< of the choice, by what had room
};

/// @brief When a call is worth sending to another failure domain.
struct CrossDomainRule {
  Micros Margin_{0}; ///< by which a candidate there has to be faster
  Micros AcceptableTime_{
      0}; ///< answers of the own domain within it are good enough
  friend bool operator==(const CrossDomainRule &,
                         const CrossDomainRule &) = default;
};

/// @brief Picks the candidate that answers first, where one in another failure
/// domain has to be better by a margin, and the own one not good enough: what
/// crosses domains is paid for, and a server that is merely faster is not worth
/// it.
///
/// Load pattern: a failure domain whose one backend server is slow, full, cold
/// or gone. Of what does not fit there, as much crosses over as fits elsewhere;
/// when nothing fits anywhere nothing crosses. Of the candidates in other
/// domains two random ones are looked at, so that not all entries run to the
/// same.
/// @return nullopt when there is no candidate
std::optional<Placement>
chooseByCompletion(const std::vector<Candidate> &Options,
                   const CrossDomainRule &Rule, std::mt19937_64 &Random);

} // namespace fulmarshelf

#endif
