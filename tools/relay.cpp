// Stand-in for the network between nodes: forwards TCP connections and
// datagrams. Admin calls can add a delay to TCP data, silence all open
// connections while new ones work, or cut off all traffic.
#include "fulmarshelf/detail/shell/announcement_codec.hpp" // queryValue
#include "fulmarshelf/detail/shell/http_server.hpp"        // HttpServer
#include "fulmarshelf/detail/shell/listener.hpp"           // Listener

#include <boost/asio/ip/udp.hpp> // udp
#include <boost/asio/write.hpp>  // async_write
#include <tclap/CmdLine.h>       // CmdLine

#include <deque>    // deque
#include <iostream> // cerr
#include <map>      // map

namespace {

using namespace fulmarshelf;
namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

struct Switches {
  std::chrono::milliseconds Delay_{0};
  bool Cut_ = false; ///< forwards neither connections nor datagrams
  std::uint64_t FrozenThrough_ = 0; ///< connections up to this are silent
  std::uint64_t LastConnection_ = 0;
};

// Forwards the bytes of one connection in one direction.
class StreamForwarder : public std::enable_shared_from_this<StreamForwarder> {
public:
  StreamForwarder(std::shared_ptr<tcp::socket> From,
                  std::shared_ptr<tcp::socket> To, Switches &Shared,
                  std::uint64_t Number)
      : From_(std::move(From)), To_(std::move(To)), Switches_(Shared),
        Number_(Number) {}

  void run() {
    From_->async_read_some(
        asio::buffer(Buffer_),
        [Self = shared_from_this()](error_code Error, std::size_t Count) {
          Self->onRead(Error, Count);
        });
  }

private:
  bool isSilent() const {
    return Switches_.Cut_ || Number_ <= Switches_.FrozenThrough_;
  }

  void onRead(error_code Error, std::size_t Count) {
    // A silent connection forwards neither bytes nor the end of the stream.
    if (isSilent()) {
      if (!Error)
        run();
      return;
    }
    if (Error) {
      error_code Ignored;
      To_->shutdown(tcp::socket::shutdown_send, Ignored);
      return;
    }
    std::string Bytes(Buffer_.data(), Count);
    if (Switches_.Delay_.count() == 0) {
      write(std::move(Bytes));
      return;
    }
    auto Timer = std::make_shared<asio::steady_timer>(From_->get_executor(),
                                                      Switches_.Delay_);
    Timer->async_wait([Self = shared_from_this(), Timer,
                       Bytes = std::move(Bytes)](error_code) mutable {
      Self->Queue_.push_back(std::move(Bytes));
      Self->writeNext();
    });
    run();
  }

  void write(std::string Bytes) {
    Queue_.push_back(std::move(Bytes));
    asio::async_write(
        *To_, asio::buffer(Queue_.front()),
        [Self = shared_from_this()](error_code Error, std::size_t) {
          Self->Queue_.pop_front();
          if (!Error)
            Self->run();
        });
  }

  void writeNext() {
    if (Writing_ || Queue_.empty())
      return;
    Writing_ = true;
    asio::async_write(
        *To_, asio::buffer(Queue_.front()),
        [Self = shared_from_this()](error_code Error, std::size_t) {
          Self->Writing_ = false;
          Self->Queue_.pop_front();
          if (!Error)
            Self->writeNext();
        });
  }

  std::shared_ptr<tcp::socket> From_;
  std::shared_ptr<tcp::socket> To_;
  Switches &Switches_;
  std::uint64_t Number_;
  std::array<char, 16384> Buffer_{};
  std::deque<std::string> Queue_;
  bool Writing_ = false;
};

// Forwards the traffic of one address to another.
class ForwardedPort {
public:
  ForwardedPort(asio::io_context &Context, const Endpoint &Listen,
                const Endpoint &Target, Switches &Shared)
      : Context_(Context), Target_(Target), Switches_(Shared),
        Acceptor_(Context, toTcp(Listen), true),
        Datagrams_(Context,
                   udp::endpoint(asio::ip::make_address(Listen.Address_),
                                 Listen.Port_)) {
    accept();
    receive();
  }

private:
  void accept() {
    Acceptor_.async_accept([this](error_code Error, tcp::socket Socket) {
      if (!Error)
        connect(std::make_shared<tcp::socket>(std::move(Socket)));
      accept();
    });
  }

  void connect(const std::shared_ptr<tcp::socket> &Inbound) {
    std::uint64_t Number = ++Switches_.LastConnection_;
    auto Outbound = std::make_shared<tcp::socket>(Context_);
    Outbound->async_connect(toTcp(Target_), [this, Inbound, Outbound,
                                             Number](error_code Error) {
      if (Error)
        return;
      error_code Ignored;
      Inbound->set_option(tcp::no_delay(true), Ignored);
      Outbound->set_option(tcp::no_delay(true), Ignored);
      std::make_shared<StreamForwarder>(Inbound, Outbound, Switches_, Number)
          ->run();
      std::make_shared<StreamForwarder>(Outbound, Inbound, Switches_, Number)
          ->run();
    });
  }

  // Socket for the datagrams of one sender; the target replies to its address,
  // so each reply can be returned to the sender.
  struct ReplySocket {
    explicit ReplySocket(asio::io_context &Context)
        : Socket_(Context,
                  udp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}
    udp::socket Socket_;
    udp::endpoint Sender_;
    std::array<char, 65536> Buffer_{};
  };

  void receive() {
    Datagrams_.async_receive_from(asio::buffer(Buffer_), Sender_,
                                  [this](error_code Error, std::size_t Count) {
                                    if (!Error && !Switches_.Cut_)
                                      forward(Count);
                                    receive();
                                  });
  }

  void forward(std::size_t Count) {
    std::shared_ptr<ReplySocket> &Reply = ReplySockets_[Sender_];
    if (!Reply) {
      Reply = std::make_shared<ReplySocket>(Context_);
      Reply->Sender_ = Sender_;
      receiveReply(Reply);
    }
    error_code Ignored;
    Reply->Socket_.send_to(
        asio::buffer(Buffer_.data(), Count),
        udp::endpoint(asio::ip::make_address(Target_.Address_), Target_.Port_),
        0, Ignored);
  }

  void receiveReply(const std::shared_ptr<ReplySocket> &Reply) {
    Reply->Socket_.async_receive(
        asio::buffer(Reply->Buffer_),
        [this, Reply](error_code Error, std::size_t Count) {
          error_code Ignored;
          if (!Error && !Switches_.Cut_)
            Datagrams_.send_to(asio::buffer(Reply->Buffer_.data(), Count),
                               Reply->Sender_, 0, Ignored);
          receiveReply(Reply);
        });
  }

  asio::io_context &Context_;
  Endpoint Target_;
  Switches &Switches_;
  tcp::acceptor Acceptor_;
  udp::socket Datagrams_;
  udp::endpoint Sender_;
  std::array<char, 65536> Buffer_{};
  std::map<udp::endpoint, std::shared_ptr<ReplySocket>> ReplySockets_;
};

HttpResponse administer(const HttpRequest &Request, Switches &Shared) {
  std::uint64_t Value = 0;
  if (parseNumber(queryValue(Request.Target_, "cut"), Value))
    Shared.Cut_ = Value != 0;
  if (parseNumber(queryValue(Request.Target_, "delay-ms"), Value))
    Shared.Delay_ = std::chrono::milliseconds(Value);
  if (queryValue(Request.Target_, "freeze") == "1")
    Shared.FrozenThrough_ = Shared.LastConnection_;
  return {200, {}, std::to_string(Shared.LastConnection_) + "\n"};
}

} // namespace

int main(int Count, char **Arguments) {
  TCLAP::CmdLine Line("Relay between nodes that can delay or drop traffic", ' ',
                      "0.1");
  TCLAP::ValueArg<std::string> Admin("a", "admin", "address for admin calls",
                                     true, "", "endpoint", Line);
  TCLAP::MultiArg<std::string> Maps("m", "map", "LISTEN=TARGET", true, "pair",
                                    Line);
  Line.parse(Count, Arguments);
  asio::io_context Context(1);
  Switches Shared;
  std::deque<ForwardedPort> Routes;
  Endpoint AdminAddress;
  if (!parseEndpoint(Admin.getValue(), AdminAddress))
    return 2;
  for (const std::string &Pair : Maps.getValue()) {
    std::size_t Sign = Pair.find('=');
    Endpoint Listen;
    Endpoint Target;
    if (Sign == std::string::npos ||
        !parseEndpoint(Pair.substr(0, Sign), Listen) ||
        !parseEndpoint(Pair.substr(Sign + 1), Target)) {
      std::cerr << "relay: --map needs LISTEN=TARGET with two addresses "
                   "IP:PORT, not '"
                << Pair << "'" << '\n';
      return 2;
    }
    Routes.emplace_back(Context, Listen, Target, Shared);
  }
  HttpServer *Responder = nullptr;
  HttpServer Service(
      Context, AdminAddress, 0, 16, HttpLimits(),
      {[&Responder, &Shared](CallerKey Caller, const HttpRequest &Request) {
         Responder->respond(Caller, administer(Request, Shared));
       },
       [](CallerKey) {}});
  Responder = &Service;
  Context.run();
  return 0;
}
