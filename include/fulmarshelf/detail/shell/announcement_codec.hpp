#ifndef FULMARSHELF_DETAIL_SHELL_ANNOUNCEMENT_CODEC_HPP
#define FULMARSHELF_DETAIL_SHELL_ANNOUNCEMENT_CODEC_HPP

#include "fulmarshelf/detail/engine/inputs.hpp" // Announcement

#include <string> // string

namespace fulmarshelf {

/// @brief Reads a backend server's announcement.
/// @param Body JSON as docs/HTTP.md describes it
/// @return false when it is malformed
bool parseAnnouncement(const std::string &Body, Announcement &Result);

/// @brief JSON of an announcement, for backend servers written with this
/// library.
std::string encodeAnnouncement(const Announcement &Value);

/// @brief Value of a query parameter, percent escapes decoded.
/// @return an empty text when it is missing
std::string queryValue(const std::string &Target, const std::string &Name);

} // namespace fulmarshelf

#endif
