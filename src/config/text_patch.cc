#include "config/text_patch.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace chicoryvale {
namespace {

/// Longest piece of a text without a line end or a closing brace.
constexpr std::size_t kMaxPieceBytes = 4096;

bool EndsPiece(char character) { return character == '}' || character == '\n'; }

/// Returns the first piece of `text`. A piece ends with a line end or a closing
/// brace, so that a change within one piece leaves the others as they are.
std::string_view FirstPiece(std::string_view text) {
  const std::string_view longest = text.substr(0, kMaxPieceBytes);
  const auto end = std::ranges::find_if(longest, EndsPiece);
  if (end == longest.end()) return longest;
  return longest.substr(0, static_cast<std::size_t>(end - longest.begin()) + 1);
}

std::size_t CommonPrefixBytes(std::string_view left, std::string_view right) {
  const auto end = std::ranges::mismatch(left, right).in1;
  return static_cast<std::size_t>(end - left.begin());
}

std::size_t CommonSuffixBytes(std::string_view left, std::string_view right) {
  const auto end =
      std::mismatch(left.rbegin(), left.rend(), right.rbegin(), right.rend());
  return static_cast<std::size_t>(end.first - left.rbegin());
}

/// Finds pieces of a text. The index is made at the first search, because most
/// changes need none.
class PieceIndex {
 public:
  /// `text` must outlive the index.
  explicit PieceIndex(std::string_view text) : m_text(text) {}

  /// Returns the offset of a piece that equals `piece`, if there is one.
  std::optional<std::size_t> Find(std::string_view piece) {
    if (m_offsets.empty()) Build();
    const auto found = m_offsets.find(piece);
    if (found == m_offsets.end()) return std::nullopt;
    return found->second;
  }

 private:
  void Build() {
    for (std::size_t offset = 0; offset < m_text.size();) {
      const std::string_view piece = FirstPiece(m_text.substr(offset));
      m_offsets.emplace(piece, offset);
      offset += piece.size();
    }
  }

  std::string_view m_text;
  std::unordered_map<std::string_view, std::size_t> m_offsets;
};

/// Appends to a patch, and merges steps that follow each other in the old text.
class PatchWriter {
 public:
  void Copy(std::size_t offset, std::size_t bytes) {
    if (bytes == 0) return;
    const bool extends_last = !m_patch.empty() &&
                              m_patch.back().inserted.empty() &&
                              EndOfLastCopy() == offset;
    if (extends_last) {
      m_patch.back().copy_bytes += bytes;
    } else {
      m_patch.push_back({offset, bytes, ""});
    }
  }

  void Insert(std::string_view text) {
    if (text.empty()) return;
    if (m_patch.empty()) m_patch.emplace_back();
    m_patch.back().inserted += text;
  }

  /// Returns where the bytes copied last end in the old text.
  [[nodiscard]] std::size_t EndOfLastCopy() const {
    if (m_patch.empty()) return 0;
    return m_patch.back().copy_offset + m_patch.back().copy_bytes;
  }

  TextPatch Release() { return std::move(m_patch); }

 private:
  TextPatch m_patch;
};

/// Returns how many of the first `bytes` of `text` form whole pieces.
std::size_t WholePieceBytes(std::string_view text, std::size_t bytes) {
  if (bytes == text.size()) return bytes;
  const auto begin = text.rend() - static_cast<std::ptrdiff_t>(bytes);
  const auto end = std::find_if(begin, text.rend(), EndsPiece);
  return static_cast<std::size_t>(text.rend() - end);
}

/// Returns whether `old_text` and `new_text` begin with the same piece.
bool ContinuesAlike(std::string_view old_text, std::string_view new_text) {
  return !new_text.empty() && old_text.starts_with(FirstPiece(new_text));
}

}  // namespace

TextPatch MakeTextPatch(std::string_view from, std::string_view to) {
  const std::size_t prefix = CommonPrefixBytes(from, to);
  const std::size_t suffix =
      CommonSuffixBytes(from.substr(prefix), to.substr(prefix));
  PieceIndex old_pieces(from);
  PatchWriter writer;
  writer.Copy(0, prefix);
  // Where the old text is expected to continue like the new one.
  std::size_t old_offset = prefix;
  std::string_view rest = to.substr(prefix, to.size() - prefix - suffix);
  while (!rest.empty()) {
    const std::string_view old_rest = from.substr(old_offset);
    const std::size_t same = CommonPrefixBytes(old_rest, rest);
    const std::size_t same_pieces = WholePieceBytes(rest, same);
    writer.Copy(old_offset, same_pieces);
    old_offset += same_pieces;
    rest.remove_prefix(same_pieces);
    if (rest.empty()) break;
    const std::string_view piece = FirstPiece(rest);
    const std::size_t replaced = FirstPiece(from.substr(old_offset)).size();
    const bool is_replaced = ContinuesAlike(from.substr(old_offset + replaced),
                                            rest.substr(piece.size()));
    const auto moved = is_replaced ? std::nullopt : old_pieces.Find(piece);
    if (moved) {
      writer.Copy(*moved, piece.size());
      old_offset = *moved + piece.size();
    } else {
      writer.Insert(piece);
      if (is_replaced) old_offset += replaced;
    }
    rest.remove_prefix(piece.size());
  }
  writer.Copy(from.size() - suffix, suffix);
  return writer.Release();
}

std::optional<std::string> ApplyTextPatch(const TextPatch& patch,
                                          std::string_view from,
                                          std::size_t max_bytes) {
  std::string text;
  text.reserve(std::min(from.size(), max_bytes));
  for (const TextPatchStep& step : patch) {
    const bool is_in_range = step.copy_offset <= from.size() &&
                             step.copy_bytes <= from.size() - step.copy_offset;
    if (!is_in_range) return std::nullopt;
    const std::size_t step_bytes = step.copy_bytes + step.inserted.size();
    if (step_bytes > max_bytes - text.size()) return std::nullopt;
    text.append(from.substr(step.copy_offset, step.copy_bytes));
    text.append(step.inserted);
  }
  return text;
}

}  // namespace chicoryvale
