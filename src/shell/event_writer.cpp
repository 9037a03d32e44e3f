#include "fulmarshelf/detail/shell/event_writer.hpp"

#include <boost/log/core.hpp>                     // core
#include <boost/log/expressions.hpp>              // smessage
#include <boost/log/sinks/basic_sink_backend.hpp> // basic_formatted_sink...
#include <boost/log/sinks/sync_frontend.hpp>      // synchronous_sink
#include <boost/log/sources/logger.hpp>           // logger
#include <boost/log/sources/record_ostream.hpp>   // BOOST_LOG
#include <boost/log/utility/setup/file.hpp>       // add_file_log
#include <boost/make_shared.hpp>                  // make_shared

#include <fcntl.h>  // fcntl
#include <unistd.h> // write

#include <array>   // array
#include <chrono>  // system_clock
#include <cstdio>  // snprintf
#include <ctime>   // gmtime_r
#include <utility> // exchange, move

namespace fulmarshelf {

namespace {

namespace log_ns = boost::log;

// Log levels select events by number (see EventNumber).
constexpr unsigned FirstChangeEvent = 1307;
constexpr unsigned FirstLifecycleEvent = 1700;
// With lines of about 200 bytes, both limits together stay below 100 KB/s,
// which a slow terminal or log collector can still take.
constexpr unsigned MaxOrdinaryLinesPerSecond = 200;
constexpr unsigned MaxImportantLinesPerSecond = 300;
// Holds the lines of some seconds at the full rate, so that no line is lost
// when the reader pauses for that long.
constexpr std::size_t MaxBufferedBytes = std::size_t{512} * 1024;

// Writes to standard output through a bounded buffer.
class StandardOutput
    : public log_ns::sinks::basic_formatted_sink_backend<char> {
public:
  void consume(const log_ns::record_view &, const string_type &Line) {
    if (Buffer_.size() + Line.size() + 1 > MaxBufferedBytes) {
      ++Dropped_;
      return;
    }
    Buffer_ += Line;
    Buffer_ += '\n';
  }

  // Writes as much as standard output accepts without blocking.
  void drain() {
    while (!Buffer_.empty()) {
      ssize_t Written = ::write(STDOUT_FILENO, Buffer_.data(), Buffer_.size());
      if (Written <= 0)
        return;
      Buffer_.erase(0, static_cast<std::size_t>(Written));
    }
  }

  std::uint64_t takeDropped() { return std::exchange(Dropped_, 0); }

private:
  std::string Buffer_;
  std::uint64_t Dropped_ = 0;
};

boost::shared_ptr<StandardOutput> &standardOutput() {
  static boost::shared_ptr<StandardOutput> Backend;
  return Backend;
}

log_ns::sources::logger &logger() {
  static log_ns::sources::logger Logger;
  return Logger;
}

std::int64_t microsNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Formats a time as `2026-12-04T10:11:12.131415Z`. The text up to the second is
// cached, since most lines fall into the same second as the previous line.
std::string timeText(std::int64_t Micros) {
  static std::int64_t CachedSecond = -1;
  static std::string CachedText;
  std::int64_t Second = Micros / 1'000'000;
  if (Second != CachedSecond) {
    std::time_t UnixTime = static_cast<std::time_t>(Second);
    std::tm Parts{};
    gmtime_r(&UnixTime, &Parts);
    std::array<char, 32> Text{};
    std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S.", &Parts);
    CachedText = Text.data();
    CachedSecond = Second;
  }
  std::array<char, 16> Fraction{};
  std::snprintf(Fraction.data(), Fraction.size(), "%06dZ",
                static_cast<int>(Micros % 1'000'000));
  return CachedText + Fraction.data();
}

// Returns true for refusals, failures and changes of the node's state.
bool isImportant(EventNumber Event) {
  switch (Event) {
  case EventNumber::RequestRefused:
  case EventNumber::RequestFailed:
  case EventNumber::RouteOriginChanged:
  case EventNumber::NoOwnerAccepts:
  case EventNumber::RetryStarted:
  case EventNumber::RetryDenied:
  case EventNumber::WorkEvicted:
  case EventNumber::WorkRefused:
  case EventNumber::WorkCancelled:
    return true;
  default:
    return static_cast<unsigned>(Event) >= FirstChangeEvent;
  }
}

} // namespace

bool isLogged(EventNumber Event, LogLevel Level) {
  auto Number = static_cast<unsigned>(Event);
  switch (Level) {
  case LogLevel::Decisions:
    return true;
  case LogLevel::Changes:
    return Number >= FirstChangeEvent;
  case LogLevel::Quiet:
    return Number >= FirstLifecycleEvent;
  }
  return true;
}

bool LineBudget::take(EventNumber Event, std::int64_t Second) {
  if (Second != Second_) {
    Second_ = Second;
    Ordinary_ = 0;
    Important_ = 0;
  }
  bool Important = isImportant(Event);
  unsigned &Used = Important ? Important_ : Ordinary_;
  if (Used >=
      (Important ? MaxImportantLinesPerSecond : MaxOrdinaryLinesPerSecond)) {
    ++Omitted_;
    return false;
  }
  ++Used;
  return true;
}

std::uint64_t LineBudget::takeOmitted() { return std::exchange(Omitted_, 0); }

EventWriter::EventWriter(std::string Node, const std::string &File,
                         LogLevel Level)
    : Node_(std::move(Node)), Level_(Level) {
  if (!File.empty()) {
    log_ns::add_file_log(log_ns::keywords::file_name = File,
                         log_ns::keywords::open_mode = std::ios::app,
                         log_ns::keywords::format = "%Message%",
                         log_ns::keywords::auto_flush = false);
    return;
  }
  int Flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags >= 0)
    ::fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
  using Sink = log_ns::sinks::synchronous_sink<StandardOutput>;
  standardOutput() = boost::make_shared<StandardOutput>();
  boost::shared_ptr<Sink> Frontend = boost::make_shared<Sink>(standardOutput());
  Frontend->set_formatter(log_ns::expressions::stream
                          << log_ns::expressions::smessage);
  log_ns::core::get()->add_sink(Frontend);
}

EventWriter::~EventWriter() {
  flush();
  log_ns::core::get()->remove_all_sinks();
  standardOutput().reset();
}

void EventWriter::writeLine(EventNumber Event, const std::string &Text) {
  BOOST_LOG(logger()) << timeText(microsNow()) << " node=" << Node_
                      << " event=" << static_cast<unsigned>(Event) << ' '
                      << eventName(Event) << ' ' << Text;
}

void EventWriter::write(const LogRecord &Record) {
  if (!isLogged(Record.Event_, Level_))
    return;
  if (Budget_.take(Record.Event_, microsNow() / 1'000'000))
    writeLine(Record.Event_, Record.Text_);
}

void EventWriter::flush() {
  std::uint64_t Omitted = Budget_.takeOmitted();
  if (standardOutput())
    Omitted += standardOutput()->takeDropped();
  if (Omitted > 0)
    writeLine(EventNumber::LinesOmitted, "count=" + std::to_string(Omitted));
  if (standardOutput())
    standardOutput()->drain();
  else
    log_ns::core::get()->flush();
}

} // namespace fulmarshelf
