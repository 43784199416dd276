#ifndef CHICORYVALE_SRC_PORTS_EVENT_LOG_H_
#define CHICORYVALE_SRC_PORTS_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace chicoryvale {

/// Severity of a log line.
enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// A field of a log line.
struct LogField {
  std::string_view name;
  std::string value;
};

/// Interface to the log, which has one structured line for each decision. Not
/// thread safe.
class EventLog {
 public:
  virtual ~EventLog() = default;

  /// Writes one line. `event` is a stable name, for example "part_repeated".
  /// Never blocks; lines that exceed the log's limit are dropped and counted.
  void Write(LogLevel level, std::string_view event,
             std::initializer_list<LogField> fields) {
    OnWrite(level, event, fields);
  }

 protected:
  virtual void OnWrite(LogLevel level, std::string_view event,
                       std::initializer_list<LogField> fields) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_EVENT_LOG_H_
