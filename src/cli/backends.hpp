#ifndef FULMARSHELF_CLI_BACKENDS_HPP
#define FULMARSHELF_CLI_BACKENDS_HPP

#include <nlohmann/json_fwd.hpp> // json

#include <string> // string

namespace fulmarshelf::cli {

/// @brief The backend servers as one node sees them, a row for each.
/// @param Status the node's status page
/// @return node, service, failure domain, state, instance, limit, running,
/// queued, slowness and level; what the node has not heard yet is left out
nlohmann::json backendRows(const nlohmann::json &Status);

/// @brief The rows as a table with a heading.
std::string backendTable(const nlohmann::json &Rows);

} // namespace fulmarshelf::cli

#endif
