#include "fulmarshelf/detail/base/event_log.hpp"

#include <array> // array

namespace fulmarshelf {

namespace {

struct NamedEvent {
  EventNumber Number_;
  std::string_view Name_;
};

constexpr std::array<NamedEvent, 72> EventNames = {{
    {EventNumber::RequestReceived, "request-received"},
    {EventNumber::RequestAnswered, "request-answered"},
    {EventNumber::RequestRefused, "request-refused"},
    {EventNumber::RequestJoined, "request-joined"},
    {EventNumber::RequestCancelled, "request-cancelled"},
    {EventNumber::CallMatched, "call-matched"},
    {EventNumber::RequestFailed, "request-failed"},
    {EventNumber::RouteOriginChanged, "route-origin-changed"},
    {EventNumber::OwnerChosen, "owner-chosen"},
    {EventNumber::NoOwnerAccepts, "no-owner-accepts"},
    {EventNumber::RetryStarted, "retry-started"},
    {EventNumber::RetryDenied, "retry-denied"},
    {EventNumber::HedgeStarted, "hedge-started"},
    {EventNumber::LateReplyDropped, "late-reply-dropped"},
    {EventNumber::TicketIssued, "ticket-issued"},
    {EventNumber::TicketStarted, "ticket-started"},
    {EventNumber::TicketReplayed, "ticket-replayed"},
    {EventNumber::TicketRefused, "ticket-refused"},
    {EventNumber::WorkQueued, "work-queued"},
    {EventNumber::WorkDispatched, "work-dispatched"},
    {EventNumber::WorkFinished, "work-finished"},
    {EventNumber::WorkEvicted, "work-evicted"},
    {EventNumber::WorkRefused, "work-refused"},
    {EventNumber::WorkCancelled, "work-cancelled"},
    {EventNumber::LimitChanged, "limit-changed"},
    {EventNumber::LevelChanged, "level-changed"},
    {EventNumber::DemandMeasured, "demand-measured"},
    {EventNumber::RevokeSent, "revoke-sent"},
    {EventNumber::RevokeAnswered, "revoke-answered"},
    {EventNumber::RevokeServed, "revoke-served"},
    {EventNumber::LinkOpened, "link-opened"},
    {EventNumber::LinkUp, "link-up"},
    {EventNumber::LinkDown, "link-down"},
    {EventNumber::LinkSilent, "link-silent"},
    {EventNumber::MemberAlive, "member-alive"},
    {EventNumber::MemberSuspect, "member-suspect"},
    {EventNumber::MemberDead, "member-dead"},
    {EventNumber::MemberLeaving, "member-leaving"},
    {EventNumber::BackendAnnounced, "backend-announced"},
    {EventNumber::BackendLost, "backend-lost"},
    {EventNumber::BackendDeparted, "backend-departed"},
    {EventNumber::BackendNoticeIgnored, "backend-notice-ignored"},
    {EventNumber::BackendNoticeMalformed, "backend-notice-malformed"},
    {EventNumber::BackendRateLimit, "backend-rate-limit"},
    {EventNumber::BackendRateLimitMalformed, "backend-rate-limit-malformed"},
    {EventNumber::BackendCrashed, "backend-crashed"},
    {EventNumber::RequestSetAside, "request-set-aside"},
    {EventNumber::RequestCleared, "request-cleared"},
    {EventNumber::BackendDepartureUnrecorded, "backend-departure-unrecorded"},
    {EventNumber::SettingsApplied, "settings-applied"},
    {EventNumber::SettingsIgnored, "settings-ignored"},
    {EventNumber::SettingsRejected, "settings-rejected"},
    {EventNumber::WatchStarted, "watch-started"},
    {EventNumber::WatchStopped, "watch-stopped"},
    {EventNumber::StoreFailed, "store-failed"},
    {EventNumber::StoreUnreadable, "store-unreadable"},
    {EventNumber::StoreBack, "store-back"},
    {EventNumber::StoreRestored, "store-restored"},
    {EventNumber::SettingsKept, "settings-kept"},
    {EventNumber::StoreFollowingStarted, "store-following-started"},
    {EventNumber::StoreFollowingStopped, "store-following-stopped"},
    {EventNumber::SettingsProved, "settings-proved"},
    {EventNumber::SettingsUnproved, "settings-unproved"},
    {EventNumber::NodeStarted, "node-started"},
    {EventNumber::NodeServing, "node-serving"},
    {EventNumber::NodeLeaving, "node-leaving"},
    {EventNumber::NodeStopped, "node-stopped"},
    {EventNumber::NodeReloaded, "node-reloaded"},
    {EventNumber::ReloadFailed, "reload-failed"},
    {EventNumber::LinesOmitted, "lines-omitted"},
    {EventNumber::QuotaPoolChanged, "quota-pool-changed"},
    {EventNumber::QuotaPoolSilent, "quota-pool-silent"},
}};

} // namespace

std::string_view eventName(EventNumber Number) {
  for (const NamedEvent &Entry : EventNames)
    if (Entry.Number_ == Number)
      return Entry.Name_;
  return "unnamed";
}

const std::vector<EventNumber> &allEvents() {
  static const std::vector<EventNumber> Numbers = [] {
    std::vector<EventNumber> Result;
    Result.reserve(EventNames.size());
    for (const NamedEvent &Entry : EventNames)
      Result.push_back(Entry.Number_);
    return Result;
  }();
  return Numbers;
}

LogRecord makeRecord(EventNumber Event,
                     std::initializer_list<LogField> Fields) {
  LogRecord Record;
  Record.Event_ = Event;
  for (const LogField &Field : Fields) {
    if (Field.Value_.empty())
      continue;
    if (!Record.Text_.empty())
      Record.Text_ += ' ';
    Record.Text_ += Field.Name_;
    Record.Text_ += '=';
    bool Quoted = Field.Value_.find(' ') != std::string::npos;
    Record.Text_ += Quoted ? '"' + Field.Value_ + '"' : Field.Value_;
  }
  return Record;
}

} // namespace fulmarshelf
