#ifndef FULMARSHELF_DETAIL_ROUTING_SERVICE_INDEX_HPP
#define FULMARSHELF_DETAIL_ROUTING_SERVICE_INDEX_HPP

#include "fulmarshelf/detail/membership/membership.hpp" // Membership

#include <cstdint>       // uint64_t
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace fulmarshelf {

/// @brief Owners of one service, as one entry uses them.
struct ServiceOwners {
  std::vector<Member> Preferred_; ///< to which connections are kept
  std::vector<Member> Others_;    ///< tried when none of the preferred accepts
};

/// @brief Members by service, kept until the membership changes.
///
/// Of a service with many workers an entry prefers a few, chosen by rendezvous
/// hashing and spread over the failure domains, so that the connections of a
/// node do not grow with the mesh.
class ServiceIndex {
public:
  /// @param Self name of this node, the key of the choice
  explicit ServiceIndex(std::string Self);

  /// @brief Owners of a service other than this node; O(1) unless membership
  /// has changed since, then O(members).
  const ServiceOwners &owners(const Membership &Mesh,
                              const std::string &Service);

  /// @brief Owners that an entry prefers, at most.
  static constexpr std::size_t PreferredOwners = 8;

private:
  ServiceOwners split(std::vector<Member> Members) const;

  std::string Self_;
  std::uint64_t Changes_ = UINT64_MAX;
  std::unordered_map<std::string, ServiceOwners> Owners_;
};

} // namespace fulmarshelf

#endif
