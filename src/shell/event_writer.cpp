#include "fulmarshelf/detail/shell/event_writer.hpp"

#include <boost/log/core.hpp>                            // core
#include <boost/log/expressions.hpp>                     // stream, smessage
#include <boost/log/sources/logger.hpp>                  // logger
#include <boost/log/sources/record_ostream.hpp>          // BOOST_LOG
#include <boost/log/support/date_time.hpp>               // format_date_time
#include <boost/log/utility/setup/common_attributes.hpp> // add_common_...
#include <boost/log/utility/setup/console.hpp>           // add_console_log
#include <boost/log/utility/setup/file.hpp>              // add_file_log

#include <iostream> // clog
#include <utility>  // move

namespace fulmarshelf {

namespace {

namespace log_ns = boost::log;
namespace expr = boost::log::expressions;

constexpr unsigned FirstChangeEvent = 1307;
constexpr unsigned FirstLifeEvent = 1700;

log_ns::sources::logger &logger() {
  static log_ns::sources::logger Logger;
  return Logger;
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
    return Number >= FirstLifeEvent;
  }
  return true;
}

EventWriter::EventWriter(std::string Node, const std::string &File,
                         LogLevel Level)
    : Node_(std::move(Node)), Level_(Level) {
  auto Format = expr::stream
                << expr::format_date_time<boost::posix_time::ptime>(
                       "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                << ' ' << expr::smessage;
  log_ns::core::get()->add_global_attribute("TimeStamp",
                                            log_ns::attributes::utc_clock());
  if (File.empty())
    log_ns::add_console_log(std::clog, log_ns::keywords::format = Format);
  else
    log_ns::add_file_log(log_ns::keywords::file_name = File,
                         log_ns::keywords::open_mode = std::ios::app,
                         log_ns::keywords::format = Format,
                         log_ns::keywords::auto_flush = false);
}

EventWriter::~EventWriter() {
  log_ns::core::get()->flush();
  log_ns::core::get()->remove_all_sinks();
}

void EventWriter::write(const LogRecord &Record) {
  if (!isLogged(Record.Event_, Level_))
    return;
  BOOST_LOG(logger()) << "node=" << Node_
                      << " event=" << static_cast<unsigned>(Record.Event_)
                      << ' ' << eventName(Record.Event_) << ' ' << Record.Text_;
}

void EventWriter::flush() { log_ns::core::get()->flush(); }

} // namespace fulmarshelf
