#ifndef CHICORYVALE_SRC_ADAPTERS_SETTINGS_READER_H_
#define CHICORYVALE_SRC_ADAPTERS_SETTINGS_READER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace chicoryvale {

/// A message about a settings file.
struct SettingsMessage {
  /// Line number in the file, starting at 1; 0 if the message has no line.
  std::uint32_t line = 0;
  std::string text;
};

/// An error, because of which the settings are not used.
using SettingsError = SettingsMessage;

/// A notice of a value that was replaced by the nearest one that can be used.
using SettingsNotice = SettingsMessage;

/// Formats each message as one line "file:line: text".
std::string FormatSettingsMessages(
    const std::string& file, const std::vector<SettingsMessage>& messages);

/// Inclusive range of an integer setting.
struct IntegerRange {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

/// Inclusive range of a setting that may be a fraction.
struct QuantityRange {
  double min = 0;
  double max = 0;
};

/// Inclusive range of a duration.
struct DurationRange {
  Duration min{};
  Duration max{};
};

/// Reads and validates a TOML settings file. Each read function checks the type
/// and range of one key, and Finish returns all errors together, including one
/// for each unknown key. Keys are dotted paths, for example "listen.callers".
/// Not thread safe.
class SettingsReader {
 public:
  explicit SettingsReader(std::string_view text);
  ~SettingsReader();
  SettingsReader(const SettingsReader&) = delete;
  SettingsReader& operator=(const SettingsReader&) = delete;

  /// Reads a string that must be present and not empty.
  std::string RequiredString(const std::string& key);

  /// Reads a string; `fallback` if the key is absent.
  std::string String(const std::string& key, const std::string& fallback);

  /// Reads an "IP:port" address that must be present.
  std::string RequiredAddress(const std::string& key);

  /// Reads a list of "IP:port" addresses; empty if the key is absent.
  std::vector<std::string> Addresses(const std::string& key);

  /// Reads a list of strings; empty if the key is absent.
  std::vector<std::string> Strings(const std::string& key);

  /// Reads an integer; `fallback` if the key is absent.
  std::int64_t Integer(const std::string& key, std::int64_t fallback,
                       IntegerRange range);

  /// Reads a number; `fallback` if the key is absent.
  double Number(const std::string& key, double fallback, double min,
                double max);

  /// Reads a whole number or a fraction that the deployment's platform states
  /// and no operator chooses; `fallback` if the key is absent. A finite number
  /// outside of `range` is replaced by the nearest one in it, with a notice,
  /// since a process that refuses it could not start.
  double Quantity(const std::string& key, double fallback, QuantityRange range);

  /// Reads a duration like Quantity, from the key `name` + "_ms" or `name` +
  /// "_s"; both together are an error. Rounded to the resolution of Duration.
  Duration Period(const std::string& name, Duration fallback,
                  DurationRange range);

  /// Reads a boolean; `fallback` if the key is absent.
  bool Bool(const std::string& key, bool fallback);

  /// Reads an integer number of milliseconds from a key that ends in "_ms";
  /// `fallback` if the key is absent.
  Duration Milliseconds(const std::string& key, Duration fallback,
                        IntegerRange range_ms);

  /// Calls `read` for each table of the array of tables `key`, with keys
  /// relative to that table.
  void Tables(const std::string& key,
              const std::function<void(SettingsReader&)>& read);

  /// Adds an error that the caller found, at the line of `key`.
  void AddError(const std::string& key, const std::string& text);

  /// Returns all errors in the order of their lines. Call this after the last
  /// read, because each key that was not read is reported as unknown.
  std::vector<SettingsError> Finish();

  /// Returns the notices of all reads so far, in the order of the reads.
  [[nodiscard]] const std::vector<SettingsNotice>& Notices() const;

 private:
  struct State;
  explicit SettingsReader(std::unique_ptr<State> state);

  std::unique_ptr<State> m_state;
};

/// Returns whether `text` is a numeric IPv4 or bracketed IPv6 address with a
/// port from 0 to 65535.
bool IsHostPort(const std::string& text);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_SETTINGS_READER_H_
