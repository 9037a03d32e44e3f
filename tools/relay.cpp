// Stand-in for the network between nodes: forwards TCP connections and
// datagrams, can add a delay, and can lose track of the connections that are
// open while new ones work, or cut everything off.
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
  bool Cut_ = false;                ///< nothing passes at all
  std::uint64_t FrozenThrough_ = 0; ///< connections up to this one are silent
  std::uint64_t LastConnection_ = 0;
};

// Moves bytes in one direction of one connection.
class Pump : public std::enable_shared_from_this<Pump> {
public:
  Pump(std::shared_ptr<tcp::socket> From, std::shared_ptr<tcp::socket> To,
       Switches &Common, std::uint64_t Number)
      : From_(std::move(From)), To_(std::move(To)), Common_(Common),
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
    return Common_.Cut_ || Number_ <= Common_.FrozenThrough_;
  }

  void onRead(error_code Error, std::size_t Count) {
    // A silent connection shows neither bytes nor its end to the other side.
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
    if (Common_.Delay_.count() == 0) {
      write(std::move(Bytes));
      return;
    }
    auto Timer = std::make_shared<asio::steady_timer>(From_->get_executor(),
                                                      Common_.Delay_);
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
  Switches &Common_;
  std::uint64_t Number_;
  std::array<char, 16384> Buffer_{};
  std::deque<std::string> Queue_;
  bool Writing_ = false;
};

// One address that is forwarded to another.
class ForwardedPort {
public:
  ForwardedPort(asio::io_context &Context, const Endpoint &Listen,
                const Endpoint &Target, Switches &Common)
      : Context_(Context), Target_(Target), Common_(Common),
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

  void connect(const std::shared_ptr<tcp::socket> &Near) {
    std::uint64_t Number = ++Common_.LastConnection_;
    auto Far = std::make_shared<tcp::socket>(Context_);
    Far->async_connect(
        toTcp(Target_), [this, Near, Far, Number](error_code Error) {
          if (Error)
            return;
          error_code Ignored;
          Near->set_option(tcp::no_delay(true), Ignored);
          Far->set_option(tcp::no_delay(true), Ignored);
          std::make_shared<Pump>(Near, Far, Common_, Number)->run();
          std::make_shared<Pump>(Far, Near, Common_, Number)->run();
        });
  }

  // Each sender gets a socket of its own, by which answers find back.
  struct Return {
    explicit Return(asio::io_context &Context)
        : Socket_(Context,
                  udp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}
    udp::socket Socket_;
    udp::endpoint Sender_;
    std::array<char, 65536> Buffer_{};
  };

  void receive() {
    Datagrams_.async_receive_from(asio::buffer(Buffer_), Sender_,
                                  [this](error_code Error, std::size_t Count) {
                                    if (!Error && !Common_.Cut_)
                                      forward(Count);
                                    receive();
                                  });
  }

  void forward(std::size_t Count) {
    std::shared_ptr<Return> &Way = Returns_[Sender_];
    if (!Way) {
      Way = std::make_shared<Return>(Context_);
      Way->Sender_ = Sender_;
      receiveAnswer(Way);
    }
    error_code Ignored;
    Way->Socket_.send_to(
        asio::buffer(Buffer_.data(), Count),
        udp::endpoint(asio::ip::make_address(Target_.Address_), Target_.Port_),
        0, Ignored);
  }

  void receiveAnswer(const std::shared_ptr<Return> &Way) {
    Way->Socket_.async_receive(
        asio::buffer(Way->Buffer_),
        [this, Way](error_code Error, std::size_t Count) {
          error_code Ignored;
          if (!Error && !Common_.Cut_)
            Datagrams_.send_to(asio::buffer(Way->Buffer_.data(), Count),
                               Way->Sender_, 0, Ignored);
          receiveAnswer(Way);
        });
  }

  asio::io_context &Context_;
  Endpoint Target_;
  Switches &Common_;
  tcp::acceptor Acceptor_;
  udp::socket Datagrams_;
  udp::endpoint Sender_;
  std::array<char, 65536> Buffer_{};
  std::map<udp::endpoint, std::shared_ptr<Return>> Returns_;
};

HttpResponse administer(const HttpRequest &Request, Switches &Common) {
  std::uint64_t Value = 0;
  if (parseNumber(queryValue(Request.Target_, "cut"), Value))
    Common.Cut_ = Value != 0;
  if (parseNumber(queryValue(Request.Target_, "delay-ms"), Value))
    Common.Delay_ = std::chrono::milliseconds(Value);
  if (queryValue(Request.Target_, "freeze") == "1")
    Common.FrozenThrough_ = Common.LastConnection_;
  return {200, {}, std::to_string(Common.LastConnection_) + "\n"};
}

} // namespace

int main(int Count, char **Arguments) {
  TCLAP::CmdLine Line("Relay that can go silent", ' ', "0.1");
  TCLAP::ValueArg<std::string> Admin("a", "admin", "admin address", true, "",
                                     "endpoint", Line);
  TCLAP::MultiArg<std::string> Maps("m", "map", "LISTEN=TARGET", true, "pair",
                                    Line);
  Line.parse(Count, Arguments);
  asio::io_context Context(1);
  Switches Common;
  std::deque<ForwardedPort> Routes;
  Endpoint AdminPlace;
  if (!parseEndpoint(Admin.getValue(), AdminPlace))
    return 2;
  for (const std::string &Pair : Maps.getValue()) {
    std::size_t Sign = Pair.find('=');
    Endpoint Listen;
    Endpoint Target;
    if (Sign == std::string::npos ||
        !parseEndpoint(Pair.substr(0, Sign), Listen) ||
        !parseEndpoint(Pair.substr(Sign + 1), Target)) {
      std::cerr << "relay: not LISTEN=TARGET: " << Pair << '\n';
      return 2;
    }
    Routes.emplace_back(Context, Listen, Target, Common);
  }
  HttpServer *Answers = nullptr;
  HttpServer Service(
      Context, AdminPlace, 0, 16, HttpLimits(),
      {[&Answers, &Common](CallerKey Caller, const HttpRequest &Request) {
         Answers->respond(Caller, administer(Request, Common));
       },
       [](CallerKey) {}});
  Answers = &Service;
  Context.run();
  return 0;
}
