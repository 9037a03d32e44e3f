#ifndef FULMARSHELF_DETAIL_SHELL_NODE_SHELL_HPP
#define FULMARSHELF_DETAIL_SHELL_NODE_SHELL_HPP

#include "fulmarshelf/detail/engine/engine.hpp"          // Engine
#include "fulmarshelf/detail/shell/connection_probe.hpp" // ConnectionProbe
#include "fulmarshelf/detail/shell/dialect.hpp"          // Dialect
#include "fulmarshelf/detail/shell/event_writer.hpp"     // EventWriter
#include "fulmarshelf/detail/shell/http_client.hpp"      // HttpClient
#include "fulmarshelf/detail/shell/http_server.hpp"      // HttpServer
#include "fulmarshelf/detail/shell/metrics.hpp"          // Metrics
#include "fulmarshelf/detail/shell/peer_network.hpp"     // PeerNetwork
#include "fulmarshelf/detail/shell/store_client.hpp"     // StoreClient

#include <boost/asio/ip/udp.hpp>       // udp
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <array>         // array
#include <deque>         // deque
#include <memory>        // unique_ptr
#include <optional>      // optional
#include <unordered_map> // unordered_map

namespace fulmarshelf {

/// @brief Connects one core to sockets, the clock and timers.
class NodeShell {
public:
  /// @throw boost::system::system_error when an address cannot be bound
  NodeShell(boost::asio::io_context &Context, const EngineConfig &Config);

  /// @brief Starts the core. The io_context then runs the node.
  void start();

  /// @brief Begins a graceful shutdown. The io_context is stopped when the
  /// shutdown is complete.
  void leave();

  /// @brief Applies the log level; other settings change at the next start
  /// only. Logs whether any setting differs from its value at the start.
  void reload(const NodeSettings &Settings);

  /// @brief Logs the faults of changed settings, which are not applied.
  void reportBadSettings(const Findings &Faults);

private:
  struct ActionVisitor;
  struct NoticeVisitor;

  void handleInput(Input NewInput);
  void processInputs();
  void observeSuspension();
  void armTimer();
  void receiveDatagram();
  void sendDatagram(const SendDatagram &Datagram);
  void dispatch(const DispatchWork &Dispatch);
  void onBackendDone(HttpCallId Call, const HttpResult &Result);
  bool mayOverlap(CallerKey Earlier, const HttpRequest &Next) const;
  void onRequest(CallerKey Caller, bool FromBackend, HttpRequest Request);
  void onBackendRequest(CallerKey Caller, HttpRequest Request);
  void answerNotice(CallerKey Caller, NoticeResult Result);
  void onOperatorRequest(CallerKey Caller, const HttpRequest &Request);
  HttpResponse releaseRequest(const std::string &Target);
  HttpResponse operatorPage(const HttpRequest &Request);
  HttpResponse readinessPage() const;
  void applyCallerLimits();
  void flushLog();
  static TimePoint now();

  boost::asio::io_context &Context_;
  EngineConfig Config_;
  Dialect Dialect_;
  EventWriter Events_;
  Metrics Metrics_;
  ShellCounts Counts_;
  Engine Engine_;
  std::deque<Input> Inputs_;
  bool Processing_ = false;
  std::optional<Micros> BootOffset_; ///< between the clocks, at the start
  Micros Suspended_{0};              ///< last reported to the core
  bool Stopped_ = false;
  HttpServer Callers_;
  HttpServer BackendSide_;
  HttpServer Operators_;
  PeerNetwork Peers_;
  HttpClient BackendCalls_;
  ConnectionProbe BackendProbe_;
  StoreClient Store_;
  std::unique_ptr<HttpServer> MetricsPages_; ///< nullptr: not configured
  std::optional<CallerLimits> CallerLimits_; ///< limits last applied
  boost::asio::ip::udp::socket Datagrams_;
  boost::asio::ip::udp::endpoint DatagramSource_;
  std::array<char, 65536> DatagramBuffer_{};
  boost::asio::steady_timer Timer_;
  boost::asio::steady_timer LogTimer_;
  TimePoint TimerAt_ = TimePoint::max();
  std::unordered_map<WorkId, HttpCallId> CallOfWork_;
  std::unordered_map<HttpCallId, WorkId> WorkOfCall_;
};

} // namespace fulmarshelf

#endif
