#include "fulmarshelf/detail/shell/http1_session.hpp"

#include "fulmarshelf/detail/base/ids.hpp" // parseNumber

#include "http1_message.hpp" // forwardedFields, parseInput
#include "http1_parser.hpp"  // Http1Parser

#include <optional> // optional

namespace fulmarshelf {

namespace {

constexpr unsigned FirstStatus = 100;
constexpr unsigned FirstFinalStatus = 200;

// Parses `timeout=N` in whole seconds, less one second for bytes in transit.
std::optional<std::chrono::milliseconds> parseIdleTime(std::string_view Field) {
  constexpr std::string_view Name = "timeout=";
  std::size_t Start = Field.find(Name);
  if (Start == std::string_view::npos)
    return std::nullopt;
  std::string_view Digits = Field.substr(Start + Name.size());
  Digits = Digits.substr(0, Digits.find_first_not_of("0123456789"));
  std::uint64_t Seconds = 0;
  if (Digits.size() > 6 || !parseNumber(std::string(Digits), Seconds))
    return std::nullopt;
  return std::chrono::milliseconds(Seconds == 0 ? 0 : (Seconds - 1) * 1000);
}

// Methods whose requests state their length also without a body (RFC 9110
// section 8.6).
bool hasBodyByDefinition(std::string_view Method) {
  return Method == "POST" || Method == "PUT" || Method == "OPTIONS";
}

} // namespace

struct HttpClientSession::State {
  using Parser = Http1Parser<false>;

  HttpLimits Limits_;
  std::optional<Parser> Parser_;
  std::string Input_;
  std::uint32_t HeadBytesLeft_ = 0; // limit of the head less its parsed bytes
  bool HeadOnly_ = false;
  bool Waiting_ = false;
  bool Reusable_ = true;
  std::optional<std::chrono::milliseconds> IdleTime_;

  void resetParser() {
    Parser_.emplace();
    HeadBytesLeft_ = Limits_.HeaderBytes_;
    Parser_->body_limit(Limits_.BodyBytes_);
    Parser_->skip(HeadOnly_);
    Waiting_ = true;
  }

  error_code parseInput() {
    return fulmarshelf::parseInput(*Parser_, Input_, HeadBytesLeft_,
                                   Limits_.HeaderBytes_);
  }

  // A status below 100 is none in the protocol.
  bool hasInvalidStatus() const {
    return Parser_->is_header_done() &&
           Parser_->message().Status_ < FirstStatus;
  }

  ClientResult parse(HttpResponse &Response) {
    if (parseInput() || hasInvalidStatus())
      return fail();
    while (isInterim()) { // the final response follows
      resetParser();
      if (parseInput() || hasInvalidStatus())
        return fail();
    }
    if (Parser_->is_done())
      return finish(Response);
    return Input_.size() > Limits_.HeaderBytes_ ? fail()
                                                : ClientResult::Waiting;
  }

  bool isInterim() const {
    return Parser_->is_done() && Parser_->message().Status_ < FirstFinalStatus;
  }

  ClientResult finish(HttpResponse &Response) {
    bool KeepAlive = Parser_->keep_alive();
    Http1Message Message = Parser_->release();
    // Bytes after a response belong to no request that this side sent, so the
    // connection is not reused.
    Reusable_ = KeepAlive && Input_.empty();
    const std::string *IdleField = findHeader(Message.Fields_, "Keep-Alive");
    IdleTime_ = parseIdleTime(IdleField == nullptr ? "" : *IdleField);
    Response = {Message.Status_, forwardedFields(Message.Fields_),
                std::move(Message.Body_)};
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
  std::string Bytes = Request.Method_ + " " + Request.Target_ + " HTTP/1.1\r\n";
  if (findHeader(Request.Headers_, "Host") == nullptr)
    appendField(Bytes, "Host", Host);
  appendFields(Bytes, Request.Headers_);
  if (!Request.Body_.empty() || hasBodyByDefinition(Request.Method_))
    appendField(Bytes, "Content-Length", std::to_string(Request.Body_.size()));
  Bytes.append("\r\n").append(Request.Body_);
  State_->HeadOnly_ = Request.Method_ == "HEAD";
  State_->resetParser();
  return Bytes;
}

ClientResult HttpClientSession::receive(std::string_view Bytes,
                                        HttpResponse &Response) {
  if (!State_->Waiting_)
    return State_->fail();
  State_->Input_.append(Bytes);
  return State_->parse(Response);
}

ClientResult HttpClientSession::skipResponse(HttpResponse &Response) {
  State_->resetParser();
  return State_->parse(Response);
}

std::optional<std::chrono::milliseconds> HttpClientSession::idleTime() const {
  return State_->IdleTime_;
}

ClientResult HttpClientSession::end(HttpResponse &Response) {
  if (!State_->Waiting_ || !State_->Parser_->got_some())
    return State_->fail();
  error_code Error;
  State_->Parser_->put_eof(Error);
  if (Error || !State_->Parser_->is_done())
    return State_->fail();
  return State_->finish(Response);
}

std::size_t HttpClientSession::bufferedBytes() const {
  std::size_t Size = State_->Input_.size();
  return State_->Waiting_ ? Size + State_->Parser_->message().Body_.size()
                          : Size;
}

bool HttpClientSession::isReusable() const { return State_->Reusable_; }

} // namespace fulmarshelf
