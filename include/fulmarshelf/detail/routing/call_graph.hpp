#ifndef FULMARSHELF_DETAIL_ROUTING_CALL_GRAPH_HPP
#define FULMARSHELF_DETAIL_ROUTING_CALL_GRAPH_HPP

#include "fulmarshelf/detail/routing/origin_test.hpp" // OriginTest

#include <map>           // map
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief Graph of the routes whose work calls other routes, learned from the
/// requests of this VM.
///
/// Calls do not name their parent. A request that may be a call is compared
/// with the running work that could have made it: a call has the deadline of
/// its parent, or, where a time-out of its own hides that deadline, it arrives
/// just after the parent received an answer.
class CallGraph {
public:
  /// @brief The deadline of a request was compared with the deadlines of
  /// running work.
  /// @param Hit whether the deadline matched that of some running work
  /// @param Chance probability that a caller's request would have matched
  void onDeadlineCompared(const std::string &Child, bool Hit, double Chance);
  /// @brief The arrival time of a request was compared with the times at which
  /// running work received answers; its deadline matched no running work.
  /// @param Hit whether the arrival time matched such a time
  /// @param Chance probability that a caller's request would have matched
  void onArrivalTimeCompared(const std::string &Child, bool Hit, double Chance);
  /// @brief The parent of a request was found: work of the given route.
  void onParentFound(const std::string &Child, const std::string &Parent);
  /// @brief A request has more time left than any running work, so it cannot be
  /// a call.
  void onCallerRequest(const std::string &Child);

  /// @brief Origin of the requests of a route, as far as it is known.
  RouteOrigin origin(const std::string &Route) const;
  /// @brief False when the deadlines of a route's requests match those of
  /// running work by chance only.
  bool deadlinesMatchCalls(const std::string &Route) const;
  /// @brief Number of calls of a route that were made by work of another route,
  /// with older calls weighted less.
  double callFrequency(const std::string &Child,
                       const std::string &Parent) const;
  /// @brief Routes that are called by work of a route. O(routes)
  std::vector<std::string> calledRoutes(const std::string &Parent) const;
  /// @brief True when work of a route is known to make calls. O(routes)
  bool makesCalls(const std::string &Parent) const {
    return !calledRoutes(Parent).empty();
  }

private:
  struct Entry {
    OriginTest ByDeadline_;
    OriginTest ByArrivalTime_;
    double ParentsFound_ = 0;
    std::map<std::string, double> Parents_;
  };

  Entry *findOrAdd(const std::string &Child);

  std::unordered_map<std::string, Entry> Routes_;
};

} // namespace fulmarshelf

#endif
