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
  RequestMetadata Metadata;
  Metadata.CallerKind_ = valueOf(Headers, header::Caller);
  Metadata.IdempotencyKey_ = valueOf(Headers, header::IdempotencyKey);
  Metadata.Parent_ = valueOf(Headers, header::Parent);
  Metadata.CallerRequestId_ = valueOf(Headers, header::RequestId);
  std::uint64_t DeadlineMs = 0;
  if (parseNumber(valueOf(Headers, header::DeadlineMs), DeadlineMs))
    Metadata.TimeLeft_ =
        millis(static_cast<std::int64_t>(std::min(DeadlineMs, MaxDeadlineMs)));
  return Metadata;
}

HttpRequest nativeDispatchRequest(const HttpRequest &Request,
                                  const DispatchMetadata &Metadata) {
  HttpRequest Sent = Request;
  std::erase_if(Sent.Headers_, [](const Header &Field) {
    return equalsIgnoreCase(Field.Name_, header::Parent) ||
           equalsIgnoreCase(Field.Name_, header::DeadlineMs);
  });
  std::int64_t TimeLeftMs = Metadata.TimeLeft_.count() / 1000;
  Sent.Headers_.push_back({std::string(header::Parent), Metadata.Parent_});
  Sent.Headers_.push_back(
      {std::string(header::DeadlineMs),
       std::to_string(std::max<std::int64_t>(1, TimeLeftMs))});
  return Sent;
}

ResponseMetadata nativeResponseMetadata(const HttpResponse &Response) {
  ResponseMetadata Metadata;
  Metadata.NotExecuted_ =
      Response.Status_ == 503 &&
      findHeader(Response.Headers_, header::Shed) != nullptr;
  Metadata.Leaving_ = valueOf(Response.Headers_, header::Leaving) == "1";
  Metadata.RateLimit_ =
      parseRateLimit(findHeaders(Response.Headers_, header::RateLimit));
  return Metadata;
}

} // namespace fulmarshelf
