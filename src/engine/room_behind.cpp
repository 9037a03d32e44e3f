#include "fulmarshelf/detail/engine/room_behind.hpp"

namespace fulmarshelf {

OwnerShares sharesBehind(NodeState &Node, const std::string &Route) {
  OwnerShares Result = Node.Demand_.shares();
  for (const std::string &Called : Node.Graph_.callsOf(Route)) {
    Result.Admitted_ =
        scarcer(Result.Admitted_, Node.Gate_.shares(Node.Now_, Called));
    Result.Kept_ = scarcer(Result.Kept_, Node.Room_.kept(Node.Now_, Called));
    Result.Foreign_ =
        scarcer(Result.Foreign_, Node.Room_.foreign(Node.Now_, Called));
  }
  return Result;
}

} // namespace fulmarshelf
