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

/// A fault of a settings file.
struct SettingsError {
  /// Line in the file, from 1; 0 if the fault has no line.
  std::uint32_t line = 0;
  std::string text;
};

/// Returns one line "file:line: text" for each fault.
std::string FormatSettingsErrors(const std::string& file,
                                 const std::vector<SettingsError>& faults);

/// Inclusive range of a whole-number setting.
struct IntegerRange {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

/// Reads a TOML settings file and checks all of it: each read names a key, its
/// type and range; Finish reports every fault at once, unknown keys included.
/// Keys are dotted paths, for example "listen.callers". Not thread safe.
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

  /// Reads a whole number; `fallback` if the key is absent.
  std::int64_t Integer(const std::string& key, std::int64_t fallback,
                       IntegerRange range);

  /// Reads a number; `fallback` if the key is absent.
  double Number(const std::string& key, double fallback, double min,
                double max);

  /// Reads true or false; `fallback` if the key is absent.
  bool Bool(const std::string& key, bool fallback);

  /// Reads a count of milliseconds from a key that ends in "_ms".
  Duration Milliseconds(const std::string& key, Duration fallback,
                        IntegerRange range_ms);

  /// Calls `read` for each table of the array of tables `key`, with keys
  /// relative to that table.
  void Tables(const std::string& key,
              const std::function<void(SettingsReader&)>& read);

  /// Adds a fault found by the caller, at the line of `key`.
  void AddError(const std::string& key, const std::string& text);

  /// Returns all faults in the order of their lines; empty if there are none.
  /// Call after the last read: keys that were not read count as unknown.
  std::vector<SettingsError> Finish();

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
