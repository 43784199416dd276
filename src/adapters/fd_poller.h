#ifndef CHICORYVALE_SRC_ADAPTERS_FD_POLLER_H_
#define CHICORYVALE_SRC_ADAPTERS_FD_POLLER_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace chicoryvale {

/// Watches many descriptors through one epoll descriptor that is one source of
/// the thread's default GMainContext. GLib itself polls every descriptor at
/// each turn of the loop, which costs more than the work of an entry with some
/// hundred connections. Not thread safe.
class FdPoller {
 public:
  /// Receives the epoll events that are pending. May remove any descriptor.
  using Callback = std::function<void(std::uint32_t events)>;

  FdPoller();
  ~FdPoller();
  FdPoller(const FdPoller&) = delete;
  FdPoller& operator=(const FdPoller&) = delete;

  /// Watches `fd` for the epoll `events`. Precondition: it is not watched yet.
  /// False if the kernel refuses the descriptor.
  bool Add(int fd, std::uint32_t events, Callback callback);

  /// Replaces the events of `fd`. Precondition: it is watched.
  void Modify(int fd, std::uint32_t events);

  /// Ends the watch of `fd`; its callback is not called again. To be called
  /// before the descriptor is closed. Does nothing if it is not watched.
  void Remove(int fd);

 private:
  struct Source;
  struct Watch {
    /// Tells a watch from an earlier one of the same descriptor number.
    std::uint32_t generation = 0;
    std::uint32_t events = 0;
    std::shared_ptr<Callback> callback;
  };
  static gboolean Dispatch(GSource* source, GSourceFunc, gpointer);
  void DispatchPending();

  int m_epoll = -1;
  std::uint32_t m_generation = 0;
  std::unordered_map<int, Watch> m_watches;
  GSource* m_source = nullptr;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_FD_POLLER_H_
