#ifndef CHICORYVALE_SRC_ADAPTERS_PLATFORM_POLLER_H_
#define CHICORYVALE_SRC_ADAPTERS_PLATFORM_POLLER_H_

#include <libsoup/soup.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/socket_address.h"
#include "base/counters.h"
#include "chicoryvale/error.h"
#include "ports/platform_directory.h"
#include "ports/scheduler.h"

namespace chicoryvale {

enum class PlatformCounter : std::uint8_t {
  kReads,
  kReadsFailed,
  kListsRefused,
  kListsChanged,
};

template <>
struct CounterNames<PlatformCounter> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "platform_reads", "platform_reads_failed", "platform_lists_refused",
      "platform_lists_changed"};
};

/// Settings of a PlatformPoller.
struct PlatformPollerOptions {
  /// An http:// or https:// URL, or the path of a JSON file.
  std::string source;
  /// Must outlive the poller.
  Scheduler* scheduler = nullptr;
  /// Time between the starts of two reads.
  Duration period = seconds(5);
  /// Timeout of the HTTP socket operations, rounded up to whole seconds.
  Duration timeout = seconds(4);
};

/// PlatformDirectory that reads the list periodically, over HTTP or from a
/// file. If a list can't be read or parsed, the poller counts the failure and
/// keeps the last valid list. ParsePlatformList describes the format. Not
/// thread safe: use only on the event loop.
class PlatformPoller : public PlatformDirectory {
 public:
  /// Returns kMalformedRequest for invalid options. The first read starts when
  /// the event loop runs.
  static Result<std::unique_ptr<PlatformPoller>> Make(
      PlatformPollerOptions options);
  ~PlatformPoller() override;
  PlatformPoller(const PlatformPoller&) = delete;
  PlatformPoller& operator=(const PlatformPoller&) = delete;

  [[nodiscard]] const CounterSet<PlatformCounter>& counters() const {
    return m_counters;
  }

 protected:
  void OnSetListener(Listener listener) override;
  [[nodiscard]] const std::vector<PlatformVm>& OnVms() const override;

 private:
  struct Fetch;

  explicit PlatformPoller(PlatformPollerOptions options);
  void Poll();
  void ReadFile();
  void RequestHttp();
  void HandleListText(const std::string& text);
  void CountFailedRead();
  // Cancels the request in flight, if any, without counting its outcome.
  void AbandonFetch();

  static void OnResponse(GObject* source, GAsyncResult* result, gpointer data);
  static void OnBody(GObject* source, GAsyncResult* result, gpointer data);

  PlatformPollerOptions m_options;
  GObjectPtr<SoupSession> m_session;
  std::shared_ptr<Fetch> m_fetch;
  TimerId m_timer = 0;
  std::vector<PlatformVm> m_vms;
  Listener m_listener;
  CounterSet<PlatformCounter> m_counters;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_PLATFORM_POLLER_H_
