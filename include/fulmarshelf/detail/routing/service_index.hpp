#ifndef FULMARSHELF_DETAIL_ROUTING_SERVICE_INDEX_HPP
#define FULMARSHELF_DETAIL_ROUTING_SERVICE_INDEX_HPP

#include "fulmarshelf/detail/membership/membership.hpp" // Membership

#include <cstdint>       // uint64_t, UINT64_MAX
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief Owners of one service, ordered by the preference of one entry.
struct ServiceOwners {
  std::vector<Member> Preferred_; ///< owners with persistent connections
  std::vector<Member> Others_;    ///< tried when none of the preferred accepts
};

/// @brief Index of members by service, rebuilt when the membership changes.
///
/// An entry prefers a few of a service's owners. They are selected by
/// rendezvous hashing and distributed over the failure domains, so that the
/// number of connections of a node does not grow with the mesh.
class ServiceIndex {
public:
  /// @param Self name of this node, the key of the rendezvous hash
  explicit ServiceIndex(std::string Self);

  /// @brief Owners of a service, without this node. O(1), or O(members) after
  /// a change of the membership.
  const ServiceOwners &owners(const Membership &Mesh,
                              const std::string &Service);

  /// @brief Maximum number of owners that an entry prefers.
  static constexpr std::size_t PreferredOwners = 8;

private:
  ServiceOwners selectPreferred(std::vector<Member> Members) const;

  std::string Self_;
  /// Membership::changes() when the index was built.
  std::uint64_t MembershipChanges_ = UINT64_MAX;
  std::unordered_map<std::string, ServiceOwners> Owners_;
};

} // namespace fulmarshelf

#endif
