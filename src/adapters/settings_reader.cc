#include "adapters/settings_reader.h"

#include <gio/gio.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <sstream>
#include <utility>

namespace chicoryvale {
namespace {

/// Thrown for malformed text that the TOML library detects by an assertion
/// only, for example a table header without a name.
struct TomlAssertionFailed {};

[[noreturn]] void FailTomlAssertion() { throw TomlAssertionFailed(); }

}  // namespace
}  // namespace chicoryvale

// The assertions of the library are checked in all builds, and do not end the
// process: a settings file is read again while the process runs.
#undef NDEBUG
#define TOML_ASSERT(condition) \
  ((condition) ? void() : ::chicoryvale::FailTomlAssertion())
#include <toml++/toml.h>

namespace chicoryvale {

namespace {

/// Returns `value` without trailing zeros.
std::string ToText(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

std::string InvalidAddressText(const std::string& key,
                               const std::string& text) {
  return key + ": \"" + text + "\" is not an IP address and port";
}

}  // namespace

struct SettingsReader::State {
  // The parsed file, if this reader reads a whole file. A reader of a nested
  // table uses the file of its parent.
  toml::table document;
  const toml::table* table = nullptr;
  std::set<std::string> read_keys;
  std::vector<SettingsError> errors;
  std::vector<SettingsNotice> notices;
  bool has_syntax_error = false;

  const toml::node* Find(const std::string& key) {
    read_keys.insert(key);
    return table->at_path(key).node();
  }

  static std::uint32_t LineOf(const toml::node* node) {
    return node == nullptr ? 0 : node->source().begin.line;
  }

  void AddError(const toml::node* node, const std::string& text) {
    errors.push_back({LineOf(node), text});
  }

  // Returns the value in `range` that is nearest to `value`.
  double Clamp(const std::string& key, double value, QuantityRange range) {
    const double used = std::clamp(value, range.min, range.max);
    if (used != value) {
      notices.push_back(
          {LineOf(Find(key)),
           key + " is " + ToText(value) + "; " + ToText(used) + " is used"});
    }
    return used;
  }

  // Returns the finite number of `key`. Adds an error if it is none.
  std::optional<double> FiniteNumber(const std::string& key) {
    const toml::node* node = Find(key);
    if (node == nullptr) return std::nullopt;
    const auto value = node->value<double>();
    if (value && node->is_number() && std::isfinite(*value)) return value;
    AddError(node, key + " is not a finite number");
    return std::nullopt;
  }

  // Returns the value of `key` if it has type T. Adds an error if it has
  // another type.
  template <typename T>
  std::optional<T> Value(const std::string& key, const char* type) {
    const toml::node* node = Find(key);
    if (node == nullptr) return std::nullopt;
    std::optional<T> value = node->value_exact<T>();
    if (!value) AddError(node, key + " is not " + type);
    return value;
  }

  void AddUnknownKeyErrors(const toml::table& parent,
                           const std::string& prefix) {
    for (const auto& [name, node] : parent) {
      const std::string key = prefix + std::string(name.str());
      if (read_keys.contains(key)) continue;
      if (node.is_table()) {
        AddUnknownKeyErrors(*node.as_table(), key + ".");
      } else {
        AddError(&node, key + " is not a known setting");
      }
    }
  }
};

std::string FormatSettingsMessages(
    const std::string& file, const std::vector<SettingsMessage>& messages) {
  std::string text;
  for (const SettingsMessage& message : messages) {
    text +=
        file + ":" + std::to_string(message.line) + ": " + message.text + "\n";
  }
  return text;
}

SettingsReader::SettingsReader(std::string_view text)
    : m_state(std::make_unique<State>()) {
  m_state->table = &m_state->document;
  try {
    m_state->document = toml::parse(text);
  } catch (const toml::parse_error& error) {
    m_state->has_syntax_error = true;
    m_state->errors.push_back(
        {error.source().begin.line, std::string(error.description())});
  } catch (const TomlAssertionFailed&) {
    m_state->has_syntax_error = true;
    m_state->errors.push_back({0, "the file is not valid TOML"});
  }
}

SettingsReader::SettingsReader(std::unique_ptr<State> state)
    : m_state(std::move(state)) {}

SettingsReader::~SettingsReader() = default;

std::string SettingsReader::RequiredString(const std::string& key) {
  const auto value = m_state->Value<std::string>(key, "a string");
  if (value && !value->empty()) return *value;
  if (value) AddError(key, key + " is empty");
  if (m_state->Find(key) == nullptr) AddError(key, key + " is missing");
  return {};
}

std::string SettingsReader::String(const std::string& key,
                                   const std::string& fallback) {
  return m_state->Value<std::string>(key, "a string").value_or(fallback);
}

std::string SettingsReader::RequiredAddress(const std::string& key) {
  std::string text = RequiredString(key);
  if (!text.empty() && !IsHostPort(text)) {
    AddError(key, InvalidAddressText(key, text));
  }
  return text;
}

std::vector<std::string> SettingsReader::Addresses(const std::string& key) {
  std::vector<std::string> addresses = Strings(key);
  for (const std::string& text : addresses) {
    if (!IsHostPort(text)) AddError(key, InvalidAddressText(key, text));
  }
  return addresses;
}

std::vector<std::string> SettingsReader::Strings(const std::string& key) {
  const toml::node* node = m_state->Find(key);
  std::vector<std::string> strings;
  if (node == nullptr) return strings;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    m_state->AddError(node, key + " is not a list of strings");
    return strings;
  }
  for (const toml::node& element : *array) {
    const auto value = element.value_exact<std::string>();
    if (value) {
      strings.push_back(*value);
    } else {
      m_state->AddError(&element,
                        key + " contains an element that is not a string");
    }
  }
  return strings;
}

std::int64_t SettingsReader::Integer(const std::string& key,
                                     std::int64_t fallback,
                                     IntegerRange range) {
  const auto value = m_state->Value<std::int64_t>(key, "a whole number");
  if (!value) return fallback;
  if (*value >= range.min && *value <= range.max) return *value;
  AddError(key, key + " is " + std::to_string(*value) + "; expected " +
                    std::to_string(range.min) + " to " +
                    std::to_string(range.max));
  return fallback;
}

double SettingsReader::Number(const std::string& key, double fallback,
                              double min, double max) {
  const toml::node* node = m_state->Find(key);
  if (node == nullptr) return fallback;
  const auto value = node->value<double>();
  if (!value || !node->is_number()) {
    m_state->AddError(node, key + " is not a number");
    return fallback;
  }
  if (*value >= min && *value <= max) return *value;
  AddError(key, key + " is " + std::to_string(*value) + "; expected " +
                    std::to_string(min) + " to " + std::to_string(max));
  return fallback;
}

double SettingsReader::Quantity(const std::string& key, double fallback,
                                QuantityRange range) {
  const auto value = m_state->FiniteNumber(key);
  return value ? m_state->Clamp(key, *value, range) : fallback;
}

Duration SettingsReader::Period(const std::string& name, Duration fallback,
                                DurationRange range) {
  const std::string in_ms = name + "_ms";
  const std::string in_s = name + "_s";
  const bool has_ms = m_state->Find(in_ms) != nullptr;
  const bool has_s = m_state->Find(in_s) != nullptr;
  if (!has_ms && !has_s) return fallback;
  if (has_ms && has_s) AddError(in_s, in_ms + " is set as well as " + in_s);
  const std::string& key = has_s ? in_s : in_ms;
  const auto value = m_state->FiniteNumber(key);
  if (!value) return fallback;
  const double unit = static_cast<double>(
      Duration(has_s ? seconds(1) : milliseconds(1)).count());
  const QuantityRange range_in_unit = {
      static_cast<double>(range.min.count()) / unit,
      static_cast<double>(range.max.count()) / unit};
  return Duration(
      std::llround(m_state->Clamp(key, *value, range_in_unit) * unit));
}

bool SettingsReader::Bool(const std::string& key, bool fallback) {
  return m_state->Value<bool>(key, "true or false").value_or(fallback);
}

Duration SettingsReader::Milliseconds(const std::string& key, Duration fallback,
                                      IntegerRange range_ms) {
  const std::int64_t fallback_ms =
      std::chrono::duration_cast<milliseconds>(fallback).count();
  return milliseconds(Integer(key, fallback_ms, range_ms));
}

void SettingsReader::Tables(const std::string& key,
                            const std::function<void(SettingsReader&)>& read) {
  const toml::node* node = m_state->Find(key);
  if (node == nullptr) return;
  if (!node->is_array_of_tables()) {
    m_state->AddError(node, key + " is not a list of tables");
    return;
  }
  for (const toml::node& element : *node->as_array()) {
    auto state = std::make_unique<State>();
    state->table = element.as_table();
    SettingsReader reader(std::move(state));
    read(reader);
    for (SettingsError& error : reader.Finish()) {
      if (error.line == 0) error.line = element.source().begin.line;
      m_state->errors.push_back({error.line, "[[" + key + "]] " + error.text});
    }
  }
}

void SettingsReader::AddError(const std::string& key, const std::string& text) {
  m_state->AddError(m_state->Find(key), text);
}

std::vector<SettingsError> SettingsReader::Finish() {
  // After a syntax error the table is empty. Other errors, such as those of
  // missing keys, would be misleading.
  if (m_state->has_syntax_error) return {m_state->errors.front()};
  m_state->AddUnknownKeyErrors(*m_state->table, "");
  std::ranges::stable_sort(m_state->errors, {}, &SettingsError::line);
  return m_state->errors;
}

const std::vector<SettingsNotice>& SettingsReader::Notices() const {
  return m_state->notices;
}

bool IsHostPort(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string::npos) {
    return false;
  }
  if (!g_hostname_is_ip_address(host.c_str())) return false;
  const std::string port = text.substr(colon + 1);
  std::uint16_t number = 0;
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), number);
  return error == std::errc() && end == port.data() + port.size();
}

}  // namespace chicoryvale
