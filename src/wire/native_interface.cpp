#include "fulmarshelf/detail/wire/native_interface.hpp"

#include "fulmarshelf/detail/base/ids.hpp" // parseNumber

#include <algorithm> // max, min

namespace fulmarshelf {

namespace {

constexpr std::uint64_t MaxDeadlineMs = 3'600'000; // one hour

std::string valueOf(const std::vector<Header> &Headers, std::string_view Name) {
  const std::string *Value = findHeader(Headers, Name);
  return Value == nullptr ? std::string() : *Value;
}

} // namespace

RequestMetadata nativeRequestMetadata(const HttpRequest &Request) {
  const std::vector<Header> &Headers = Request.Headers_;
  RequestMetadata Facts;
  Facts.CallerKind_ = valueOf(Headers, header::Caller);
  Facts.IdempotencyKey_ = valueOf(Headers, header::IdempotencyKey);
  Facts.Parent_ = valueOf(Headers, header::Parent);
  Facts.CallerRequestId_ = valueOf(Headers, header::RequestId);
  std::uint64_t DeadlineMs = 0;
  if (parseNumber(valueOf(Headers, header::DeadlineMs), DeadlineMs))
    Facts.TimeLeft_ =
        millis(static_cast<std::int64_t>(std::min(DeadlineMs, MaxDeadlineMs)));
  return Facts;
}

HttpRequest nativeDispatchRequest(const HttpRequest &Request,
                                  const DispatchMetadata &Facts) {
  HttpRequest Sent = Request;
  std::erase_if(Sent.Headers_, [](const Header &Field) {
    return equalsIgnoreCase(Field.Name_, header::Parent) ||
           equalsIgnoreCase(Field.Name_, header::DeadlineMs);
  });
  std::int64_t LeftMs = Facts.TimeLeft_.count() / 1000;
  Sent.Headers_.push_back({std::string(header::Parent), Facts.Parent_});
  Sent.Headers_.push_back({std::string(header::DeadlineMs),
                           std::to_string(std::max<std::int64_t>(1, LeftMs))});
  return Sent;
}

ResponseMetadata nativeResponseMetadata(const HttpResponse &Response) {
  ResponseMetadata Facts;
  Facts.NotExecuted_ = Response.Status_ == 503 &&
                       findHeader(Response.Headers_, header::Shed) != nullptr;
  return Facts;
}

} // namespace fulmarshelf
