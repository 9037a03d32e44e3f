#include "fulmarshelf/detail/engine/downstream_shares.hpp"

namespace fulmarshelf {

OwnerShares downstreamShares(NodeState &Node, const std::string &Route) {
  OwnerShares Shares = Node.Demand_.shares();
  for (const std::string &Called : Node.Graph_.calledRoutes(Route)) {
    Shares.Admitted_ =
        minShares(Shares.Admitted_, Node.Admission_.shares(Node.Now_, Called));
    Shares.Local_ = minShares(
        Shares.Local_, Node.DomainShares_.localShares(Node.Now_, Called));
    Shares.Remote_ = minShares(
        Shares.Remote_, Node.DomainShares_.remoteShares(Node.Now_, Called));
  }
  return Shares;
}

} // namespace fulmarshelf
