#ifndef FULMARSHELF_DETAIL_SHELL_EVENT_WRITER_HPP
#define FULMARSHELF_DETAIL_SHELL_EVENT_WRITER_HPP

#include "fulmarshelf/detail/base/event_log.hpp"         // LogRecord
#include "fulmarshelf/detail/settings/node_settings.hpp" // LogLevel

#include <cstdint> // uint64_t
#include <string>  // string

namespace fulmarshelf {

/// @brief Lines that may be written in the present second.
///
/// Lines about the ordinary course of requests have a bound of their own, so
/// that under load they cannot use up the room of failures and changes.
class LineBudget {
public:
  /// @brief Takes a line of an event at a second of any clock.
  /// @return false when it has to be left out; it is then counted
  bool take(EventNumber Event, std::int64_t Second);
  /// @brief Lines left out since the last call.
  std::uint64_t takeOmitted();

private:
  std::int64_t Second_ = 0;
  unsigned Ordinary_ = 0;
  unsigned Important_ = 0;
  std::uint64_t Omitted_ = 0;
};

/// @brief Writes the log through Boost.Log: to a file, or to standard output.
///
/// Standard output is never waited for: what its reader does not take in time
/// is left out and counted.
class EventWriter {
public:
  /// @param Node name that each line bears
  /// @param File path, empty for standard output
  /// @param Level what is written
  EventWriter(std::string Node, const std::string &File, LogLevel Level);
  ~EventWriter();
  EventWriter(const EventWriter &) = delete;
  EventWriter &operator=(const EventWriter &) = delete;

  /// @brief Writes a line if its event is in the level and within its bound.
  void write(const LogRecord &Record);

  /// @brief Changes what is written from now on.
  void setLevel(LogLevel Level) { Level_ = Level; }

  /// @brief Hands buffered lines to the system, as far as it takes them.
  void flush();

private:
  void writeLine(EventNumber Event, const std::string &Text);

  std::string Node_;
  LogLevel Level_;
  LineBudget Budget_;
};

/// @brief True when events with a number are written at a level.
bool isLogged(EventNumber Event, LogLevel Level);

} // namespace fulmarshelf

#endif
