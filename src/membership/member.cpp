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

bool supersedes(const Member &Report, const Member &Current) {
  if (Report.Incarnation_ != Current.Incarnation_)
    return Report.Incarnation_ > Current.Incarnation_;
  if (Report.Version_ != Current.Version_)
    return Report.Version_ > Current.Version_;
  return Report.Status_ > Current.Status_;
}

std::uint64_t rendezvousWeight(const std::string &Key,
                               const std::string &Node) {
  return stableHash(Key + "|" + Node);
}

} // namespace fulmarshelf
