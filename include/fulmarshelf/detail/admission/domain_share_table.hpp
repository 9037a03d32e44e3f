#ifndef FULMARSHELF_DETAIL_ADMISSION_DOMAIN_SHARE_TABLE_HPP
#define FULMARSHELF_DETAIL_ADMISSION_DOMAIN_SHARE_TABLE_HPP

#include "fulmarshelf/detail/admission/share_table.hpp" // ShareTable

#include <string> // string

namespace fulmarshelf {

/// @brief What the owners of the own failure domain have room for behind each
/// route.
///
/// Load pattern: requests whose many calls go to one deep service that is full
/// in their failure domain and not in others. Moving each call on its own costs
/// a crossing for every call; moving the request at the root of the chain costs
/// one. So the room of the scarcest service is told up the chain, and the
/// entry of the root places the whole chain by it.
class DomainShareTable {
public:
  /// @brief Takes what an owner of the own domain told with its answer.
  void learn(TimePoint Now, const std::string &Route, const OwnerShares &Told);

  /// @brief The own domain has no owner that serves the route.
  void learnNoOwner(TimePoint Now, const std::string &Route);

  /// @brief Shares of what starts in this domain.
  AdmittedShares localShares(TimePoint Now, const std::string &Route) const;

  /// @brief Shares of what other domains would send.
  AdmittedShares remoteShares(TimePoint Now, const std::string &Route) const;

private:
  ShareTable Local_;
  ShareTable Remote_;
};

} // namespace fulmarshelf

#endif
