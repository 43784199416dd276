#include "adapters/log.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <csignal>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "adapters/line_writer.h"
#include "base/time.h"

namespace chicoryvale {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

std::string& ProgramName() {
  static std::string name;
  return name;
}

/// Boost.Log backend that writes formatted lines with a LineWriter.
class LineSink : public boost::log::sinks::basic_formatted_sink_backend<
                     char, boost::log::sinks::synchronized_feeding> {
 public:
  explicit LineSink(int descriptor) : m_writer(descriptor) {}

  // Boost.Log prescribes this name.
  void consume(  // NOLINT(readability-identifier-naming)
      const boost::log::record_view& /*record*/, const std::string& line) {
    const TimePoint now = std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
    if (m_dropped_lines > 0) {
      const std::string report =
          R"({"level":"warning","event":"log_lines_left_out","lines":")" +
          std::to_string(m_dropped_lines) + R"("})";
      if (m_writer.Write(report, now)) m_dropped_lines = 0;
    }
    m_writer.Write(line, now);
    m_dropped_lines += m_writer.ConsumeDroppedLineCount();
  }

 private:
  LineWriter m_writer;
  std::uint64_t m_dropped_lines = 0;
};

boost::log::sources::severity_logger<LogLevel>& Logger() {
  static boost::log::sources::severity_logger<LogLevel> logger;
  return logger;
}

}  // namespace

void InitLog(std::string_view program, LogLevel level, LogTarget target) {
  namespace expr = boost::log::expressions;
  ProgramName() = program;
  boost::log::add_common_attributes();
  // Otherwise the process would exit when the reader of its log closes the
  // pipe.
  std::signal(SIGPIPE, SIG_IGN);
  using Sink = boost::log::sinks::synchronous_sink<LineSink>;
  const int descriptor =
      target == LogTarget::kStandardOutput ? STDOUT_FILENO : STDERR_FILENO;
  auto sink =
      boost::make_shared<Sink>(boost::make_shared<LineSink>(descriptor));
  sink->set_formatter(expr::stream
                      << "{\"time\":\""
                      << expr::format_date_time<boost::posix_time::ptime>(
                             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                      << "\"," << expr::smessage);
  boost::log::core::get()->add_sink(sink);
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
  // Replaces invalid UTF-8; the default error handler would throw.
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
