#ifndef CHICORYVALE_TESTS_FAKES_SETTINGS_TEMPLATE_H_
#define CHICORYVALE_TESTS_FAKES_SETTINGS_TEMPLATE_H_

#include <algorithm>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <regex>
#include <string>

namespace chicoryvale {

inline std::string ValueText(const nlohmann::json& value) {
  if (value.is_null()) return "";
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Returns the value at the dotted path `name`, or null.
inline nlohmann::json FieldOf(const nlohmann::json& fields, std::string name) {
  std::ranges::replace(name, '.', '/');
  const nlohmann::json::json_pointer path("/" + name);
  return fields.contains(path) ? fields.at(path) : nlohmann::json();
}

/// Fills in a template of settings as the platform does, with the placeholders
/// and sections that the files below deploy/ use: a value, a section of a
/// value, and a list with separators. Sections do not nest.
inline std::string FillTemplate(const std::string& text,
                                const nlohmann::json& fields) {
  static const std::regex kTag(
      R"(\{\{#([^}]+)\}\}([\s\S]*?)\{\{/\1\}\}|\{\{([^}]+)\}\})");
  static const std::regex kEntry(R"(\{\{\.\}\})");
  static const std::regex kSeparator(R"(\{\{,\}\})");
  std::string filled;
  auto rest = text.cbegin();
  for (std::sregex_iterator tag(text.begin(), text.end(), kTag), end;
       tag != end; ++tag) {
    filled.append(rest, (*tag)[0].first);
    rest = (*tag)[0].second;
    if ((*tag)[3].matched) {
      filled += ValueText(FieldOf(fields, (*tag)[3]));
      continue;
    }
    const nlohmann::json value = FieldOf(fields, (*tag)[1]);
    if (value.is_null() || value == false) continue;
    const nlohmann::json entries =
        value.is_array() ? value : nlohmann::json::array({value});
    for (std::size_t i = 0; i < entries.size(); ++i) {
      const std::string entry =
          std::regex_replace((*tag)[2].str(), kEntry, ValueText(entries[i]));
      filled += std::regex_replace(entry, kSeparator,
                                   i + 1 < entries.size() ? "," : "");
    }
  }
  filled.append(rest, text.cend());
  return filled;
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_SETTINGS_TEMPLATE_H_
