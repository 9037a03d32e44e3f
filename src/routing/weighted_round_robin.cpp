#include "fulmarshelf/detail/routing/weighted_round_robin.hpp"

namespace fulmarshelf {

std::string WeightedRoundRobin::next(const std::vector<ServiceShare> &Shares) {
  if (Shares.size() == 1)
    return Shares.front().Service_;
  std::int64_t TotalWeight = 0;
  const ServiceShare *Selected = nullptr;
  for (const ServiceShare &Share : Shares) {
    if (Share.Weight_ == 0)
      continue;
    TotalWeight += Share.Weight_;
    Credits_[Share.Service_] += Share.Weight_;
    if (Selected == nullptr ||
        Credits_[Share.Service_] > Credits_[Selected->Service_])
      Selected = &Share;
  }
  if (Selected == nullptr)
    return {};
  Credits_[Selected->Service_] -= TotalWeight;
  return Selected->Service_;
}

} // namespace fulmarshelf
