#ifndef FULMARSHELF_DETAIL_ROUTING_CALL_GRAPH_HPP
#define FULMARSHELF_DETAIL_ROUTING_CALL_GRAPH_HPP

#include "fulmarshelf/detail/routing/origin_test.hpp" // OriginTest

#include <map>           // map
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief Which routes are called by the work of which others, learned from the
/// requests of this VM.
///
/// Calls name no parent. A request that may be a call is compared with the
/// running work that could have made it: it ends when the work ends, or, where
/// a limit of its own hides that, it comes just after the work got an answer.
class CallGraph {
public:
  /// @brief The end of a request was compared with those of running work.
  /// @param Hit whether it agreed with some of it
  /// @param Chance probability that a caller's request would have agreed
  void onDeadlineCompared(const std::string &Child, bool Hit, double Chance);
  /// @brief The moment of a request was compared with those at which running
  /// work got answers; its end agreed with none.
  void onArrivalTimeCompared(const std::string &Child, bool Hit, double Chance);
  /// @brief A request was traced to work of a route.
  void onParentFound(const std::string &Child, const std::string &Parent);
  /// @brief A request left itself more time than any running work has, which no
  /// call can.
  void onCallerRequest(const std::string &Child);

  /// @brief Whose requests come in on a route, as far as is known.
  RouteOrigin origin(const std::string &Route) const;
  /// @brief False when the ends of a route's requests agree with those of
  /// running work by chance only.
  bool deadlinesMatchCalls(const std::string &Route) const;
  /// @brief How often work of a route made a call of another.
  double callFrequency(const std::string &Child,
                       const std::string &Parent) const;
  /// @brief Routes that work of a route calls. O(routes)
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

  Entry *touch(const std::string &Child);

  std::unordered_map<std::string, Entry> Routes_;
};

} // namespace fulmarshelf

#endif
