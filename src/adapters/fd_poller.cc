#include "adapters/fd_poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cassert>
#include <utility>

namespace chicoryvale {
namespace {

/// Limit on the events handled in one iteration of the loop, so that a burst of
/// events does not delay timers.
constexpr int kMaxEventsPerDispatch = 64;

constexpr int kGenerationShift = 32;

std::uint64_t EncodeEventData(int fd, std::uint32_t generation) {
  return (std::uint64_t{generation} << kGenerationShift) |
         static_cast<std::uint32_t>(fd);
}

}  // namespace

/// The GSource of a poller; GLib allocates it with `base` as its first member.
struct FdPoller::Source {
  GSource base;
  FdPoller* poller;
};

FdPoller::FdPoller() : m_epoll(epoll_create1(EPOLL_CLOEXEC)) {
  static GSourceFuncs funcs = {nullptr, nullptr, &FdPoller::Dispatch,
                               nullptr, nullptr, nullptr};
  m_source = g_source_new(&funcs, sizeof(Source));
  reinterpret_cast<Source*>(m_source)->poller = this;
  g_source_add_unix_fd(m_source, m_epoll, G_IO_IN);
  g_source_attach(m_source, g_main_context_get_thread_default());
}

FdPoller::~FdPoller() {
  g_source_destroy(m_source);
  g_source_unref(m_source);
  close(m_epoll);
}

bool FdPoller::Add(int fd, std::uint32_t events, Callback callback) {
  assert(!m_watches.contains(fd));
  const std::uint32_t generation = ++m_generation;
  epoll_event event{};
  event.events = events;
  event.data.u64 = EncodeEventData(fd, generation);
  if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event) != 0) return false;
  m_watches[fd] = {generation, events,
                   std::make_shared<Callback>(std::move(callback))};
  return true;
}

void FdPoller::Modify(int fd, std::uint32_t events) {
  Watch& watch = m_watches.at(fd);
  if (watch.events == events) return;
  watch.events = events;
  epoll_event event{};
  event.events = events;
  event.data.u64 = EncodeEventData(fd, watch.generation);
  epoll_ctl(m_epoll, EPOLL_CTL_MOD, fd, &event);
}

void FdPoller::Remove(int fd) {
  if (m_watches.erase(fd) == 0) return;
  epoll_ctl(m_epoll, EPOLL_CTL_DEL, fd, nullptr);
}

gboolean FdPoller::Dispatch(GSource* source, GSourceFunc /*callback*/,
                            gpointer /*data*/) {
  reinterpret_cast<Source*>(source)->poller->DispatchPending();
  return G_SOURCE_CONTINUE;
}

void FdPoller::DispatchPending() {
  std::array<epoll_event, kMaxEventsPerDispatch> events;
  const int count =
      epoll_wait(m_epoll, events.data(), kMaxEventsPerDispatch, 0);
  for (int i = 0; i < count; ++i) {
    const int fd = static_cast<int>(events[i].data.u64 & UINT32_MAX);
    const auto generation =
        static_cast<std::uint32_t>(events[i].data.u64 >> kGenerationShift);
    const auto watch = m_watches.find(fd);
    // An earlier callback of this dispatch may have removed the descriptor.
    if (watch == m_watches.end() || watch->second.generation != generation) {
      continue;
    }
    const std::shared_ptr<Callback> callback = watch->second.callback;
    (*callback)(events[i].events);
  }
}

}  // namespace chicoryvale
