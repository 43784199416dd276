#ifndef CHICORYVALE_SRC_ADAPTERS_LOG_H_
#define CHICORYVALE_SRC_ADAPTERS_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace chicoryvale {

/// Severity of a log line.
enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// One named value of a log line.
struct LogField {
  std::string_view name;
  std::string value;
};

/// Sends log lines to standard error, one JSON object a line, from `level` up.
/// `program` is told in each line. Call once, before the first Log.
void InitLog(std::string_view program, LogLevel level);

/// Writes one line for a change of state. `event` is a stable name, for
/// example "leader_elected". Thread safe.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

/// Parses "debug", "info", "warning" or "error"; false for other text.
bool ParseLogLevel(std::string_view text, LogLevel* level);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_LOG_H_
