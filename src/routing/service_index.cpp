#include "fulmarshelf/detail/routing/service_index.hpp"

#include <algorithm> // sort, stable_sort
#include <map>       // map
#include <utility>   // move, pair

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

// Takes the owners in turns. Each turn holds one owner of each failure domain,
// and a domain's owners are taken in descending order of rendezvous weight.
ServiceOwners ServiceIndex::selectPreferred(std::vector<Member> Members) const {
  std::sort(Members.begin(), Members.end(),
            [this](const Member &Left, const Member &Right) {
              return rendezvousWeight(Self_, Left.Node_) >
                     rendezvousWeight(Self_, Right.Node_);
            });
  std::map<std::string, std::size_t> TurnsOfDomain;
  std::vector<std::pair<std::size_t, Member>> OwnersByTurn;
  OwnersByTurn.reserve(Members.size());
  for (const Member &Owner : Members)
    OwnersByTurn.emplace_back(TurnsOfDomain[Owner.FailureDomain_]++, Owner);
  std::stable_sort(OwnersByTurn.begin(), OwnersByTurn.end(),
                   [](const std::pair<std::size_t, Member> &Left,
                      const std::pair<std::size_t, Member> &Right) {
                     return Left.first < Right.first;
                   });
  ServiceOwners Owners;
  for (const std::pair<std::size_t, Member> &OwnerTurn : OwnersByTurn) {
    bool IsPreferred = Owners.Preferred_.size() < PreferredOwners;
    (IsPreferred ? Owners.Preferred_ : Owners.Others_)
        .push_back(OwnerTurn.second);
  }
  return Owners;
}

} // namespace fulmarshelf
