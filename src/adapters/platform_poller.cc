#include "adapters/platform_poller.h"

#include <fstream>
#include <utility>

#include "adapters/platform_list.h"

namespace chicoryvale {

/// An HTTP request in flight. It may outlive the poller until libsoup has
/// called the last callback.
struct PlatformPoller::Fetch {
  explicit Fetch(PlatformPoller* owner)
      : poller(owner),
        cancellable(g_cancellable_new()),
        body(kMaxPlatformListBytes + 1) {}

  /// Null after the poller has abandoned the request.
  PlatformPoller* poller;
  GObjectPtr<GCancellable> cancellable;
  std::vector<char> body;
};

Result<std::unique_ptr<PlatformPoller>> PlatformPoller::Make(
    PlatformPollerOptions options) {
  if (options.source.empty() || options.scheduler == nullptr ||
      options.period <= Duration::zero()) {
    return MakeError(
        ErrorKind::kMalformedRequest,
        "the platform's list requires a source, a scheduler and a period");
  }
  return std::unique_ptr<PlatformPoller>(
      new PlatformPoller(std::move(options)));
}

PlatformPoller::PlatformPoller(PlatformPollerOptions options)
    : m_options(std::move(options)), m_session(soup_session_new()) {
  m_timer = m_options.scheduler->Schedule(Duration::zero(), [this] { Poll(); });
}

PlatformPoller::~PlatformPoller() {
  m_options.scheduler->Cancel(m_timer);
  AbandonFetch();
}

void PlatformPoller::OnSetListener(Listener listener) {
  m_listener = std::move(listener);
}

const std::vector<PlatformVm>& PlatformPoller::OnVms() const { return m_vms; }

void PlatformPoller::Poll() {
  m_timer = m_options.scheduler->Schedule(m_options.period, [this] { Poll(); });
  m_counters.Add(PlatformCounter::kReads);
  const std::string& source = m_options.source;
  if (source.starts_with("http://") || source.starts_with("https://")) {
    RequestHttp();
  } else {
    ReadFile();
  }
}

void PlatformPoller::ReadFile() {
  std::ifstream file(m_options.source, std::ios::binary);
  if (!file) return CountFailedRead();
  std::string text(kMaxPlatformListBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad()) return CountFailedRead();
  text.resize(static_cast<std::size_t>(file.gcount()));
  HandleListText(text);
}

void PlatformPoller::AbandonFetch() {
  if (m_fetch == nullptr) return;
  m_fetch->poller = nullptr;
  g_cancellable_cancel(m_fetch->cancellable.get());
  m_fetch.reset();
}

void PlatformPoller::RequestHttp() {
  if (m_fetch != nullptr) {
    // The previous request did not complete within a whole period.
    AbandonFetch();
    CountFailedRead();
  }
  const GObjectPtr<SoupMessage> message(
      soup_message_new("GET", m_options.source.c_str()));
  if (message == nullptr) return CountFailedRead();
  soup_session_set_timeout(
      m_session.get(),
      static_cast<guint>(
          std::chrono::ceil<seconds>(m_options.timeout).count()));
  m_fetch = std::make_shared<Fetch>(this);
  soup_session_send_async(m_session.get(), message.get(), G_PRIORITY_DEFAULT,
                          m_fetch->cancellable.get(), &OnResponse,
                          new std::shared_ptr<Fetch>(m_fetch));
}

void PlatformPoller::OnResponse(GObject* source, GAsyncResult* result,
                                gpointer data) {
  std::unique_ptr<std::shared_ptr<Fetch>> fetch_pointer(
      static_cast<std::shared_ptr<Fetch>*>(data));
  Fetch& fetch = **fetch_pointer;
  GError* error = nullptr;
  auto* session = SOUP_SESSION(source);
  const GObjectPtr<GInputStream> body(
      soup_session_send_finish(session, result, &error));
  const GErrorPtr owned_error(error);
  if (fetch.poller == nullptr) return;
  SoupMessage* message = soup_session_get_async_result_message(session, result);
  if (body == nullptr || soup_message_get_status(message) != SOUP_STATUS_OK) {
    fetch.poller->m_fetch.reset();
    return fetch.poller->CountFailedRead();
  }
  g_input_stream_read_all_async(
      body.get(), fetch.body.data(), fetch.body.size(), G_PRIORITY_DEFAULT,
      fetch.cancellable.get(), &OnBody, fetch_pointer.release());
}

void PlatformPoller::OnBody(GObject* source, GAsyncResult* result,
                            gpointer data) {
  const std::unique_ptr<std::shared_ptr<Fetch>> fetch_pointer(
      static_cast<std::shared_ptr<Fetch>*>(data));
  Fetch& fetch = **fetch_pointer;
  gsize size = 0;
  GError* error = nullptr;
  const bool ok = g_input_stream_read_all_finish(G_INPUT_STREAM(source), result,
                                                 &size, &error);
  const GErrorPtr owned_error(error);
  if (fetch.poller == nullptr) return;
  PlatformPoller& poller = *fetch.poller;
  poller.m_fetch.reset();
  if (!ok) return poller.CountFailedRead();
  poller.HandleListText(std::string(fetch.body.data(), size));
}

void PlatformPoller::CountFailedRead() {
  m_counters.Add(PlatformCounter::kReadsFailed);
}

void PlatformPoller::HandleListText(const std::string& text) {
  Result<std::vector<PlatformVm>> vms = ParsePlatformList(text);
  if (!vms) return m_counters.Add(PlatformCounter::kListsRefused);
  if (*vms == m_vms) return;
  m_vms = std::move(*vms);
  m_counters.Add(PlatformCounter::kListsChanged);
  if (m_listener) m_listener(m_vms);
}

}  // namespace chicoryvale
