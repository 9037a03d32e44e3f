#include "fulmarshelf/detail/engine/inputs.hpp"

namespace fulmarshelf {

std::string_view collectionName(Collection Kind) {
  return Kind == Collection::Teams ? "teams" : "routes";
}

std::string_view storeCallName(StoreCall Call) {
  switch (Call) {
  case StoreCall::List:
    return "list";
  case StoreCall::Watch:
    return "watch";
  case StoreCall::Nodes:
    return "nodes";
  case StoreCall::Announce:
    return "announce";
  case StoreCall::Withdraw:
    return "withdraw";
  case StoreCall::Remove:
    return "remove";
  }
  return "list";
}

} // namespace fulmarshelf
