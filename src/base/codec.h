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

/// Input archive for bytes of another process. Containers whose claimed size
/// exceeds the bytes that are left are refused before memory is reserved.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view bytes)
      : InputArchive(this), m_rest(bytes) {}

  /// Copies the next `size` bytes to `data`; throws cereal::Exception at the
  /// end of the input.
  void LoadBytes(void* data, std::size_t size) {
    if (size > m_rest.size()) throw cereal::Exception("input ends early");
    m_rest.copy(static_cast<char*>(data), size);
    m_rest.remove_prefix(size);
  }

  [[nodiscard]] std::size_t Remaining() const { return m_rest.size(); }

 private:
  std::string_view m_rest;
};

/// Output archive that mirrors BoundedInputArchive. Little endian.
class BoundedOutputArchive
    : public cereal::OutputArchive<BoundedOutputArchive,
                                   cereal::AllowEmptyClassElision> {
 public:
  BoundedOutputArchive() : OutputArchive(this) {}

  void SaveBytes(const void* data, std::size_t size) {
    m_bytes.append(static_cast<const char*>(data), size);
  }

  std::string Take() { return std::move(m_bytes); }

 private:
  std::string m_bytes;
};

// The functions below are found by cereal through argument-dependent lookup;
// their names are cereal's.
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

/// Returns the bytes of `value`, which cereal can serialize.
template <typename T>
std::string Encode(const T& value) {
  BoundedOutputArchive archive;
  archive(value);
  return archive.Take();
}

/// Decodes all of `bytes` into `value`; false if they are damaged, end early
/// or have bytes left over. `value` is unspecified after a failure.
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
