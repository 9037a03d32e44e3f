#include "fulmarshelf/detail/shell/http1_session.hpp"

#include "fulmarshelf/detail/engine/answers.hpp" // notRun, toResponse

#include "http1_message.hpp" // forwardedFields, parseInput
#include "http1_parser.hpp"  // Http1Parser

#include <boost/beast/http/status.hpp> // obsolete_reason

#include <deque>    // deque
#include <optional> // optional

namespace fulmarshelf {

namespace {

std::string serializeResponse(const HttpResponse &Response, bool KeepAlive,
                              bool HeadOnly) {
  boost::beast::string_view Reason =
      http::obsolete_reason(http::int_to_status(Response.Status_));
  std::string Bytes = "HTTP/1.1 " + std::to_string(Response.Status_) + " ";
  Bytes.append(Reason.data(), Reason.size()).append("\r\n");
  appendFields(Bytes, Response.Headers_);
  if (!KeepAlive)
    appendField(Bytes, "Connection", "close");
  bool Bodiless = Response.Status_ == 204 || Response.Status_ == 304;
  if (!Bodiless)
    appendField(Bytes, "Content-Length", std::to_string(Response.Body_.size()));
  Bytes += "\r\n";
  if (!HeadOnly && !Bodiless)
    Bytes += Response.Body_;
  return Bytes;
}

ErrorCode toErrorCode(const error_code &Error) {
  if (Error == http::error::body_limit)
    return ErrorCode::BodyTooLarge;
  if (Error == http::error::header_limit)
    return ErrorCode::HeaderTooLarge;
  return ErrorCode::BadRequest;
}

// Detects fields that continue on the next line. Servers differ in the way they
// parse them, so one request could be hidden in another (request smuggling).
// The input begins with the next line of the head.
bool hasFoldedField(std::string_view Input) {
  if (Input.starts_with("\r\n"))
    return false;
  std::string_view Head = Input.substr(0, Input.find("\r\n\r\n"));
  return Head.find("\r\n ") != std::string_view::npos ||
         Head.find("\r\n\t") != std::string_view::npos;
}

// Accepts bodies with a length or in chunks, and no other transfer coding.
bool hasUnambiguousFraming(const Http1Message &Parsed) {
  std::vector<std::string_view> Codings =
      findHeaders(Parsed.Fields_, "Transfer-Encoding");
  std::size_t Lengths = findHeaders(Parsed.Fields_, "Content-Length").size();
  if (Codings.empty())
    return Lengths <= 1;
  return Codings.size() == 1 && Lengths == 0 &&
         equalsIgnoreCase(Codings.front(), "chunked") && Parsed.Version_ == 11;
}

using SessionTime = HttpServerSession::Time;

// A request that was taken, or a refused one.
struct TakenRequest {
  bool HeadOnly_ = false;
  std::optional<HttpResponse> Response_; // waits for an earlier response
};

// A parsed request that has not been taken.
struct ParsedRequest {
  HttpRequest Request_;
  SessionTime ReceivedAt_;
  bool KeepAlive_ = true;
  bool HeadOnly_ = false;
};

// Receipt of all bytes up to a position in the stream of received bytes.
struct Receipt {
  std::uint64_t End_ = 0;
  SessionTime At_;
};

} // namespace

struct HttpServerSession::State {
  using Parser = Http1Parser<true>;

  HttpLimits Limits_;
  PipelineLimits Pipeline_;
  std::optional<Parser> Parser_;
  std::uint32_t HeadBytesLeft_ = 0; ///< limit of the head less its parsed bytes
  std::string Input_;
  std::string Output_;
  std::uint64_t ReceivedBytes_ = 0;
  std::deque<Receipt> Receipts_; ///< of the bytes in Input_
  std::optional<ParsedRequest> Parsed_;
  std::deque<TakenRequest> InProgress_; ///< in the order of the requests
  RequestNumber LastRequest_ = 0;       ///< number of InProgress_.back()
  Time ReceivedAt_;
  std::uint64_t HeldBytes_ = 0;
  bool NoMoreRequests_ = false; ///< the last response closes the connection
  bool Close_ = false;
  bool CloseAfterResponse_ = false; ///< the next request taken is the last one

  void resetParser() {
    Parser_.emplace();
    HeadBytesLeft_ = Limits_.HeaderBytes_;
    Parser_->body_limit(Limits_.BodyBytes_);
  }

  void stopReading() {
    NoMoreRequests_ = true;
    Parsed_.reset();
    Input_.clear();
  }

  // Discards the rest of the input and answers with an error once all earlier
  // requests are answered.
  void refuse(const CallReply &Reply) {
    stopReading();
    ++LastRequest_;
    InProgress_.push_back({false, toResponse(Reply)});
    HeldBytes_ += InProgress_.back().Response_->Body_.size();
    flush();
  }

  void refuse(ErrorCode Error) { refuse(notRun(Error)); }

  bool mayParse() const {
    return !NoMoreRequests_ && !Parsed_ &&
           InProgress_.size() < Pipeline_.Requests_ &&
           HeldBytes_ <= Pipeline_.HeldBytes_;
  }

  // Feeds the input to the parser. Returns false when the request was refused.
  bool feedParser() {
    if (!Parser_->is_header_done() && hasFoldedField(Input_)) {
      refuse(ErrorCode::BadRequest);
      return false;
    }
    if (error_code Error = parseInput(*Parser_, Input_, HeadBytesLeft_,
                                      Limits_.HeaderBytes_)) {
      refuse(toErrorCode(Error));
      return false;
    }
    if (!Parser_->is_done() && Input_.size() > Limits_.HeaderBytes_) {
      refuse(ErrorCode::HeaderTooLarge);
      return false;
    }
    return true;
  }

  Time receiptOf(std::uint64_t Position) {
    while (Receipts_.size() > 1 && Receipts_.front().End_ < Position)
      Receipts_.pop_front();
    return Receipts_.empty() ? Time{} : Receipts_.front().At_;
  }

  void parse() {
    if (!mayParse() || !feedParser() || !Parser_->is_done())
      return;
    bool KeepAlive = Parser_->keep_alive();
    Http1Message Message = Parser_->release();
    resetParser();
    if (!hasUnambiguousFraming(Message)) {
      refuse(ErrorCode::BadRequest);
      return;
    }
    Parsed_.emplace();
    Parsed_->HeadOnly_ = Message.Method_ == "HEAD";
    Parsed_->KeepAlive_ = KeepAlive;
    Parsed_->ReceivedAt_ = receiptOf(ReceivedBytes_ - Input_.size());
    Parsed_->Request_ = {std::move(Message.Method_), std::move(Message.Target_),
                         forwardedFields(Message.Fields_),
                         std::move(Message.Body_)};
  }

  // Moves the responses that wait for no earlier one to the output.
  void flush() {
    while (!InProgress_.empty() && InProgress_.front().Response_) {
      TakenRequest Answered = std::move(InProgress_.front());
      InProgress_.pop_front();
      bool Last = NoMoreRequests_ && InProgress_.empty();
      HeldBytes_ -= Answered.Response_->Body_.size();
      Output_ +=
          serializeResponse(*Answered.Response_, !Last, Answered.HeadOnly_);
      Close_ = Close_ || Last;
    }
  }

  void hold(std::size_t Index, const HttpResponse &Response) {
    if (Index >= InProgress_.size() || InProgress_[Index].Response_)
      return;
    InProgress_[Index].Response_ = Response;
    HeldBytes_ += Response.Body_.size();
    flush();
  }
};

HttpServerSession::HttpServerSession(const HttpLimits &Limits,
                                     const PipelineLimits &Pipeline)
    : State_(std::make_unique<State>()) {
  State_->Limits_ = Limits;
  State_->Pipeline_ = Pipeline;
  State_->resetParser();
}

HttpServerSession::HttpServerSession(HttpServerSession &&) noexcept = default;
HttpServerSession &
HttpServerSession::operator=(HttpServerSession &&) noexcept = default;
HttpServerSession::~HttpServerSession() = default;

void HttpServerSession::receive(std::string_view Bytes, Time At) {
  if (State_->NoMoreRequests_)
    return;
  State_->Input_.append(Bytes);
  State_->ReceivedBytes_ += Bytes.size();
  if (!State_->Receipts_.empty() && State_->Receipts_.back().At_ == At)
    State_->Receipts_.back().End_ = State_->ReceivedBytes_;
  else
    State_->Receipts_.push_back({State_->ReceivedBytes_, At});
}

const HttpRequest *HttpServerSession::peekRequest() {
  State_->parse();
  // Receipts of parsed bytes are no longer needed.
  State_->receiptOf(State_->ReceivedBytes_ - State_->Input_.size() + 1);
  return State_->Parsed_ ? &State_->Parsed_->Request_ : nullptr;
}

bool HttpServerSession::nextRequest(HttpRequest &Request) {
  if (peekRequest() == nullptr)
    return false;
  ParsedRequest Next = std::move(*State_->Parsed_);
  State_->Parsed_.reset();
  Request = std::move(Next.Request_);
  State_->InProgress_.push_back({Next.HeadOnly_, std::nullopt});
  ++State_->LastRequest_;
  State_->ReceivedAt_ = Next.ReceivedAt_;
  if (!Next.KeepAlive_ || State_->CloseAfterResponse_)
    State_->stopReading();
  return true;
}

RequestNumber HttpServerSession::lastRequest() const {
  return State_->LastRequest_;
}

HttpServerSession::Time HttpServerSession::receivedAt() const {
  return State_->ReceivedAt_;
}

void HttpServerSession::respond(RequestNumber Number,
                                const HttpResponse &Response) {
  RequestNumber First = State_->LastRequest_ - State_->InProgress_.size() + 1;
  if (Number >= First)
    State_->hold(Number - First, Response);
}

void HttpServerSession::respond(const HttpResponse &Response) {
  std::size_t Index = 0;
  while (Index < State_->InProgress_.size() &&
         State_->InProgress_[Index].Response_)
    ++Index;
  State_->hold(Index, Response);
}

std::size_t HttpServerSession::inProgress() const {
  return State_->InProgress_.size();
}

std::string HttpServerSession::takeOutput() {
  return std::exchange(State_->Output_, {});
}

bool HttpServerSession::wantsClose() const { return State_->Close_; }

bool HttpServerSession::isBusy() const { return !State_->InProgress_.empty(); }

bool HttpServerSession::hasInput() const {
  return State_->Parsed_.has_value() || !State_->Input_.empty();
}

bool HttpServerSession::isFull() const {
  return !State_->NoMoreRequests_ && !State_->mayParse() &&
         State_->Input_.size() >= State_->Limits_.HeaderBytes_;
}

std::size_t HttpServerSession::bufferedBytes() const {
  std::size_t Size = State_->Input_.size();
  if (State_->Parsed_)
    Size += State_->Parsed_->Request_.Body_.size();
  return Size + State_->Parser_->message().Body_.size();
}

void HttpServerSession::setLimits(const HttpLimits &Limits) {
  State_->Limits_ = Limits;
  if (!State_->Parser_->got_some())
    State_->resetParser();
}

void HttpServerSession::closeAfterResponse() {
  State_->CloseAfterResponse_ = true;
  if (isBusy())
    State_->stopReading();
}

void HttpServerSession::refuseIncomplete(ErrorCode Error, Micros RetryAfter) {
  if (!State_->mayParse() || !State_->Parser_->got_some())
    return;
  State_->resetParser();
  State_->refuse(notRun(Error, RetryAfter));
}

bool HttpServerSession::isReading() const {
  return !isBusy() && !State_->Parsed_ &&
         (!State_->Input_.empty() || State_->Parser_->got_some());
}

} // namespace fulmarshelf
