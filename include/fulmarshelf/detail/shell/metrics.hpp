#ifndef FULMARSHELF_DETAIL_SHELL_METRICS_HPP
#define FULMARSHELF_DETAIL_SHELL_METRICS_HPP

#include "fulmarshelf/detail/engine/actions.hpp"    // RecordTime
#include "fulmarshelf/detail/engine/node_state.hpp" // NodeState
#include "fulmarshelf/detail/shell/http_server.hpp" // HttpServerCounts

#include <cstdint> // uint64_t
#include <map>     // map
#include <memory>  // unique_ptr
#include <string>  // string

namespace fulmarshelf {

/// @brief Counters of the shell's network activity.
struct ShellCounts {
  std::uint64_t DatagramsSent_ = 0;
  std::uint64_t DatagramBytesSent_ = 0;
  std::uint64_t DatagramsReceived_ = 0;
  std::uint64_t DatagramBytesReceived_ = 0;
  std::uint64_t PeerControlBytes_ = 0;
  std::uint64_t PlatformCalls_ = 0;
  std::uint64_t CallerConnections_ = 0;
  HttpServerCounts Callers_;
  std::uint64_t RequestMemory_ = 0;  ///< bytes
  std::uint64_t ResponseMemory_ = 0; ///< bytes
};

/// @brief Metrics of one node in the Prometheus text exposition format.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// @brief Records a measured time; O(1).
  void observe(const RecordTime &Value);
  /// @brief Counts a log event; O(log n).
  void count(EventNumber Event);
  /// @brief Returns all metrics as text.
  std::string text(const NodeState &Node, const ShellCounts &Counts) const;

public:
  struct Times;

private:
  std::unique_ptr<Times> Times_;
  std::map<EventNumber, std::uint64_t> Events_;
};

} // namespace fulmarshelf

#endif
