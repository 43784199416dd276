#ifndef CHICORYVALE_SRC_CONFIG_TEXT_PATCH_H_
#define CHICORYVALE_SRC_CONFIG_TEXT_PATCH_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryvale {

/// One step of a TextPatch: the bytes of the old text at `copy_offset`,
/// followed by `inserted`.
struct TextPatchStep {
  std::uint64_t copy_offset = 0;
  std::uint64_t copy_bytes = 0;
  std::string inserted;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(copy_offset, copy_bytes, inserted);
  }
};

/// The steps that make a new text out of an old one.
using TextPatch = std::vector<TextPatchStep>;

/// Returns a patch from `from` to `to`, whose size depends on the lines and
/// braced blocks that differ and not on the distance between them. Thread safe.
TextPatch MakeTextPatch(std::string_view from, std::string_view to);

/// Returns the text that `patch` makes of `from`, or nothing if a step is out
/// of range or the result has more than `max_bytes`. Thread safe.
std::optional<std::string> ApplyTextPatch(const TextPatch& patch,
                                          std::string_view from,
                                          std::size_t max_bytes);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_TEXT_PATCH_H_
