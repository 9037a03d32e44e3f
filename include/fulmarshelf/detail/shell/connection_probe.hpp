#ifndef FULMARSHELF_DETAIL_SHELL_CONNECTION_PROBE_HPP
#define FULMARSHELF_DETAIL_SHELL_CONNECTION_PROBE_HPP

#include "fulmarshelf/detail/settings/node_settings.hpp" // Endpoint

#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/ip/tcp.hpp>       // tcp
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <functional> // function

namespace fulmarshelf {

/// @brief Checks whether an address accepts connections, by opening one and
/// closing it without sending anything.
class ConnectionProbe {
public:
  /// Called once for each probe; Refused is true only when the address actively
  /// refused the connection, which shows that no process listens there.
  using Handler = std::function<void(bool Refused)>;

  ConnectionProbe(boost::asio::io_context &Context, Handler OnDone);

  /// @brief Starts a probe; ignored while another one is in progress.
  void start(const Endpoint &Address);

private:
  void finish(bool Refused);

  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Timer_;
  Handler OnDone_;
  bool InProgress_ = false;
};

} // namespace fulmarshelf

#endif
