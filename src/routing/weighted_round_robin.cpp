#include "fulmarshelf/detail/routing/weighted_round_robin.hpp"

namespace fulmarshelf {

std::string WeightedRoundRobin::next(const std::vector<ServiceShare> &Shares) {
  if (Shares.size() == 1)
    return Shares.front().Service_;
  std::int64_t Total = 0;
  const ServiceShare *Best = nullptr;
  for (const ServiceShare &Share : Shares) {
    if (Share.Weight_ == 0)
      continue;
    Total += Share.Weight_;
    Credits_[Share.Service_] += Share.Weight_;
    if (Best == nullptr || Credits_[Share.Service_] > Credits_[Best->Service_])
      Best = &Share;
  }
  if (Best == nullptr)
    return {};
  Credits_[Best->Service_] -= Total;
  return Best->Service_;
}

} // namespace fulmarshelf
