#ifndef FULMARSHELF_CLI_EXPLAIN_HPP
#define FULMARSHELF_CLI_EXPLAIN_HPP

#include <map>    // map
#include <string> // string
#include <vector> // vector

namespace fulmarshelf::cli {

/// @brief One line of a node's log.
struct LogLine {
  std::string Time_; ///< UTC, fixed length, so that text order is time order
  std::string Node_;
  std::string Event_; ///< name of the event
  std::map<std::string, std::string> Fields_;
  std::string Text_; ///< the line, starting at the time
  friend bool operator==(const LogLine &, const LogLine &) = default;
};

/// @brief Parses one log line and ignores any text before the time.
/// @return false when the text is not a line of a node's log
bool parseLogLine(const std::string &Text, LogLine &Result);

/// @brief Selects the log lines of one request from the logs of all nodes,
/// sorted by time: its entry, its attempts, its work, and the calls of that
/// work.
/// @param RequestId request id that the caller chose
std::vector<LogLine> linesOfRequest(const std::string &RequestId,
                                    const std::vector<LogLine> &Lines);

/// @brief Detects clock skew between nodes: an owner logged an attempt with an
/// earlier time than the entry logged for sending it.
/// @return one message for each such attempt
std::vector<std::string> clockSkewWarnings(const std::vector<LogLine> &Lines);

} // namespace fulmarshelf::cli

#endif
