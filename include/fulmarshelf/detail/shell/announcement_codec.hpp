#ifndef FULMARSHELF_DETAIL_SHELL_ANNOUNCEMENT_CODEC_HPP
#define FULMARSHELF_DETAIL_SHELL_ANNOUNCEMENT_CODEC_HPP

#include "fulmarshelf/detail/engine/inputs.hpp" // Announcement

#include <string> // string

namespace fulmarshelf {

/// @brief Reads a backend server's announcement.
/// @param Body JSON as docs/HTTP.md describes it
/// @return false when the announcement is malformed
bool parseAnnouncement(const std::string &Body, Announcement &Result);

/// @brief Encodes an announcement as JSON, for backend servers written with
/// this library.
std::string encodeAnnouncement(const Announcement &Value);

/// @brief Returns the value of a query parameter with percent escapes decoded.
/// @return an empty string when the parameter is missing
std::string queryValue(const std::string &Target, const std::string &Name);

} // namespace fulmarshelf

#endif
