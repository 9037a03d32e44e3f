#include "fulmarshelf/detail/membership/member.hpp"

#include "fulmarshelf/detail/base/hash.hpp" // stableHash

namespace fulmarshelf {

std::string_view statusName(MemberStatus Status) {
  switch (Status) {
  case MemberStatus::Alive:
    return "alive";
  case MemberStatus::Leaving:
    return "leaving";
  case MemberStatus::Suspect:
    return "suspect";
  case MemberStatus::Dead:
    return "dead";
  }
  return "dead";
}

bool supersedes(const Member &Report, const Member &Known) {
  if (Report.Incarnation_ != Known.Incarnation_)
    return Report.Incarnation_ > Known.Incarnation_;
  if (Report.Version_ != Known.Version_)
    return Report.Version_ > Known.Version_;
  return Report.Status_ > Known.Status_;
}

std::uint64_t rendezvousWeight(const std::string &Key,
                               const std::string &Node) {
  return stableHash(Key + "|" + Node);
}

} // namespace fulmarshelf
