#ifndef CHICORYVALE_SRC_BASE_CRC32C_H_
#define CHICORYVALE_SRC_BASE_CRC32C_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace chicoryvale {

/// Returns the CRC-32C lookup table: the remainder of each byte for the
/// reflected Castagnoli polynomial.
constexpr std::array<std::uint32_t, 256> MakeCrc32cTable() {
  constexpr std::uint32_t kPolynomial = 0x82f63b78U;
  constexpr int kBitsPerByte = 8;
  std::array<std::uint32_t, 256> table{};
  for (std::uint32_t byte = 0; byte < table.size(); ++byte) {
    std::uint32_t crc = byte;
    for (int bit = 0; bit < kBitsPerByte; ++bit) {
      crc = (crc & 1U) != 0 ? (crc >> 1U) ^ kPolynomial : crc >> 1U;
    }
    table[byte] = crc;
  }
  return table;
}

/// Returns the CRC-32C of `bytes` (RFC 3720, appendix B.4). Thread safe.
constexpr std::uint32_t Crc32c(std::string_view bytes) {
  constexpr std::array<std::uint32_t, 256> kTable = MakeCrc32cTable();
  constexpr std::uint32_t kByteMask = 0xffU;
  std::uint32_t crc = ~std::uint32_t{0};
  for (const char c : bytes) {
    crc =
        kTable[(crc ^ static_cast<unsigned char>(c)) & kByteMask] ^ (crc >> 8U);
  }
  return ~crc;
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_CRC32C_H_
