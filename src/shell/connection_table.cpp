#include "fulmarshelf/detail/shell/connection_table.hpp"

#include <boost/asio/buffer.hpp>     // buffer
#include <boost/asio/error.hpp>      // eof
#include <boost/asio/ip/address.hpp> // make_address
#include <boost/asio/write.hpp>      // async_write

#include <netinet/in.h>  // IPPROTO_TCP
#include <netinet/tcp.h> // TCP_USER_TIMEOUT
#include <sys/socket.h>  // setsockopt

namespace fulmarshelf {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Opened connections can go silent for good. The kernel then ends one within
// these times, whether or not something was under way on it.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr unsigned UnacknowledgedMs = 2'000;
// A peer that has its answer closes within a few round trips.
constexpr std::chrono::milliseconds LingerTime{1000};

template <int Level, int Name, typename Value>
void setOption(tcp::socket &Socket, Value Wanted) {
  // An option that the system does not know leaves the connection as it is.
  ::setsockopt(Socket.native_handle(), Level, Name, &Wanted, sizeof(Wanted));
}

void noticeSilence(tcp::socket &Socket) {
  setOption<SOL_SOCKET, SO_KEEPALIVE>(Socket, 1);
  setOption<IPPROTO_TCP, TCP_KEEPIDLE>(Socket, KeepAliveIdleSeconds);
  setOption<IPPROTO_TCP, TCP_KEEPINTVL>(Socket, KeepAliveIntervalSeconds);
  setOption<IPPROTO_TCP, TCP_KEEPCNT>(Socket, KeepAliveProbes);
  setOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(Socket, UnacknowledgedMs);
}

} // namespace

tcp::endpoint toTcp(const Endpoint &Place) {
  return {asio::ip::make_address(Place.Address_), Place.Port_};
}

ConnectionTable::ConnectionTable(asio::io_context &Context, Handlers Calls)
    : Context_(Context), Calls_(std::move(Calls)) {}

ConnectionId ConnectionTable::insert(tcp::socket Socket) {
  ConnectionId Fresh{++Last_};
  Connections_.emplace(Fresh, Connection(std::move(Socket)));
  return Fresh;
}

ConnectionTable::Connection *ConnectionTable::find(ConnectionId Target) {
  auto Found = Connections_.find(Target);
  if (Found == Connections_.end() || Found->second.Closing_)
    return nullptr;
  return &Found->second;
}

// Returns true while the connection is still in use.
bool ConnectionTable::endOperation(ConnectionId Target) {
  auto Found = Connections_.find(Target);
  Connection &Entry = Found->second;
  --Entry.Operations_;
  if (!Entry.Closing_)
    return true;
  if (Entry.Operations_ == 0)
    Connections_.erase(Found);
  return false;
}

ConnectionId ConnectionTable::connect(const Endpoint &Peer,
                                      std::chrono::milliseconds Timeout) {
  ConnectionId Fresh = insert(tcp::socket(Context_));
  Connection &Entry = Connections_.at(Fresh);
  Entry.Operations_ += 2;
  Entry.Timer_.expires_after(Timeout);
  Entry.Timer_.async_wait([this, Fresh](error_code Error) {
    if (endOperation(Fresh) && !Error)
      fail(Fresh, ConnectionEnd::Broken);
  });
  Entry.Socket_.async_connect(toTcp(Peer), [this, Fresh](error_code Error) {
    if (!endOperation(Fresh))
      return;
    Connection &Opened = Connections_.at(Fresh);
    Opened.Timer_.cancel();
    if (Error) {
      fail(Fresh, ConnectionEnd::Broken);
      return;
    }
    Opened.Open_ = true;
    Opened.Socket_.set_option(tcp::no_delay(true), Error);
    noticeSilence(Opened.Socket_);
    startRead(Fresh);
    Calls_.OnOpen_(Fresh);
    startWrite(Fresh);
  });
  return Fresh;
}

ConnectionId ConnectionTable::adopt(tcp::socket Socket) {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  ConnectionId Fresh = insert(std::move(Socket));
  Connections_.at(Fresh).Open_ = true;
  startRead(Fresh);
  return Fresh;
}

void ConnectionTable::startRead(ConnectionId Target) {
  Connection *Entry = find(Target);
  if (Entry == nullptr)
    return;
  ++Entry->Operations_;
  Entry->Socket_.async_read_some(
      asio::buffer(Entry->Input_),
      [this, Target](error_code Error, std::size_t Count) {
        if (!endOperation(Target))
          return;
        if (Error) {
          fail(Target, Error == asio::error::eof ? ConnectionEnd::Finished
                                                 : ConnectionEnd::Broken);
          return;
        }
        Connection &Ready = Connections_.at(Target);
        // The handler may close the connection, which keeps the entry only as
        // long as an operation is pending.
        ++Ready.Operations_;
        if (!Ready.Lingering_)
          Calls_.OnBytes_(Target, {Ready.Input_.data(), Count});
        if (endOperation(Target))
          startRead(Target);
      });
}

void ConnectionTable::write(ConnectionId Target, std::string Bytes) {
  Connection *Entry = find(Target);
  if (Entry == nullptr || Bytes.empty())
    return;
  if (Entry->Pending_.empty())
    Entry->Pending_ = std::move(Bytes);
  else
    Entry->Pending_ += Bytes;
  startWrite(Target);
}

void ConnectionTable::startWrite(ConnectionId Target) {
  Connection *Entry = find(Target);
  if (Entry == nullptr || !Entry->Open_ || !Entry->Writing_.empty() ||
      Entry->Pending_.empty())
    return;
  Entry->Writing_.swap(Entry->Pending_);
  ++Entry->Operations_;
  asio::async_write(Entry->Socket_, asio::buffer(Entry->Writing_),
                    [this, Target](error_code Error, std::size_t) {
                      if (!endOperation(Target))
                        return;
                      Connection &Done = Connections_.at(Target);
                      Done.Writing_.clear();
                      if (Error) {
                        fail(Target, ConnectionEnd::Broken);
                        return;
                      }
                      if (Done.Pending_.empty() && Done.CloseWhenWritten_) {
                        linger(Target);
                        return;
                      }
                      startWrite(Target);
                    });
}

void ConnectionTable::close(ConnectionId Target) {
  Connection *Entry = find(Target);
  if (Entry == nullptr)
    return;
  Entry->Closing_ = true;
  error_code Ignored;
  Entry->Socket_.close(Ignored);
  Entry->Timer_.cancel();
  if (Entry->Operations_ == 0)
    Connections_.erase(Target);
}

void ConnectionTable::closeWhenWritten(ConnectionId Target) {
  Connection *Entry = find(Target);
  if (Entry == nullptr)
    return;
  if (Entry->Writing_.empty() && Entry->Pending_.empty())
    linger(Target);
  else
    Entry->CloseWhenWritten_ = true;
}

void ConnectionTable::linger(ConnectionId Target) {
  Connection *Entry = find(Target);
  if (Entry == nullptr || Entry->Lingering_)
    return;
  Entry->Lingering_ = true;
  error_code Ignored;
  Entry->Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
  ++Entry->Operations_;
  Entry->Timer_.expires_after(LingerTime);
  Entry->Timer_.async_wait([this, Target](error_code Error) {
    if (endOperation(Target) && !Error)
      close(Target);
  });
}

std::size_t ConnectionTable::backlog(ConnectionId Target) const {
  auto Found = Connections_.find(Target);
  if (Found == Connections_.end())
    return 0;
  return Found->second.Writing_.size() + Found->second.Pending_.size();
}

void ConnectionTable::fail(ConnectionId Target, ConnectionEnd How) {
  if (find(Target) == nullptr)
    return;
  bool Lingering = Connections_.at(Target).Lingering_;
  close(Target);
  if (!Lingering)
    Calls_.OnClosed_(Target, How);
}

} // namespace fulmarshelf
