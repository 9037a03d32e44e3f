#ifndef FULMARSHELF_CLI_BACKENDS_HPP
#define FULMARSHELF_CLI_BACKENDS_HPP

#include <nlohmann/json_fwd.hpp> // json

#include <string> // string

namespace fulmarshelf::cli {

/// @brief Lists the backend servers known to one node, one row each.
/// @param Status the node's status page
/// @return node, service, failure domain, state, instance, limit, running,
/// queued, slowness and level; a row omits values not yet reported to the node
nlohmann::json backendRows(const nlohmann::json &Status);

/// @brief Formats the rows as a text table with a heading line.
std::string backendTable(const nlohmann::json &Rows);

} // namespace fulmarshelf::cli

#endif
