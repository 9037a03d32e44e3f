#ifndef FULMARSHELF_DETAIL_SETTINGS_NODE_SETTINGS_HPP
#define FULMARSHELF_DETAIL_SETTINGS_NODE_SETTINGS_HPP

#include "fulmarshelf/detail/base/error.hpp" // Checked

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
  std::string LogFile_;         ///< empty: standard error
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
