#ifndef FULMARSHELF_DETAIL_SHELL_EVENT_WRITER_HPP
#define FULMARSHELF_DETAIL_SHELL_EVENT_WRITER_HPP

#include "fulmarshelf/detail/base/event_log.hpp"         // LogRecord
#include "fulmarshelf/detail/settings/node_settings.hpp" // LogLevel

#include <string> // string

namespace fulmarshelf {

/// @brief Writes the log through Boost.Log: to a file, or to standard error.
class EventWriter {
public:
  /// @param Node name that each line bears
  /// @param File path, empty for standard error
  /// @param Level what is written
  EventWriter(std::string Node, const std::string &File, LogLevel Level);
  ~EventWriter();
  EventWriter(const EventWriter &) = delete;
  EventWriter &operator=(const EventWriter &) = delete;

  /// @brief Writes a line if its event is in the level.
  void write(const LogRecord &Record);

  /// @brief Hands buffered lines to the system.
  void flush();

private:
  std::string Node_;
  LogLevel Level_;
};

/// @brief True when events with a number are written at a level.
bool isLogged(EventNumber Event, LogLevel Level);

} // namespace fulmarshelf

#endif
