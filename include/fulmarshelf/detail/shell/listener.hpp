#ifndef FULMARSHELF_DETAIL_SHELL_LISTENER_HPP
#define FULMARSHELF_DETAIL_SHELL_LISTENER_HPP

#include "fulmarshelf/detail/shell/connection_table.hpp" // tcp, Endpoint

#include <functional> // function

namespace fulmarshelf {

/// @brief Accepts connections at one address.
class Listener {
public:
  using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

  /// @throw boost::system::system_error when the address cannot be bound
  Listener(boost::asio::io_context &Context, const Endpoint &Address,
           Handler OnAccept);

  /// @brief Stops accepting connections.
  void stop();

private:
  void acceptNext();

  boost::asio::ip::tcp::acceptor Acceptor_;
  Handler OnAccept_;
};

} // namespace fulmarshelf

#endif
