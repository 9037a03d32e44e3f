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

// A peer can stop responding without closing its connections. The kernel then
// ends an outgoing connection within these times, whether it is idle or has
// unacknowledged data.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr unsigned UnacknowledgedTimeoutMs = 2'000;
// A peer that has received its response closes within a few round trips.
constexpr std::chrono::milliseconds LingerTime{1000};

template <int Level, int Name, typename Value>
void setOption(tcp::socket &Socket, Value Setting) {
  // An option that the system does not support leaves the connection
  // unchanged.
  ::setsockopt(Socket.native_handle(), Level, Name, &Setting, sizeof(Setting));
}

void enableDeadPeerDetection(tcp::socket &Socket) {
  setOption<SOL_SOCKET, SO_KEEPALIVE>(Socket, 1);
  setOption<IPPROTO_TCP, TCP_KEEPIDLE>(Socket, KeepAliveIdleSeconds);
  setOption<IPPROTO_TCP, TCP_KEEPINTVL>(Socket, KeepAliveIntervalSeconds);
  setOption<IPPROTO_TCP, TCP_KEEPCNT>(Socket, KeepAliveProbes);
  setOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(Socket, UnacknowledgedTimeoutMs);
}

} // namespace

tcp::endpoint toTcp(const Endpoint &Address) {
  return {asio::ip::make_address(Address.Address_), Address.Port_};
}

ConnectionTable::ConnectionTable(asio::io_context &Context, Handlers Callbacks)
    : Context_(Context), Callbacks_(std::move(Callbacks)) {}

ConnectionId ConnectionTable::insert(tcp::socket Socket) {
  ConnectionId NewId{++LastId_};
  Connections_.emplace(NewId, Connection(std::move(Socket)));
  return NewId;
}

ConnectionTable::Connection *ConnectionTable::find(ConnectionId Id) {
  auto Existing = Connections_.find(Id);
  if (Existing == Connections_.end() || Existing->second.Closing_)
    return nullptr;
  return &Existing->second;
}

// Counts an operation as ended. Removes a closing connection after its last
// operation, and returns false for it.
bool ConnectionTable::endOperation(ConnectionId Id) {
  auto Existing = Connections_.find(Id);
  Connection &Entry = Existing->second;
  --Entry.Operations_;
  if (!Entry.Closing_)
    return true;
  if (Entry.Operations_ == 0)
    Connections_.erase(Existing);
  return false;
}

ConnectionId ConnectionTable::connect(const Endpoint &Peer,
                                      std::chrono::milliseconds Timeout) {
  ConnectionId NewId = insert(tcp::socket(Context_));
  Connection &Entry = Connections_.at(NewId);
  Entry.Operations_ += 2;
  Entry.Timer_.expires_after(Timeout);
  Entry.Timer_.async_wait([this, NewId](error_code Error) {
    if (endOperation(NewId) && !Error)
      fail(NewId, CloseReason::Failed);
  });
  Entry.Socket_.async_connect(toTcp(Peer), [this, NewId](error_code Error) {
    if (!endOperation(NewId))
      return;
    Connection &Opened = Connections_.at(NewId);
    Opened.Timer_.cancel();
    if (Error) {
      fail(NewId, Error == asio::error::connection_refused
                      ? CloseReason::Refused
                      : CloseReason::Failed);
      return;
    }
    Opened.Open_ = true;
    Opened.Socket_.set_option(tcp::no_delay(true), Error);
    enableDeadPeerDetection(Opened.Socket_);
    startRead(NewId);
    Callbacks_.OnOpen_(NewId);
    startWrite(NewId);
  });
  return NewId;
}

ConnectionId ConnectionTable::adopt(tcp::socket Socket) {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  ConnectionId NewId = insert(std::move(Socket));
  Connections_.at(NewId).Open_ = true;
  startRead(NewId);
  return NewId;
}

void ConnectionTable::startRead(ConnectionId Id) {
  Connection *Entry = find(Id);
  if (Entry == nullptr || !Entry->Open_ || !Entry->ReadEnabled_ ||
      Entry->ReadInProgress_)
    return;
  Entry->ReadInProgress_ = true;
  ++Entry->Operations_;
  Entry->Socket_.async_read_some(
      asio::buffer(Entry->Input_),
      [this, Id](error_code Error, std::size_t Count) {
        if (!endOperation(Id))
          return;
        Connections_.at(Id).ReadInProgress_ = false;
        if (Error) {
          fail(Id, Error == asio::error::eof ? CloseReason::PeerClosed
                                             : CloseReason::Failed);
          return;
        }
        Connection &Ready = Connections_.at(Id);
        // The handler may close the connection, which removes its entry unless
        // an operation is in progress. The handler call counts as one.
        ++Ready.Operations_;
        if (!Ready.Lingering_)
          Callbacks_.OnBytes_(Id, {Ready.Input_.data(), Count});
        if (endOperation(Id))
          startRead(Id);
      });
}

void ConnectionTable::setReading(ConnectionId Id, bool Enabled) {
  Connection *Entry = find(Id);
  if (Entry == nullptr || Entry->Lingering_)
    return;
  Entry->ReadEnabled_ = Enabled;
  startRead(Id);
}

void ConnectionTable::write(ConnectionId Id, std::string Bytes) {
  Connection *Entry = find(Id);
  if (Entry == nullptr || Bytes.empty())
    return;
  if (Entry->Pending_.empty())
    Entry->Pending_ = std::move(Bytes);
  else
    Entry->Pending_ += Bytes;
  startWrite(Id);
}

void ConnectionTable::startWrite(ConnectionId Id) {
  Connection *Entry = find(Id);
  if (Entry == nullptr || !Entry->Open_ || !Entry->Writing_.empty() ||
      Entry->Pending_.empty())
    return;
  Entry->Writing_.swap(Entry->Pending_);
  ++Entry->Operations_;
  asio::async_write(Entry->Socket_, asio::buffer(Entry->Writing_),
                    [this, Id](error_code Error, std::size_t) {
                      if (!endOperation(Id))
                        return;
                      Connection &Done = Connections_.at(Id);
                      Done.Writing_.clear();
                      if (Error) {
                        fail(Id, CloseReason::Failed);
                        return;
                      }
                      if (Done.Pending_.empty() && Done.CloseWhenWritten_) {
                        linger(Id);
                        return;
                      }
                      startWrite(Id);
                    });
}

void ConnectionTable::close(ConnectionId Id) {
  Connection *Entry = find(Id);
  if (Entry == nullptr)
    return;
  Entry->Closing_ = true;
  error_code Ignored;
  Entry->Socket_.close(Ignored);
  Entry->Timer_.cancel();
  if (Entry->Operations_ == 0)
    Connections_.erase(Id);
}

void ConnectionTable::closeWhenWritten(ConnectionId Id) {
  Connection *Entry = find(Id);
  if (Entry == nullptr)
    return;
  if (Entry->Writing_.empty() && Entry->Pending_.empty())
    linger(Id);
  else
    Entry->CloseWhenWritten_ = true;
}

void ConnectionTable::linger(ConnectionId Id) {
  Connection *Entry = find(Id);
  if (Entry == nullptr || Entry->Lingering_)
    return;
  Entry->Lingering_ = true;
  Entry->ReadEnabled_ = true;
  startRead(Id);
  error_code Ignored;
  Entry->Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
  ++Entry->Operations_;
  Entry->Timer_.expires_after(LingerTime);
  Entry->Timer_.async_wait([this, Id](error_code Error) {
    if (endOperation(Id) && !Error)
      close(Id);
  });
}

std::size_t ConnectionTable::backlog(ConnectionId Id) const {
  auto Existing = Connections_.find(Id);
  if (Existing == Connections_.end())
    return 0;
  return Existing->second.Writing_.size() + Existing->second.Pending_.size();
}

void ConnectionTable::fail(ConnectionId Id, CloseReason Reason) {
  if (find(Id) == nullptr)
    return;
  bool Lingering = Connections_.at(Id).Lingering_;
  close(Id);
  if (!Lingering)
    Callbacks_.OnClosed_(Id, Reason);
}

} // namespace fulmarshelf
