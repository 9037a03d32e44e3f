#ifndef FULMARSHELF_DETAIL_ROUTING_CALL_GRAPH_HPP
#define FULMARSHELF_DETAIL_ROUTING_CALL_GRAPH_HPP

#include "fulmarshelf/detail/base/time.hpp" // Micros

#include <cstdint>       // uint8_t
#include <map>           // map
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief Whose requests come in on a route.
enum class RouteOrigin : std::uint8_t {
  Undecided, ///< too little is known
  Callers,   ///< callers of this VM
  Work,      ///< running work of this VM, as calls
};

/// @brief Which routes are called by the work of which others, learned from the
/// requests of this VM.
///
/// Calls name no parent. Each request is compared with the running work that
/// could have made it, and is a hit when it agrees with some of it: it ends
/// when the work ends, or, where its own time limit hides that, it comes just
/// after the work got an answer. A caller's request hits by chance only, and
/// how likely that is is known, so hits far above chance tell calls. How often
/// calls hit is not known: work that is slow makes them later than expected.
class CallGraph {
public:
  /// @brief A request was compared with running work.
  /// @param Hit whether it agreed with some of it
  /// @param Chance probability that a caller's request would have agreed
  void onCompared(const std::string &Child, bool Hit, double Chance);
  /// @brief A request was traced to work of a route.
  void onTraced(const std::string &Child, const std::string &Parent);
  /// @brief A request left itself more time than any running work has, which no
  /// call can.
  void onCaller(const std::string &Child);

  /// @brief Notes the time that a request leaves itself.
  /// @return true when so many requests of the route left themselves just that
  /// and none more, that it must be a limit of their own
  bool isAtLimit(const std::string &Child, Micros Left);

  /// @brief Whose requests come in on a route, as far as is known.
  RouteOrigin origin(const std::string &Route) const;
  /// @brief How often work of a route made a call of another.
  double strength(const std::string &Child, const std::string &Parent) const;
  /// @brief Routes that work of a route calls. O(routes)
  std::vector<std::string> callsOf(const std::string &Parent) const;
  /// @brief True when work of a route is known to make calls. O(routes)
  bool hasCalls(const std::string &Parent) const {
    return !callsOf(Parent).empty();
  }

private:
  struct Entry {
    double Excess_ = 0;   ///< hits above those that chance gives
    double Variance_ = 0; ///< of the hits that chance gives
    double Rest_ = 0;     ///< misses that chance gives
    double Traced_ = 0;
    std::map<std::string, double> Parents_;
    Micros MostLeft_{0};      ///< longest time left that was seen
    unsigned SeenAtMost_ = 0; ///< requests that left themselves just that
  };

  Entry *touch(const std::string &Child);

  std::unordered_map<std::string, Entry> Routes_;
};

} // namespace fulmarshelf

#endif
