#ifndef FULMARSHELF_CLI_NODE_PAGES_HPP
#define FULMARSHELF_CLI_NODE_PAGES_HPP

#include <nlohmann/json_fwd.hpp> // json

#include <string> // string

namespace fulmarshelf::cli {

/// @brief Formats a node's status page as text.
std::string statusText(const nlohmann::json &Status);

/// @brief Formats the requests with evidence against them, one line each.
/// @param Requests the list `quarantine` of a node's status page
std::string quarantineText(const nlohmann::json &Requests);

} // namespace fulmarshelf::cli

#endif
