#ifndef FULMARSHELF_DETAIL_ROUTING_CALL_GRAPH_HPP
#define FULMARSHELF_DETAIL_ROUTING_CALL_GRAPH_HPP

#include "fulmarshelf/detail/routing/origin_test.hpp" // OriginTest

#include <map>           // map
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief Graph of the routes whose work calls other routes, learned from the
/// requests of this VM.
///
/// Calls do not name their parent. A request that may be a call is compared
/// with the running work that could have made it. A call has the deadline of
/// its parent, unless a time-out of the call itself hides that deadline. Such
/// a call arrives just after its parent received an answer.
class CallGraph {
public:
  /// @brief Records that the deadline of a request was compared with the
  /// deadlines of running work.
  /// @param Hit whether the deadline matched the deadline of some running work
  /// @param Chance probability that a caller's request would have matched
  void onDeadlineCompared(const std::string &Child, bool Hit, double Chance);
  /// @brief Records that the arrival time of a request whose deadline matched
  /// no running work was compared with the times at which running work received
  /// answers.
  /// @param Hit whether the request arrived just after such an answer
  /// @param Chance probability that a caller's request would have matched
  void onArrivalTimeCompared(const std::string &Child, bool Hit, double Chance);
  /// @brief Records that the parent of a request is work of the given route.
  void onParentFound(const std::string &Child, const std::string &Parent);
  /// @brief Records a request that has more time left than any running work and
  /// therefore cannot be a call.
  void onCallerRequest(const std::string &Child);

  /// @brief Records the origin that an owner of the route reported.
  void onOriginReported(const std::string &Child, RouteOrigin Reported);

  /// @brief Origin of a route's requests, Undecided until enough is known. An
  /// owner sees the requests of many entries, so its report comes first.
  RouteOrigin origin(const std::string &Route) const;
  /// @brief Returns the origin of a route if it differs from the one returned
  /// by the previous call for this route; Undecided at first.
  std::optional<RouteOrigin> takeOriginChange(const std::string &Route);
  /// @brief Routes whose work was found to call the route; O(parents)
  std::vector<std::string> callingRoutes(const std::string &Child) const;
  /// @brief False when the deadlines of a route's requests match those of
  /// running work by chance only.
  bool deadlinesMatchCalls(const std::string &Route) const;
  /// @brief Number of calls of the child route that were made by work of the
  /// parent route, with older calls weighted less.
  double callFrequency(const std::string &Child,
                       const std::string &Parent) const;
  /// @brief Routes that work of the parent route calls. O(routes)
  std::vector<std::string> calledRoutes(const std::string &Parent) const;
  /// @brief True when work of the route is known to make calls. O(routes)
  bool makesCalls(const std::string &Parent) const {
    return !calledRoutes(Parent).empty();
  }

private:
  struct Entry {
    OriginTest ByDeadline_;
    OriginTest ByArrivalTime_;
    double ParentsFound_ = 0; ///< requests with a found parent, decayed
    std::map<std::string, double> Parents_; ///< ParentsFound_ by parent route
    RouteOrigin OwnersOrigin_ = RouteOrigin::Undecided; ///< last reported
    RouteOrigin LoggedOrigin_ = RouteOrigin::Undecided;
  };

  Entry *findOrAdd(const std::string &Child);

  std::unordered_map<std::string, Entry> Routes_;
};

} // namespace fulmarshelf

#endif
