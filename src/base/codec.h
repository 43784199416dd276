#ifndef CHICORYVALE_SRC_BASE_CODEC_H_
#define CHICORYVALE_SRC_BASE_CODEC_H_

#include <cereal/cereal.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace chicoryvale {

/// Input archive for bytes received from another process. A container whose
/// claimed size exceeds the number of remaining bytes is rejected before memory
/// is allocated for it. Reads little-endian values; not thread safe.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view bytes)
      : InputArchive(this), m_remaining(bytes) {}

  /// Copies the next `size` bytes to `data`. Throws cereal::Exception if fewer
  /// bytes remain.
  void LoadBytes(void* data, std::size_t size) {
    if (size > m_remaining.size()) throw cereal::Exception("input ends early");
    m_remaining.copy(static_cast<char*>(data), size);
    m_remaining.remove_prefix(size);
  }

  /// Returns the number of bytes that have not been read yet.
  [[nodiscard]] std::size_t Remaining() const { return m_remaining.size(); }

 private:
  std::string_view m_remaining;
};

/// Output archive whose bytes BoundedInputArchive reads. Writes little-endian
/// values; not thread safe.
class BoundedOutputArchive
    : public cereal::OutputArchive<BoundedOutputArchive,
                                   cereal::AllowEmptyClassElision> {
 public:
  BoundedOutputArchive() : OutputArchive(this) {}

  void SaveBytes(const void* data, std::size_t size) {
    m_bytes.append(static_cast<const char*>(data), size);
  }

  /// Returns the written bytes. Call it once, after the last value.
  std::string ReleaseBytes() { return std::move(m_bytes); }

 private:
  std::string m_bytes;
};

// cereal finds the functions below through argument-dependent lookup and
// prescribes their names.
// NOLINTBEGIN(readability-identifier-naming)
template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive& archive, const T& value) {
  archive.SaveBytes(&value, sizeof(value));
}

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, T& value) {
  archive.LoadBytes(&value, sizeof(value));
}

// A bool whose byte is neither 0 nor 1 has no defined value.
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                                      bool& value) {
  unsigned char byte = 0;
  archive.LoadBytes(&byte, sizeof(byte));
  if (byte > 1) throw cereal::Exception("not a bool");
  value = byte == 1;
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedOutputArchive& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedOutputArchive& archive,
                                    cereal::SizeTag<T>& tag) {
  archive(tag.size);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive,
                                    cereal::SizeTag<T>& tag) {
  archive(tag.size);
  if (tag.size > archive.Remaining()) {
    throw cereal::Exception("container is larger than the input");
  }
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive& archive,
                               const cereal::BinaryData<T>& data) {
  archive.SaveBytes(data.data, static_cast<std::size_t>(data.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::BinaryData<T>& data) {
  archive.LoadBytes(data.data, static_cast<std::size_t>(data.size));
}
// NOLINTEND(readability-identifier-naming)

/// Returns the serialized bytes of `value`, whose type cereal must be able to
/// serialize.
template <typename T>
std::string Encode(const T& value) {
  BoundedOutputArchive archive;
  archive(value);
  return archive.ReleaseBytes();
}

/// Decodes all of `bytes` into `value`. Returns false if the bytes are
/// malformed, truncated or followed by further bytes. `value` is unspecified
/// after a failure.
template <typename T>
bool Decode(std::string_view bytes, T* value) {
  try {
    BoundedInputArchive archive(bytes);
    archive(*value);
    return archive.Remaining() == 0;
  } catch (const cereal::Exception&) {
    return false;
  }
}

}  // namespace chicoryvale

CEREAL_SETUP_ARCHIVE_TRAITS(chicoryvale::BoundedInputArchive,
                            chicoryvale::BoundedOutputArchive)

#endif  // CHICORYVALE_SRC_BASE_CODEC_H_
