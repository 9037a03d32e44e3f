#ifndef FULMARSHELF_DETAIL_ADMISSION_DOMAIN_SHARE_TABLE_HPP
#define FULMARSHELF_DETAIL_ADMISSION_DOMAIN_SHARE_TABLE_HPP

#include "fulmarshelf/detail/admission/share_table.hpp" // ShareTable

#include <string> // string

namespace fulmarshelf {

/// @brief Shares of the demand for each route that the owners of the local
/// failure domain can serve, for local demand and for demand of other domains.
///
/// Load pattern: requests make many calls to one deep service that is full in
/// their failure domain but not in others. Moving each call separately costs a
/// domain crossing for every call; moving the root of the chain costs one. So
/// the minimum of the downstream shares is reported up the chain, and the entry
/// of the root uses it to place the whole chain.
class DomainShareTable {
public:
  /// @brief Records the shares that an owner of the local domain reported in
  /// its reply.
  void learn(TimePoint Now, const std::string &Route,
             const OwnerShares &Reported);

  /// @brief Records that no owner of the local domain serves the route.
  void learnNoOwner(TimePoint Now, const std::string &Route);

  /// @brief Shares for requests that start in this domain.
  AdmittedShares localShares(TimePoint Now, const std::string &Route) const;

  /// @brief Shares for requests that other domains would send.
  AdmittedShares remoteShares(TimePoint Now, const std::string &Route) const;

private:
  ShareTable Local_;
  ShareTable Remote_;
};

} // namespace fulmarshelf

#endif
