#ifndef CHICORYVALE_SRC_BASE_MEMORY_ACCOUNT_H_
#define CHICORYVALE_SRC_BASE_MEMORY_ACCOUNT_H_

#include <algorithm>
#include <cassert>
#include <cstddef>

namespace chicoryvale {

/// Number of bytes that a process holds for callers: requests without a
/// response, their copies that wait to be sent to replicas, incomplete
/// responses of replicas, and responses that wait to be sent to callers. The
/// holders add and release bytes and free memory when the account is over its
/// limit. Not thread safe.
class MemoryAccount {
 public:
  explicit MemoryAccount(std::size_t limit_bytes)
      : m_limit_bytes(limit_bytes) {}

  void Add(std::size_t bytes) {
    m_held_bytes += bytes;
    m_peak_bytes = std::max(m_peak_bytes, m_held_bytes);
  }

  /// Releases bytes that were added. Precondition: as many are held.
  void Release(std::size_t bytes) {
    assert(bytes <= m_held_bytes);
    m_held_bytes -= bytes;
  }

  /// Returns whether more bytes are held than the limit.
  [[nodiscard]] bool IsOver() const { return m_held_bytes > m_limit_bytes; }

  /// Returns whether so many bytes are held that no large request should be
  /// read on. The rest is for small requests, which would otherwise be refused
  /// while large ones wait for their responses.
  [[nodiscard]] bool IsTight() const {
    return m_held_bytes > m_limit_bytes - m_limit_bytes / 4;
  }

  [[nodiscard]] std::size_t LimitBytes() const { return m_limit_bytes; }
  [[nodiscard]] std::size_t HeldBytes() const { return m_held_bytes; }
  /// Returns the most bytes that were held at a time.
  [[nodiscard]] std::size_t PeakBytes() const { return m_peak_bytes; }

 private:
  std::size_t m_limit_bytes;
  std::size_t m_held_bytes = 0;
  std::size_t m_peak_bytes = 0;
};

/// Bytes that one holder has added to an account; releases them when destroyed.
/// The account must outlive the holding of bytes. Not thread safe.
class AccountedBytes {
 public:
  explicit AccountedBytes(MemoryAccount* account) : m_account(account) {}
  AccountedBytes(const AccountedBytes&) = delete;
  AccountedBytes& operator=(const AccountedBytes&) = delete;
  ~AccountedBytes() {
    if (m_bytes != 0) Set(0);
  }

  void Set(std::size_t bytes) {
    m_account->Release(m_bytes);
    m_account->Add(bytes);
    m_bytes = bytes;
  }

  [[nodiscard]] std::size_t Get() const { return m_bytes; }

 private:
  MemoryAccount* m_account;
  std::size_t m_bytes = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_MEMORY_ACCOUNT_H_
