#include "chicory-load/system_counters.h"

#include <libsoup/soup.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

namespace chicoryvale {
namespace {

constexpr guint kReadTimeoutSeconds = 5;

std::optional<std::string> Get(SoupSession* session, const Address& address,
                               const char* path) {
  const std::string url = "http://" + address.host_port + path;
  SoupMessage* message = soup_message_new("GET", url.c_str());
  GBytes* body = soup_session_send_and_read(session, message, nullptr, nullptr);
  std::optional<std::string> text;
  if (body != nullptr && soup_message_get_status(message) == SOUP_STATUS_OK) {
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(body, &size));
    text.emplace(data, size);
  }
  g_clear_pointer(&body, g_bytes_unref);
  g_object_unref(message);
  return text;
}

void AddMetrics(const std::string& page,
                std::map<std::string, std::uint64_t>* sums) {
  std::istringstream lines(page);
  std::string name;
  std::string value;
  while (lines >> name >> value) {
    std::uint64_t number = 0;
    std::from_chars(value.data(), value.data() + value.size(), number);
    (*sums)[name] += number;
  }
}

void AddCounts(const std::string& text,
               std::map<std::string, std::uint64_t>* sums) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("totals")) return;
  for (const auto& [name, value] : json["totals"].items()) {
    if (value.is_number_unsigned()) (*sums)[name] += value.get<std::uint64_t>();
  }
}

}  // namespace

SystemCounters ReadSystemCounters(const LoadPlan& plan) {
  SystemCounters counters;
  SoupSession* session =
      soup_session_new_with_options("timeout", kReadTimeoutSeconds, nullptr);
  soup_session_set_proxy_resolver(session, nullptr);
  const auto read = [&](const Address& address, const char* path, auto add) {
    const auto text = Get(session, address, path);
    if (text) {
      add(*text);
    } else {
      ++counters.unreachable;
    }
  };
  for (const Address& address : plan.metrics) {
    read(address, "/metrics", [&counters](const std::string& text) {
      AddMetrics(text, &counters.entries);
    });
  }
  for (const Address& address : plan.standins) {
    read(address, "/control/counts", [&counters](const std::string& text) {
      AddCounts(text, &counters.standins);
    });
  }
  g_object_unref(session);
  return counters;
}

std::map<std::string, std::uint64_t> ComputeIncreases(
    const std::map<std::string, std::uint64_t>& before,
    const std::map<std::string, std::uint64_t>& after) {
  std::map<std::string, std::uint64_t> increases;
  for (const auto& [name, value] : after) {
    const auto found = before.find(name);
    const std::uint64_t earlier = found == before.end() ? 0 : found->second;
    const std::uint64_t increase = value >= earlier ? value - earlier : value;
    if (increase > 0) increases.emplace(name, increase);
  }
  return increases;
}

}  // namespace chicoryvale
