#include "fulmarshelf/detail/routing/service_index.hpp"

#include <algorithm> // sort
#include <map>       // map
#include <utility>   // move

namespace fulmarshelf {

ServiceIndex::ServiceIndex(std::string Self) : Self_(std::move(Self)) {}

const ServiceOwners &ServiceIndex::owners(const Membership &Mesh,
                                          const std::string &Service) {
  if (Changes_ != Mesh.changes()) {
    std::map<std::string, std::vector<Member>> ByService;
    for (const Member &Known : Mesh.available())
      if (!Known.Service_.empty())
        ByService[Known.Service_].push_back(Known);
    Owners_.clear();
    for (std::pair<const std::string, std::vector<Member>> &Item : ByService)
      Owners_[Item.first] = split(std::move(Item.second));
    Changes_ = Mesh.changes();
  }
  return Owners_[Service];
}

// Takes one owner of each failure domain in turn, the heaviest first.
ServiceOwners ServiceIndex::split(std::vector<Member> Members) const {
  std::sort(Members.begin(), Members.end(),
            [this](const Member &Left, const Member &Right) {
              return rendezvousWeight(Self_, Left.Node_) >
                     rendezvousWeight(Self_, Right.Node_);
            });
  std::map<std::string, std::size_t> TakenOfDomain;
  std::vector<std::pair<std::size_t, Member>> Turns;
  Turns.reserve(Members.size());
  for (const Member &Known : Members)
    Turns.emplace_back(TakenOfDomain[Known.FailureDomain_]++, Known);
  std::stable_sort(Turns.begin(), Turns.end(),
                   [](const std::pair<std::size_t, Member> &Left,
                      const std::pair<std::size_t, Member> &Right) {
                     return Left.first < Right.first;
                   });
  ServiceOwners Result;
  for (const std::pair<std::size_t, Member> &Turn : Turns) {
    bool Preferred = Result.Preferred_.size() < PreferredOwners;
    (Preferred ? Result.Preferred_ : Result.Others_).push_back(Turn.second);
  }
  return Result;
}

} // namespace fulmarshelf
