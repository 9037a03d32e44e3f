#ifndef FULMARSHELF_DETAIL_SETTINGS_NODE_SETTINGS_HPP
#define FULMARSHELF_DETAIL_SETTINGS_NODE_SETTINGS_HPP

#include "fulmarshelf/detail/base/error.hpp" // Checked
#include "fulmarshelf/detail/base/time.hpp"  // Micros

#include <cstdint> // uint16_t
#include <string>  // string
#include <vector>  // vector

namespace fulmarshelf {

/// @brief An IP address with a port.
struct Endpoint {
  std::string Address_;
  std::uint16_t Port_ = 0;
  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// @brief `address:port`, with brackets around an IPv6 address.
std::string toString(const Endpoint &Value);

/// @brief Reads `address:port`; the address is an IP address, never a host
/// name.
/// @return false when the text is not an endpoint
bool parseEndpoint(const std::string &Text, Endpoint &Result);

/// @brief Selects the overload policies, which can be switched off to get the
/// baseline of a measurement.
enum class PolicyMode : std::uint8_t {
  Full,     ///< all overload control policies
  Baseline, ///< FIFO queue, round robin, three attempts at each hop
};

/// @brief HTTP interface to callers and the backend server.
enum class InterfaceKind : std::uint8_t {
  Native,   ///< the interface of this project, docs/HTTP.md
  Platform, ///< the interface of the users' platform, with a route table
};

/// @brief Limits that the users' platform sets for the whole mesh.
struct MeshBounds {
  Micros GraceTime_ = millis(6000); ///< from the stop signal to the forced kill
  double RepeatRatio_ = 0.2;        ///< allowed repeats per request
  /// Time over which repeats are counted.
  Micros RepeatWindow_ = millis(10'000);
  double RepeatSlack_ = 40; ///< repeats allowed beyond the ratio
  /// Requests with a credential are refused while the settings are not proved
  /// to be current.
  bool FailClosed_ = false;
  Micros RevokeTime_ =
      millis(5000); ///< limit on the use of a revoked credential
  Micros QuotaWindow_ = millis(5000); ///< time over which quotas are counted
  double QuotaOverage_ = 0.1;         ///< tolerated part of a quota beyond it
  double QuotaSlack_ = 0;             ///< requests tolerated beyond that
  friend bool operator==(const MeshBounds &, const MeshBounds &) = default;
};

/// @brief Limits on what one node holds for its callers and for the backend
/// server.
struct CallerCapacity {
  /// Requests that one connection has in progress (HTTP/1.1 pipelining).
  std::uint32_t PipelinedRequests_ = 16;
  /// Responses of one connection that wait for an earlier one, in bytes.
  std::uint64_t HeldBytes_ = std::uint64_t{1024} * 1024;
  /// Requests of all callers, from the first byte to the response, in bytes.
  std::uint64_t RequestMemory_ = std::uint64_t{24} * 1024 * 1024;
  /// Incomplete responses of the backend server, in bytes.
  std::uint64_t ResponseMemory_ = std::uint64_t{24} * 1024 * 1024;
  friend bool operator==(const CallerCapacity &,
                         const CallerCapacity &) = default;
};

/// @brief Verbosity of the node's log.
enum class LogLevel : std::uint8_t { Decisions, Changes, Quiet };

/// @brief Settings of one node process, read once at start-up.
struct NodeSettings {
  std::string Name_;          ///< name of the VM
  std::string FailureDomain_; ///< failure domain of the VM
  std::string Region_;        ///< region of the failure domain
  Endpoint CallerAddress_;    ///< listens for outside callers, HTTP/1.1
  /// Listens for this VM's backend server, HTTP/1.1.
  Endpoint BackendListenAddress_;
  Endpoint PeerAddress_;    ///< listens for nodes: HTTP/2 on TCP, gossip on UDP
  Endpoint AdvertisedPeer_; ///< address at which other nodes reach PeerAddress_
  Endpoint OperatorAddress_;    ///< serves metrics and status, HTTP/1.1
  Endpoint Platform_;           ///< address of the platform's object API
  std::vector<Endpoint> Seeds_; ///< peers to contact when the platform is down
  InterfaceKind Interface_ = InterfaceKind::Native;
  /// Service of the backend server; empty: the service that it announces.
  std::string Service_;
  /// Address of the backend server; port 0: not configured.
  Endpoint BackendServer_;
  Endpoint MetricsAddress_; ///< additional address for metrics; port 0: none
  MeshBounds Bounds_;
  CallerCapacity Callers_;
  std::string LogFile_; ///< empty: standard output
  LogLevel LogLevel_ = LogLevel::Decisions;
  PolicyMode Policy_ = PolicyMode::Full;
  friend bool operator==(const NodeSettings &, const NodeSettings &) = default;
};

/// @brief Reads a node's settings; docs/SETTINGS.md lists the keys.
/// @param File file name for findings
/// @param Text INI text
/// @return the settings, or all faults with their lines
Checked<NodeSettings> parseNodeSettings(const std::string &File,
                                        const std::string &Text);

/// @brief Reads a whole file.
/// @return the bytes of the file, or one finding when it cannot be read
Checked<std::string> readTextFile(const std::string &File);

} // namespace fulmarshelf

#endif
