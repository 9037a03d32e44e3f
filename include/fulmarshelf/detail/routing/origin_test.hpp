#ifndef FULMARSHELF_DETAIL_ROUTING_ORIGIN_TEST_HPP
#define FULMARSHELF_DETAIL_ROUTING_ORIGIN_TEST_HPP

#include <cstdint> // uint8_t

namespace fulmarshelf {

/// @brief Whose requests come in on a route.
enum class RouteOrigin : std::uint8_t {
  Undecided, ///< too little is known
  Callers,   ///< callers of this VM
  Work,      ///< running work of this VM, as calls
};

/// @brief Tells calls from callers' requests by how often requests agree with
/// running work. A caller's request agrees by chance only, and how likely that
/// is is known; how often calls agree is not, since slow work makes them late.
class OriginTest {
public:
  /// @brief A request was compared with running work.
  /// @param Hit whether it agreed with some of it
  /// @param Chance probability that a caller's request would have agreed
  void onCompared(bool Hit, double Chance);

  /// @brief False until a few comparisons were made.
  bool hasData() const;

  /// @brief What the comparisons say so far.
  RouteOrigin verdict() const;

private:
  double Excess_ = 0;   ///< hits above those that chance gives
  double Variance_ = 0; ///< of the hits that chance gives
  double Rest_ = 0;     ///< misses that chance gives
};

} // namespace fulmarshelf

#endif
