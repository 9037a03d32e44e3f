#ifndef FULMARSHELF_DETAIL_ROUTING_ORIGIN_TEST_HPP
#define FULMARSHELF_DETAIL_ROUTING_ORIGIN_TEST_HPP

#include "fulmarshelf/detail/wire/route_origin.hpp" // RouteOrigin

namespace fulmarshelf {

/// @brief Statistical test that distinguishes calls from callers' requests by
/// the share of requests that match running work. A caller's request matches by
/// chance only, with a known probability. The match rate of calls is unknown,
/// because slow work makes calls late.
class OriginTest {
public:
  /// @brief Records that a request was compared with running work.
  /// @param Hit whether the request matched some running work
  /// @param Chance probability that a caller's request would have matched
  void onCompared(bool Hit, double Chance);

  /// @brief True when the comparisons are enough for a decision.
  bool hasData() const;

  /// @brief Decision from the comparisons made so far.
  RouteOrigin verdict() const;

private:
  double ExcessHits_ = 0;     ///< hits in excess of those expected by chance
  double Variance_ = 0;       ///< variance of the hits expected by chance
  double ExpectedMisses_ = 0; ///< misses expected by chance
};

} // namespace fulmarshelf

#endif
