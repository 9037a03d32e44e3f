#include "fulmarshelf/detail/shell/connection_probe.hpp"

#include "fulmarshelf/detail/shell/connection_table.hpp" // toTcp

#include <boost/asio/error.hpp> // connection_refused

#include <utility> // move

namespace fulmarshelf {

namespace {

constexpr std::chrono::milliseconds ProbeTimeout{500};

} // namespace

ConnectionProbe::ConnectionProbe(boost::asio::io_context &Context,
                                 Handler OnDone)
    : Socket_(Context), Timer_(Context), OnDone_(std::move(OnDone)) {}

void ConnectionProbe::start(const Endpoint &Address) {
  if (InProgress_)
    return;
  InProgress_ = true;
  Timer_.expires_after(ProbeTimeout);
  Timer_.async_wait([this](boost::system::error_code Error) {
    // Closing the socket ends the connection attempt with an error.
    boost::system::error_code Ignored;
    if (!Error)
      Socket_.close(Ignored);
  });
  Socket_.async_connect(
      toTcp(Address), [this](boost::system::error_code Error) {
        finish(Error == boost::asio::error::connection_refused);
      });
}

void ConnectionProbe::finish(bool Refused) {
  InProgress_ = false;
  Timer_.cancel();
  boost::system::error_code Ignored;
  Socket_.close(Ignored);
  OnDone_(Refused);
}

} // namespace fulmarshelf
