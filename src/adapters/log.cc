#include "adapters/log.h"

#include <algorithm>
#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace chicoryvale {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

std::string& ProgramName() {
  static std::string name;
  return name;
}

boost::log::sources::severity_logger<LogLevel>& Logger() {
  static boost::log::sources::severity_logger<LogLevel> logger;
  return logger;
}

}  // namespace

void InitLog(std::string_view program, LogLevel level) {
  namespace expr = boost::log::expressions;
  ProgramName() = program;
  boost::log::add_common_attributes();
  boost::log::add_console_log(
      std::cerr,
      boost::log::keywords::format =
          expr::stream << "{\"time\":\""
                       << expr::format_date_time<boost::posix_time::ptime>(
                              "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                       << "\"," << expr::smessage,
      boost::log::keywords::auto_flush = true);
  boost::log::core::get()->set_filter(expr::attr<LogLevel>("Severity") >=
                                      level);
}

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  nlohmann::ordered_json line;
  line["level"] = kLevelNames[static_cast<std::size_t>(level)];
  line["program"] = ProgramName();
  line["event"] = event;
  for (const LogField& field : fields) line[field.name] = field.value;
  // Bytes that are no UTF-8 are replaced, never thrown about.
  const std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  BOOST_LOG_SEV(Logger(), level) << text.substr(1);
}

bool ParseLogLevel(std::string_view text, LogLevel* level) {
  const auto found = std::ranges::find(kLevelNames, text);
  if (found == kLevelNames.end()) return false;
  *level = static_cast<LogLevel>(found - kLevelNames.begin());
  return true;
}

}  // namespace chicoryvale
