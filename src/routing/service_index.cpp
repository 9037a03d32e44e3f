#include "fulmarshelf/detail/routing/service_index.hpp"

#include <algorithm> // sort
#include <map>       // map
#include <utility>   // move

namespace fulmarshelf {

ServiceIndex::ServiceIndex(std::string Self) : Self_(std::move(Self)) {}

const ServiceOwners &ServiceIndex::owners(const Membership &Mesh,
                                          const std::string &Service) {
  if (MembershipChanges_ != Mesh.changes()) {
    std::map<std::string, std::vector<Member>> ByService;
    for (const Member &Available : Mesh.available())
      if (!Available.Service_.empty())
        ByService[Available.Service_].push_back(Available);
    Owners_.clear();
    for (std::pair<const std::string, std::vector<Member>> &ServiceMembers :
         ByService)
      Owners_[ServiceMembers.first] =
          selectPreferred(std::move(ServiceMembers.second));
    MembershipChanges_ = Mesh.changes();
  }
  return Owners_[Service];
}

// Prefers one owner of each failure domain in turn, in descending order of
// rendezvous weight.
ServiceOwners ServiceIndex::selectPreferred(std::vector<Member> Members) const {
  std::sort(Members.begin(), Members.end(),
            [this](const Member &Left, const Member &Right) {
              return rendezvousWeight(Self_, Left.Node_) >
                     rendezvousWeight(Self_, Right.Node_);
            });
  std::map<std::string, std::size_t> CountOfDomain;
  std::vector<std::pair<std::size_t, Member>> OwnersByTurn;
  OwnersByTurn.reserve(Members.size());
  for (const Member &Owner : Members)
    OwnersByTurn.emplace_back(CountOfDomain[Owner.FailureDomain_]++, Owner);
  std::stable_sort(OwnersByTurn.begin(), OwnersByTurn.end(),
                   [](const std::pair<std::size_t, Member> &Left,
                      const std::pair<std::size_t, Member> &Right) {
                     return Left.first < Right.first;
                   });
  ServiceOwners Result;
  for (const std::pair<std::size_t, Member> &OwnerTurn : OwnersByTurn) {
    bool Preferred = Result.Preferred_.size() < PreferredOwners;
    (Preferred ? Result.Preferred_ : Result.Others_)
        .push_back(OwnerTurn.second);
  }
  return Result;
}

} // namespace fulmarshelf
