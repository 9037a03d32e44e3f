#include "fulmarshelf/detail/engine/downstream_shares.hpp"

namespace fulmarshelf {

OwnerShares downstreamShares(NodeState &Node, const std::string &Route) {
  OwnerShares Result = Node.Demand_.shares();
  for (const std::string &Called : Node.Graph_.calledRoutes(Route)) {
    Result.Admitted_ =
        minShares(Result.Admitted_, Node.Admission_.shares(Node.Now_, Called));
    Result.Local_ = minShares(
        Result.Local_, Node.DomainShares_.localShares(Node.Now_, Called));
    Result.Remote_ = minShares(
        Result.Remote_, Node.DomainShares_.remoteShares(Node.Now_, Called));
  }
  return Result;
}

} // namespace fulmarshelf
