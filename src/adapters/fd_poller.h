#ifndef CHICORYVALE_SRC_ADAPTERS_FD_POLLER_H_
#define CHICORYVALE_SRC_ADAPTERS_FD_POLLER_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace chicoryvale {

/// Watches many descriptors through one epoll descriptor, which is a single
/// source of the thread-default GMainContext. GLib itself would poll every
/// descriptor at each iteration of the loop, which, with a few hundred
/// connections, costs more than the actual work of an entry. Not thread safe.
class FdPoller {
 public:
  /// Receives the pending epoll events. May remove any descriptor.
  using Callback = std::function<void(std::uint32_t events)>;

  FdPoller();
  ~FdPoller();
  FdPoller(const FdPoller&) = delete;
  FdPoller& operator=(const FdPoller&) = delete;

  /// Watches `fd` for the epoll `events`. Precondition: `fd` is not watched
  /// yet. Returns false if the kernel refuses the descriptor.
  bool Add(int fd, std::uint32_t events, Callback callback);

  /// Replaces the events of `fd`. Precondition: `fd` is watched.
  void Modify(int fd, std::uint32_t events);

  /// Stops watching `fd`; its callback is not called again. Must be called
  /// before `fd` is closed. Does nothing if `fd` is not watched.
  void Remove(int fd);

 private:
  struct Source;
  struct Watch {
    /// Distinguishes a watch from an earlier one of the same descriptor number.
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
