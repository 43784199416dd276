#ifndef CHICORYVALE_SRC_ADAPTERS_SOUP_UPSTREAM_TRANSPORT_H_
#define CHICORYVALE_SRC_ADAPTERS_SOUP_UPSTREAM_TRANSPORT_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <memory>
#include <unordered_map>

#include "ports/scheduler.h"
#include "ports/upstream_transport.h"

namespace chicoryvale {

/// Settings of a SoupUpstreamTransport.
struct SoupUpstreamTransportOptions {
  /// Outlives the transport.
  Scheduler* scheduler = nullptr;
  /// Connections to one replica.
  std::uint32_t max_connections_per_replica = 16;
};

/// UpstreamTransport over libsoup: one session for each replica. Not thread
/// safe: used only on the event loop.
class SoupUpstreamTransport : public UpstreamTransport {
 public:
  explicit SoupUpstreamTransport(const SoupUpstreamTransportOptions& options);
  ~SoupUpstreamTransport() override;
  SoupUpstreamTransport(const SoupUpstreamTransport&) = delete;
  SoupUpstreamTransport& operator=(const SoupUpstreamTransport&) = delete;

 protected:
  void OnSend(SubRequest request, Callback callback) override;
  void OnCancel(SubRequestId id) override;

 private:
  struct Exchange;
  SoupSession* SessionFor(const Address& replica);
  static void OnAnswer(GObject* session, GAsyncResult* result, gpointer data);
  void OnTimeout(SubRequestId id);
  void End(SubRequestId id, SubOutcome outcome);

  SoupUpstreamTransportOptions m_options;
  std::unordered_map<std::string, SoupSession*> m_sessions;
  std::unordered_map<SubRequestId, Exchange*> m_exchanges;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_SOUP_UPSTREAM_TRANSPORT_H_
