#include "fulmarshelf/detail/shell/dialect.hpp"

#include "fulmarshelf/detail/engine/answers.hpp"           // toResponse
#include "fulmarshelf/detail/shell/announcement_codec.hpp" // parseAnnouncement
#include "fulmarshelf/detail/wire/native_interface.hpp" // nativeRequestMetadata

#include <string_view> // string_view
#include <utility>     // move

namespace fulmarshelf {

namespace {

const std::string AnnouncePath = "/_fulmarshelf/announce";
constexpr std::string_view AnnouncementFields =
    "it needs service, address, slots, connections";

HttpResponse textPage(std::uint16_t Status, std::string Body) {
  return {Status, {{"Content-Type", "text/plain"}}, std::move(Body)};
}

} // namespace

IncomingRequest NativeDialect::decodeRequest(HttpRequest Request) const {
  RequestMetadata Metadata = nativeRequestMetadata(Request);
  return {std::move(Request), std::move(Metadata)};
}

HttpRequest NativeDialect::encodeDispatch(const DispatchWork &Dispatch) const {
  return nativeDispatchRequest(Dispatch.Request_, Dispatch.Metadata_);
}

ResponseMetadata
NativeDialect::decodeResponse(const HttpResponse &Response) const {
  return nativeResponseMetadata(Response);
}

// Responses of the native interface name no request, and belong to the one that
// waits.
ResponseTraits
NativeDialect::inspectResponse(const HttpRequest &,
                               const HttpResponse &Response) const {
  return {ResponseMatch::Request, decodeResponse(Response).NotExecuted_};
}

HttpResponse NativeDialect::encodeResponse(const AnswerCaller &Answer) const {
  return toResponse(Answer.Reply_, Answer.Ticket_);
}

BackendNotice NativeDialect::decodeNotice(const HttpRequest &Request) const {
  if (Request.Target_ != AnnouncePath)
    return NoNotice{};
  Announcement Announced;
  if (Request.Method_ != "POST" || !parseAnnouncement(Request.Body_, Announced))
    return MalformedNotice{std::string(AnnouncementFields)};
  return BackendAnnounced{Announced, std::nullopt, Micros(0)};
}

HttpResponse NativeDialect::encodeNoticeResponse(NoticeResult Result) const {
  switch (Result) {
  case NoticeResult::Taken:
    return textPage(200, "announced\n");
  case NoticeResult::Malformed:
    return textPage(400, "announcement is malformed; " +
                             std::string(AnnouncementFields) + "\n");
  case NoticeResult::NotRecorded:
    return textPage(503, "not recorded; send it again\n");
  }
  return textPage(503, "");
}

Dialect makeDialect(const NodeSettings &Settings) {
  if (Settings.Interface_ == InterfaceKind::Platform)
    return PlatformDialect{Settings.Service_, Settings.BackendServer_};
  return NativeDialect{};
}

} // namespace fulmarshelf
