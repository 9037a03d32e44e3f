#ifndef FULMARSHELF_DETAIL_SHELL_EVENT_WRITER_HPP
#define FULMARSHELF_DETAIL_SHELL_EVENT_WRITER_HPP

#include "fulmarshelf/detail/base/event_log.hpp"         // LogRecord
#include "fulmarshelf/detail/settings/node_settings.hpp" // LogLevel

#include <cstdint> // uint64_t
#include <string>  // string

namespace fulmarshelf {

/// @brief Limits the number of log lines per second.
///
/// Lines about ordinary request processing have a separate limit, so that under
/// load they cannot use up the share of failures and changes.
class LineBudget {
public:
  /// @brief Reserves a line for an event within the limits of one second.
  /// @param Second current second of any clock
  /// @return false when the line has to be omitted; it is then counted
  bool take(EventNumber Event, std::int64_t Second);
  /// @brief Returns the number of lines omitted since the last call.
  std::uint64_t takeOmitted();

private:
  std::int64_t Second_ = 0;
  unsigned Ordinary_ = 0;
  unsigned Important_ = 0;
  std::uint64_t Omitted_ = 0;
};

/// @brief Writes the log through Boost.Log: to a file, or to standard output.
///
/// Writes to standard output never block: lines that its reader does not take
/// in time are omitted and counted.
class EventWriter {
public:
  /// @param Node node name, which each line contains
  /// @param File path of the log file; empty: standard output
  /// @param Level level that selects the events to write
  EventWriter(std::string Node, const std::string &File, LogLevel Level);
  ~EventWriter();
  EventWriter(const EventWriter &) = delete;
  EventWriter &operator=(const EventWriter &) = delete;

  /// @brief Writes a line if the level includes its event and the limit of
  /// lines per second allows it.
  void write(const LogRecord &Record);

  /// @brief Sets the level for later lines.
  void setLevel(LogLevel Level) { Level_ = Level; }

  /// @brief Writes a line with the number of omitted lines, if there are any.
  /// Then passes buffered lines to the operating system, as far as it accepts
  /// them without blocking.
  void flush();

private:
  void writeLine(EventNumber Event, const std::string &Text);

  std::string Node_;
  LogLevel Level_;
  LineBudget Budget_;
};

/// @brief Returns whether a level includes an event.
bool isLogged(EventNumber Event, LogLevel Level);

} // namespace fulmarshelf

#endif
