#include "fulmarshelf/detail/shell/http1_session.hpp"

#include "fulmarshelf/detail/engine/answers.hpp" // notRun, toResponse

#include <utility> // exchange, which Asio's coroutine headers need

#include <boost/asio/buffer.hpp>              // buffer, buffers_iterator
#include <boost/beast/core/buffer_traits.hpp> // buffer_bytes
#include <boost/beast/core/buffers_range.hpp> // buffers_range_ref
#include <boost/beast/http/message.hpp>       // request, response
#include <boost/beast/http/parser.hpp>        // request_parser
#include <boost/beast/http/serializer.hpp>    // serializer
#include <boost/beast/http/string_body.hpp>   // string_body

#include <optional> // optional

namespace fulmarshelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Fields that belong to one connection and not to the message.
bool isHopField(std::string_view Name) {
  for (std::string_view Known :
       {"connection", "keep-alive", "transfer-encoding", "content-length",
        "upgrade", "te", "trailer", "proxy-connection", "host"})
    if (equalsIgnoreCase(Name, Known))
      return true;
  // Names of the protocol between nodes must not come from outside.
  return Name.size() >= 3 && equalsIgnoreCase(Name.substr(0, 3), "fs-");
}

template <typename Fields> std::vector<Header> copyFields(const Fields &From) {
  std::vector<Header> Result;
  for (const typename Fields::value_type &Field : From) {
    std::string Name(Field.name_string().data(), Field.name_string().size());
    if (!isHopField(Name))
      Result.push_back(
          {Name, std::string(Field.value().data(), Field.value().size())});
  }
  return Result;
}

template <typename Message>
void insertFields(Message &To, const std::vector<Header> &Headers) {
  for (const Header &Field : Headers)
    if (!isHopField(Field.Name_))
      To.insert(Field.Name_, Field.Value_);
}

template <bool IsRequest, typename Message>
std::string serialize(Message &Content) {
  std::string Bytes;
  http::serializer<IsRequest, http::string_body> Writer(Content);
  error_code Error;
  while (!Error && !Writer.is_done())
    Writer.next(Error, [&](error_code &, const auto &Buffers) {
      for (asio::const_buffer Part : boost::beast::buffers_range_ref(Buffers))
        Bytes.append(static_cast<const char *>(Part.data()), Part.size());
      Writer.consume(boost::beast::buffer_bytes(Buffers));
    });
  return Bytes;
}

std::string serializeResponse(const HttpResponse &Response, bool KeepAlive,
                              bool HeadOnly) {
  http::response<http::string_body> Message;
  Message.version(11);
  Message.result(Response.Status_);
  insertFields(Message, Response.Headers_);
  Message.body() = HeadOnly ? std::string() : Response.Body_;
  Message.keep_alive(KeepAlive);
  bool Empty = Response.Status_ == 204 || Response.Status_ == 304;
  if (!Empty)
    Message.content_length(Response.Body_.size());
  return serialize<false>(Message);
}

ErrorCode errorOf(const error_code &Error) {
  return Error == http::error::body_limit ? ErrorCode::BodyTooLarge
                                          : ErrorCode::BadRequest;
}

} // namespace

struct HttpServerSession::State {
  using Parser = http::request_parser<http::string_body>;

  HttpLimits Limits_;
  std::optional<Parser> Parser_;
  std::string Input_;
  std::string Output_;
  bool Busy_ = false;
  bool Close_ = false;
  bool KeepAlive_ = true;
  bool HeadOnly_ = false;

  void renew() {
    Parser_.emplace();
    Parser_->eager(true);
    Parser_->header_limit(Limits_.HeaderBytes_);
    Parser_->body_limit(Limits_.BodyBytes_);
  }

  void refuse(ErrorCode Why) {
    Output_ += serializeResponse(toResponse(notRun(Why)), false, false);
    Close_ = true;
  }
};

HttpServerSession::HttpServerSession(const HttpLimits &Limits)
    : State_(std::make_unique<State>()) {
  State_->Limits_ = Limits;
  State_->renew();
}

HttpServerSession::HttpServerSession(HttpServerSession &&) noexcept = default;
HttpServerSession &
HttpServerSession::operator=(HttpServerSession &&) noexcept = default;
HttpServerSession::~HttpServerSession() = default;

void HttpServerSession::receive(std::string_view Bytes) {
  State_->Input_.append(Bytes);
  // A peer that sends on and on while its request is unanswered is cut off.
  std::size_t Most = State_->Limits_.HeaderBytes_ + State_->Limits_.BodyBytes_;
  if (State_->Busy_ && State_->Input_.size() > Most)
    State_->Close_ = true;
}

bool HttpServerSession::nextRequest(HttpRequest &Result) {
  if (State_->Busy_ || State_->Close_)
    return false;
  while (!State_->Input_.empty() && !State_->Parser_->is_done()) {
    error_code Error;
    std::size_t Used =
        State_->Parser_->put(asio::buffer(State_->Input_), Error);
    State_->Input_.erase(0, Used);
    if (Error == http::error::need_more)
      break;
    if (Error) {
      State_->refuse(errorOf(Error));
      return false;
    }
  }
  if (!State_->Parser_->is_done())
    return false;
  http::request<http::string_body> Message = State_->Parser_->release();
  Result = {};
  Result.Method_ = std::string(Message.method_string());
  Result.Target_ = std::string(Message.target());
  Result.Headers_ = copyFields(Message.base());
  Result.Body_ = std::move(Message.body());
  State_->KeepAlive_ = Message.keep_alive();
  State_->HeadOnly_ = Message.method() == http::verb::head;
  State_->Busy_ = true;
  State_->renew();
  return true;
}

void HttpServerSession::respond(const HttpResponse &Response) {
  if (!State_->Busy_)
    return;
  State_->Busy_ = false;
  State_->Output_ +=
      serializeResponse(Response, State_->KeepAlive_, State_->HeadOnly_);
  State_->Close_ = State_->Close_ || !State_->KeepAlive_;
}

std::string HttpServerSession::takeOutput() {
  return std::exchange(State_->Output_, {});
}

bool HttpServerSession::wantsClose() const { return State_->Close_; }

bool HttpServerSession::isBusy() const { return State_->Busy_; }

struct HttpClientSession::State {
  using Parser = http::response_parser<http::string_body>;

  HttpLimits Limits_;
  std::optional<Parser> Parser_;
  std::string Input_;
  bool HeadOnly_ = false;
  bool Waiting_ = false;
  bool Reusable_ = true;

  ClientResult finish(HttpResponse &Result) {
    http::response<http::string_body> Message = Parser_->release();
    Result = {};
    Result.Status_ = static_cast<std::uint16_t>(Message.result_int());
    Result.Headers_ = copyFields(Message.base());
    Result.Body_ = std::move(Message.body());
    Reusable_ = Message.keep_alive();
    Waiting_ = false;
    return ClientResult::Answered;
  }

  ClientResult fail() {
    Reusable_ = false;
    Waiting_ = false;
    return ClientResult::Broken;
  }
};

HttpClientSession::HttpClientSession(const HttpLimits &Limits)
    : State_(std::make_unique<State>()) {
  State_->Limits_ = Limits;
}

HttpClientSession::HttpClientSession(HttpClientSession &&) noexcept = default;
HttpClientSession &
HttpClientSession::operator=(HttpClientSession &&) noexcept = default;
HttpClientSession::~HttpClientSession() = default;

std::string HttpClientSession::send(const HttpRequest &Request,
                                    const std::string &Host) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.Method_);
  Message.target(Request.Target_);
  Message.set(http::field::host, Host);
  insertFields(Message, Request.Headers_);
  Message.body() = Request.Body_;
  Message.prepare_payload();
  State_->HeadOnly_ = Request.Method_ == "HEAD";
  State_->Parser_.emplace();
  State_->Parser_->eager(true);
  State_->Parser_->header_limit(State_->Limits_.HeaderBytes_);
  State_->Parser_->body_limit(State_->Limits_.BodyBytes_);
  State_->Parser_->skip(State_->HeadOnly_);
  State_->Waiting_ = true;
  return serialize<true>(Message);
}

ClientResult HttpClientSession::receive(std::string_view Bytes,
                                        HttpResponse &Result) {
  if (!State_->Waiting_)
    return State_->fail();
  std::string &Input = State_->Input_;
  Input.append(Bytes);
  while (!Input.empty() && !State_->Parser_->is_done()) {
    error_code Error;
    std::size_t Used = State_->Parser_->put(asio::buffer(Input), Error);
    Input.erase(0, Used);
    if (Error == http::error::need_more)
      break;
    if (Error)
      return State_->fail();
  }
  if (!State_->Parser_->is_done())
    return ClientResult::Waiting;
  // Bytes behind an answer belong to no request of this side.
  return Input.empty() ? State_->finish(Result) : State_->fail();
}

ClientResult HttpClientSession::end(HttpResponse &Result) {
  if (!State_->Waiting_ || !State_->Parser_->got_some())
    return State_->fail();
  error_code Error;
  State_->Parser_->put_eof(Error);
  if (Error || !State_->Parser_->is_done())
    return State_->fail();
  return State_->finish(Result);
}

bool HttpClientSession::isReusable() const { return State_->Reusable_; }

} // namespace fulmarshelf
