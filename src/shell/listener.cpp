#include "fulmarshelf/detail/shell/listener.hpp"

namespace fulmarshelf {

using boost::asio::ip::tcp;

Listener::Listener(boost::asio::io_context &Context, const Endpoint &Address,
                   Handler OnAccept)
    : Acceptor_(Context, toTcp(Address), true), OnAccept_(std::move(OnAccept)) {
  acceptNext();
}

void Listener::stop() {
  boost::system::error_code Ignored;
  Acceptor_.close(Ignored);
}

void Listener::acceptNext() {
  Acceptor_.async_accept(
      [this](boost::system::error_code Error, tcp::socket Socket) {
        if (!Acceptor_.is_open())
          return;
        if (!Error)
          OnAccept_(std::move(Socket));
        acceptNext();
      });
}

} // namespace fulmarshelf
