#ifndef FULMARSHELF_DETAIL_BASE_EVENT_LOG_HPP
#define FULMARSHELF_DETAIL_BASE_EVENT_LOG_HPP

#include <cstdint>          // uint16_t
#include <initializer_list> // initializer_list
#include <string>           // string
#include <string_view>      // string_view
#include <vector>           // vector

namespace fulmarshelf {

/// @brief Numbers of the log's events; docs/EVENTS.md is the catalogue.
enum class EventNumber : std::uint16_t {
  RequestReceived = 1001,
  RequestAnswered = 1002,
  RequestRefused = 1003,
  RequestJoined = 1004,
  RequestCancelled = 1005,
  CallMatched = 1006,
  RequestFailed = 1007,
  RouteOriginChanged = 1008,
  OwnerChosen = 1101,
  NoOwnerAccepts = 1102,
  RetryStarted = 1103,
  RetryDenied = 1104,
  HedgeStarted = 1105,
  LateReplyDropped = 1106,
  TicketIssued = 1201,
  TicketStarted = 1202,
  TicketReplayed = 1203,
  TicketRefused = 1204,
  WorkQueued = 1301,
  WorkDispatched = 1302,
  WorkFinished = 1303,
  WorkEvicted = 1304,
  WorkRefused = 1305,
  WorkCancelled = 1306,
  LimitChanged = 1307,
  LevelChanged = 1308,
  DemandMeasured = 1309,
  RevokeSent = 1401,
  RevokeAnswered = 1402,
  RevokeServed = 1403,
  LinkOpened = 1501,
  LinkUp = 1502,
  LinkDown = 1503,
  LinkSilent = 1504,
  MemberAlive = 1601,
  MemberSuspect = 1602,
  MemberDead = 1603,
  MemberLeaving = 1604,
  BackendAnnounced = 1605,
  BackendLost = 1606,
  BackendDeparted = 1607,
  BackendNoticeIgnored = 1608,
  BackendNoticeMalformed = 1609,
  BackendRateLimit = 1610,
  BackendRateLimitMalformed = 1611,
  BackendCrashed = 1612,
  RequestSetAside = 1613,
  RequestCleared = 1614,
  BackendDepartureUnrecorded = 1615,
  SettingsApplied = 1701,
  SettingsIgnored = 1702,
  SettingsRejected = 1703,
  WatchStarted = 1704,
  WatchStopped = 1705,
  StoreFailed = 1706,
  StoreUnreadable = 1707,
  StoreBack = 1708,
  StoreRestored = 1709,
  SettingsKept = 1710,
  StoreFollowingStarted = 1711,
  StoreFollowingStopped = 1712,
  SettingsProved = 1713,
  SettingsUnproved = 1714,
  NodeStarted = 1801,
  NodeServing = 1802,
  NodeLeaving = 1803,
  NodeStopped = 1804,
  NodeReloaded = 1805,
  ReloadFailed = 1806,
  LinesOmitted = 1807,
  QuotaPoolChanged = 1901,
  QuotaPoolSilent = 1902,
};

/// @brief Name of an event as in docs/EVENTS.md; O(number of events).
std::string_view eventName(EventNumber Number);

/// @brief Every event that the code can write, ordered by number.
const std::vector<EventNumber> &allEvents();

/// @brief One named value of a log line.
struct LogField {
  std::string_view Name_;
  std::string Value_;
};

/// @brief One log line before the shell adds the time.
struct LogRecord {
  EventNumber Event_ = EventNumber::NodeStarted;
  /// `name=value` pairs separated by blanks. A value that contains a blank is
  /// quoted; a field with an empty value is omitted.
  std::string Text_;
  friend bool operator==(const LogRecord &, const LogRecord &) = default;
};

/// @brief Builds a record from its fields; O(length of the text).
LogRecord makeRecord(EventNumber Event, std::initializer_list<LogField> Fields);

} // namespace fulmarshelf

#endif
