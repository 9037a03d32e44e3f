#ifndef FULMARSHELF_DETAIL_ROUTING_CALL_GRAPH_HPP
#define FULMARSHELF_DETAIL_ROUTING_CALL_GRAPH_HPP

#include <map>           // map
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief Which routes are called by the work of which others, learned from the
/// requests of this VM.
///
/// Calls name no parent. One that ends just when some running work ends was
/// most likely made by it; over many requests the routes of calls are told from
/// those of callers, whose ends agree with running work only by chance.
class CallGraph {
public:
  /// @brief A request of a route came in whose end agrees with running work.
  void onMatch(const std::string &Child, const std::string &Parent);
  /// @brief A request of a route came in that agrees with no running work.
  void onMismatch(const std::string &Child);

  /// @brief True when the route's requests are calls of running work, as far
  /// as is known.
  bool isCalled(const std::string &Route) const;
  /// @brief True when too little is known to tell.
  bool isUndecided(const std::string &Route) const;
  /// @brief How often work of a route made a call of another.
  double strength(const std::string &Child, const std::string &Parent) const;
  /// @brief True when work of a route is known to make calls. O(routes)
  bool hasCalls(const std::string &Parent) const {
    return !callsOf(Parent).empty();
  }
  /// @brief Routes that work of a route calls. O(routes)
  std::vector<std::string> callsOf(const std::string &Parent) const;

private:
  struct Entry {
    double Seen_ = 0;
    double Matched_ = 0;
    std::map<std::string, double> Parents_;
  };

  Entry *touch(const std::string &Child);

  std::unordered_map<std::string, Entry> Routes_;
};

} // namespace fulmarshelf

#endif
