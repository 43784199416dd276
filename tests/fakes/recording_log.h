#ifndef CHICORYVALE_TESTS_FAKES_RECORDING_LOG_H_
#define CHICORYVALE_TESTS_FAKES_RECORDING_LOG_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "ports/event_log.h"

namespace chicoryvale {

/// EventLog that records its lines in memory and writes nothing.
class RecordingLog : public EventLog {
 public:
  struct Line {
    std::string event;
    std::map<std::string, std::string> fields;
  };

  [[nodiscard]] const std::vector<Line>& Lines() const { return m_lines; }

  /// Returns the number of lines with the event `event`.
  [[nodiscard]] std::size_t Count(const std::string& event) const {
    return static_cast<std::size_t>(
        std::ranges::count(m_lines, event, &Line::event));
  }

 protected:
  void OnWrite(LogLevel /*level*/, std::string_view event,
               std::initializer_list<LogField> fields) override {
    Line& line = m_lines.emplace_back();
    line.event = event;
    for (const LogField& field : fields) {
      line.fields[std::string(field.name)] = field.value;
    }
  }

 private:
  std::vector<Line> m_lines;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_RECORDING_LOG_H_
