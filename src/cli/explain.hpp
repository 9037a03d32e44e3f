#ifndef FULMARSHELF_CLI_EXPLAIN_HPP
#define FULMARSHELF_CLI_EXPLAIN_HPP

#include <map>    // map
#include <string> // string
#include <vector> // vector

namespace fulmarshelf::cli {

/// @brief One line of a node's log.
struct LogLine {
  std::string Time_; ///< as written; equal lengths, so that texts compare
  std::string Node_;
  std::string Event_; ///< name of the event
  std::map<std::string, std::string> Fields_;
  std::string Text_; ///< the whole line from the time on
  friend bool operator==(const LogLine &, const LogLine &) = default;
};

/// @brief Reads a line; what stands before the time is passed over.
/// @return false when it is no line of a node's log
bool parseLogLine(const std::string &Text, LogLine &Result);

/// @brief Lines about one request from the logs of all nodes, in the order of
/// their times: its entry, its attempts, its work, and the calls of that work.
/// @param RequestId the caller's own id
std::vector<LogLine> linesAbout(const std::string &RequestId,
                                const std::vector<LogLine> &Lines);

/// @brief Nodes whose clocks cannot agree: an attempt was taken there before it
/// was sent.
/// @return a sentence for each such pair of nodes
std::vector<std::string> clockFindings(const std::vector<LogLine> &Lines);

} // namespace fulmarshelf::cli

#endif
