#ifndef FULMARSHELF_DETAIL_SHELL_NODE_SHELL_HPP
#define FULMARSHELF_DETAIL_SHELL_NODE_SHELL_HPP

#include "fulmarshelf/detail/engine/engine.hpp"      // Engine
#include "fulmarshelf/detail/shell/event_writer.hpp" // EventWriter
#include "fulmarshelf/detail/shell/http_caller.hpp"  // HttpCaller
#include "fulmarshelf/detail/shell/http_service.hpp" // HttpService
#include "fulmarshelf/detail/shell/metrics.hpp"      // Metrics
#include "fulmarshelf/detail/shell/peer_network.hpp" // PeerNetwork

#include <boost/asio/ip/udp.hpp>       // udp
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <array>         // array
#include <deque>         // deque
#include <string>        // string
#include <unordered_map> // unordered_map

namespace fulmarshelf {

/// @brief Sockets, clock and timers around one core.
class NodeShell {
public:
  /// @throw boost::system::system_error when an address cannot be bound
  NodeShell(boost::asio::io_context &Context, const EngineConfig &Config);

  /// @brief Starts the core; the io_context then runs the node.
  void start();

  /// @brief Begins a graceful shutdown; the io_context stops at its end.
  void leave();

private:
  struct ActionVisitor;

  void feed(Input Happened);
  void drain();
  void armTimer();
  void receiveDatagram();
  void sendDatagram(const SendDatagram &Wanted);
  void dispatch(const DispatchWork &Wanted);
  void onBackendDone(HttpCallId Call, const HttpResult &Result);
  void callPlatform(const std::string &What, const HttpRequest &Request,
                    std::chrono::milliseconds Timeout);
  void onPlatformDone(HttpCallId Call, const HttpResult &Result);
  void onBackendRequest(CallerKey Caller, HttpRequest Request);
  void onOperatorRequest(CallerKey Caller, const HttpRequest &Request);
  HttpResponse operatorPage(const HttpRequest &Request);
  void flushLog();
  static TimePoint now();

  boost::asio::io_context &Context_;
  EngineConfig Config_;
  EventWriter Events_;
  Metrics Metrics_;
  ShellCounts Counts_;
  Engine Engine_;
  std::deque<Input> Inputs_;
  bool Draining_ = false;
  bool Finished_ = false;
  HttpService Callers_;
  HttpService BackendSide_;
  HttpService Operators_;
  PeerNetwork Peers_;
  HttpCaller BackendCalls_;
  HttpCaller PlatformCalls_;
  boost::asio::ip::udp::socket Datagrams_;
  boost::asio::ip::udp::endpoint DatagramSource_;
  std::array<char, 65536> DatagramBuffer_{};
  boost::asio::steady_timer Timer_;
  boost::asio::steady_timer LogTimer_;
  TimePoint TimerAt_ = TimePoint::max();
  std::unordered_map<WorkId, HttpCallId> CallOfWork_;
  std::unordered_map<HttpCallId, WorkId> WorkOfCall_;
  std::unordered_map<HttpCallId, std::string> PlatformCallKinds_;
};

/// @brief Reads a backend server's announcement.
/// @param Body JSON as docs/HTTP.md describes it
/// @return false when it is malformed
bool parseAnnouncement(const std::string &Body, Announcement &Result);

/// @brief JSON of an announcement, for backend servers written with this
/// library.
std::string encodeAnnouncement(const Announcement &Value);

/// @brief Value of a query parameter, percent escapes decoded.
/// @return an empty text when it is missing
std::string queryValue(const std::string &Target, const std::string &Name);

} // namespace fulmarshelf

#endif
