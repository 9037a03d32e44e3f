#ifndef FULMARSHELF_DETAIL_SETTINGS_NODE_SETTINGS_HPP
#define FULMARSHELF_DETAIL_SETTINGS_NODE_SETTINGS_HPP

#include "fulmarshelf/detail/base/error.hpp" // Checked
#include "fulmarshelf/detail/base/time.hpp"  // Micros

#include <cstdint> // uint16_t
#include <string>  // string
#include <vector>  // vector

namespace fulmarshelf {

/// @brief An IP number with a port.
struct Endpoint {
  std::string Address_;
  std::uint16_t Port_ = 0;
  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// @brief `address:port`, with brackets around an IPv6 number.
std::string toString(const Endpoint &Place);

/// @brief Reads `address:port`; the address is a number, never a name.
/// @return false when the text is none
bool parseEndpoint(const std::string &Text, Endpoint &Result);

/// @brief Policies that can be switched off to serve as the baseline of a
/// measurement.
enum class PolicyMode : std::uint8_t {
  Full,     ///< all overload decisions
  Baseline, ///< first in first out, round robin, three tries at each hop
};

/// @brief Whose HTTP the node speaks with callers and its backend server.
enum class InterfaceKind : std::uint8_t {
  Native,   ///< the project's, docs/HTTP.md
  Platform, ///< the users' platform's, with a route table
};

/// @brief Bounds that the users' platform sets for the whole mesh.
struct MeshBounds {
  Micros GraceTime_ = millis(6000);      ///< from the stop signal to the kill
  double RepeatRatio_ = 0.2;             ///< repeats for each request
  Micros RepeatWindow_ = millis(10'000); ///< over which they are counted
  double RepeatSlack_ = 40;              ///< repeats beyond the ratio
  friend bool operator==(const MeshBounds &, const MeshBounds &) = default;
};

/// @brief How much the node writes to its log.
enum class LogLevel : std::uint8_t { Decisions, Changes, Quiet };

/// @brief Settings of one node process, read once at its start.
struct NodeSettings {
  std::string Name_;            ///< name of the VM
  std::string FailureDomain_;   ///< of the VM
  std::string Region_;          ///< of the failure domain
  Endpoint CallerAddress_;      ///< outside callers, HTTP/1.1
  Endpoint BackendAddress_;     ///< this VM's backend server, HTTP/1.1
  Endpoint PeerAddress_;        ///< other nodes: HTTP/2 over TCP, gossip on UDP
  Endpoint AdvertisedPeer_;     ///< where other nodes reach PeerAddress_
  Endpoint OperatorAddress_;    ///< metrics and status, HTTP/1.1
  Endpoint Platform_;           ///< the platform's object API
  std::vector<Endpoint> Seeds_; ///< peers to ask when the platform is down
  InterfaceKind Interface_ = InterfaceKind::Native;
  std::string Service_;     ///< of this VM's backend server; empty: it tells
  Endpoint Backend_;        ///< this VM's backend server, when settings tell
  Endpoint MetricsAddress_; ///< a second address for metrics; port 0: none
  MeshBounds Bounds_;
  std::string LogFile_; ///< empty: standard output
  LogLevel LogLevel_ = LogLevel::Decisions;
  PolicyMode Policy_ = PolicyMode::Full;
  friend bool operator==(const NodeSettings &, const NodeSettings &) = default;
};

/// @brief Reads a node's settings; docs/SETTINGS.md lists the keys.
/// @param File name that findings carry
/// @param Text INI text
/// @return the settings, or every fault with its line
Checked<NodeSettings> parseNodeSettings(const std::string &File,
                                        const std::string &Text);

/// @brief Reads a whole file.
/// @return its bytes, or one finding when it cannot be read
Checked<std::string> readTextFile(const std::string &File);

} // namespace fulmarshelf

#endif
