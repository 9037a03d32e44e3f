#include "fulmarshelf/detail/engine/answers.hpp"

#include <nlohmann/json.hpp> // json

namespace fulmarshelf {

namespace {

constexpr std::int64_t MicrosPerSecond = 1'000'000;

// One sentence that tells the caller the cause or the next step.
std::string_view adviceOf(ErrorCode Error) {
  switch (Error) {
  case ErrorCode::Shed:
    return "the system is overloaded; come back after the given time";
  case ErrorCode::TicketRequired:
    return "repeat the request with the given ticket as Idempotency-Key";
  case ErrorCode::TicketHomeGone:
    return "the node that gave the ticket is gone; check whether the request "
           "ran before you use a fresh ticket";
  case ErrorCode::TicketInvalid:
    return "the ticket is expired or was not given by this system; ask for a "
           "fresh one";
  case ErrorCode::TicketMismatch:
    return "the ticket was used for another request; ask for a fresh one";
  case ErrorCode::NoLiveOwner:
    return "no backend server of the service accepts work";
  case ErrorCode::UnknownService:
    return "the first segment of the path names no service";
  case ErrorCode::DeadlineExceeded:
    return "no answer came in the time that the caller waits";
  case ErrorCode::RetryLimit:
    return "the request's retries are spent";
  case ErrorCode::SettingsUnavailable:
    return "the node has no settings yet";
  case ErrorCode::UnknownCredential:
    return "no tenant has the credential that the request carries";
  case ErrorCode::QuotaExceeded:
    return "the tenant is over its quota; come back after the given time";
  case ErrorCode::SetAside:
    return "backend servers crashed while they ran this request; do not repeat "
           "it, and report it to the operators";
  default:
    return "see docs/ERRORS.md";
  }
}

} // namespace

CallReply notRun(ErrorCode Error, Micros RetryAfter) {
  CallReply Reply;
  Reply.Outcome_ = Outcome::NotRun;
  Reply.Error_ = Error;
  Reply.RetryAfter_ = RetryAfter;
  return Reply;
}

CallReply unknownOutcome(ErrorCode Error) {
  CallReply Reply;
  Reply.Outcome_ = Outcome::Unknown;
  Reply.Error_ = Error;
  return Reply;
}

std::uint16_t statusOf(ErrorCode Error) {
  switch (Error) {
  case ErrorCode::BadRequest:
    return 400;
  case ErrorCode::UnknownCredential:
    return 401;
  case ErrorCode::UnknownService:
    return 404;
  case ErrorCode::UnknownParent:
    return 409;
  case ErrorCode::BodyTooLarge:
    return 413;
  case ErrorCode::TicketMismatch:
    return 422;
  case ErrorCode::HeaderTooLarge:
    return 431;
  case ErrorCode::TicketRequired:
  case ErrorCode::TicketInvalid:
    return 428;
  case ErrorCode::RetryLimit:
  case ErrorCode::QuotaExceeded:
    return 429;
  case ErrorCode::SetAside:
    return 500;
  case ErrorCode::OutcomeUnknown:
  case ErrorCode::BackendFailed:
  case ErrorCode::TicketHomeGone:
    return 502;
  case ErrorCode::DeadlineExceeded:
    return 504;
  default:
    return 503;
  }
}

HttpResponse toResponse(const CallReply &Reply,
                        const std::string &OfferedTicket) {
  HttpResponse Response;
  std::string Outcome(outcomeName(Reply.Outcome_));
  if (Reply.Outcome_ == Outcome::Complete) {
    Response = Reply.Response_;
  } else {
    std::string Name(errorName(Reply.Error_));
    nlohmann::json Body = {{"outcome", Outcome},
                           {"error", Name},
                           {"number", static_cast<unsigned>(Reply.Error_)},
                           {"advice", adviceOf(Reply.Error_)}};
    Response.Status_ = statusOf(Reply.Error_);
    Response.Headers_.push_back({"Content-Type", "application/json"});
    Response.Headers_.push_back({std::string(header::Error), Name});
    Response.Body_ = Body.dump() + "\n";
  }
  Response.Headers_.push_back({std::string(header::Outcome), Outcome});
  if (Reply.Replayed_)
    Response.Headers_.push_back({std::string(header::Replayed), "1"});
  if (!OfferedTicket.empty())
    Response.Headers_.push_back({std::string(header::Ticket), OfferedTicket});
  if (Reply.RetryAfter_.count() > 0) {
    std::int64_t RetryAfterMicros = Reply.RetryAfter_.count();
    std::int64_t Seconds =
        (RetryAfterMicros + MicrosPerSecond - 1) / MicrosPerSecond;
    Response.Headers_.push_back(
        {std::string(header::RetryAfter), std::to_string(Seconds)});
    Response.Headers_.push_back({std::string(header::RetryAfterMs),
                                 std::to_string(RetryAfterMicros / 1000)});
  }
  return Response;
}

} // namespace fulmarshelf
