#ifndef CHICORYVALE_SRC_ADAPTERS_JSON_ARRAY_READER_H_
#define CHICORYVALE_SRC_ADAPTERS_JSON_ARRAY_READER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "chicoryvale/error.h"

namespace chicoryvale {

/// Finds the elements of one array in the text of a JSON object without parsing
/// them, so that an element that is not valid JSON does not make the others
/// unreadable. Not thread safe.
///
/// An element ends at the comma or bracket that follows it outside of strings
/// and nested values. If the end of an element is missing, because a string or
/// a nested value is not terminated, the element is skipped up to the next
/// object that follows a comma, or up to the end of the array.
class JsonArrayReader {
 public:
  /// Receives the text of one element. Empty elements are left out.
  using Visitor = std::function<void(std::string_view element)>;

  /// `object` is the text of the object and must outlive the reader; `key` is
  /// the key of the array in it.
  JsonArrayReader(std::string_view object, std::string_view key)
      : m_text(object), m_key(key) {}

  /// Calls `visitor` for each element, in order. Returns the text of the object
  /// with an empty array, which is valid JSON. Returns kMalformedRequest if the
  /// text is not a JSON object with such an array, or is not complete; the
  /// elements visited until then must be discarded.
  Result<std::string> Read(const Visitor& visitor);

  /// Returns the number of elements whose end was missing.
  [[nodiscard]] std::size_t SkippedElements() const {
    return m_skipped_elements;
  }

 private:
  [[nodiscard]] std::size_t SkipSpace(std::size_t position) const;
  [[nodiscard]] std::size_t SkipString(std::size_t position) const;
  [[nodiscard]] std::size_t FindArray() const;
  std::size_t FindElementEnd(std::size_t position);
  std::size_t FindNextElement(std::size_t position);
  bool IsArrayEnd(std::size_t position);
  [[nodiscard]] bool MayGuess() const;
  void RecordGuess(std::size_t position);
  [[nodiscard]] std::string WithoutElements(std::size_t array_end) const;

  std::string_view m_text;
  std::string_view m_key;
  /// Position after the opening bracket of the array.
  std::size_t m_array_begin = 0;
  std::size_t m_skipped_elements = 0;
  /// Whether a closing bracket outside of all elements did not end the array.
  bool m_has_stray_bracket = false;
  /// Number of guesses at the structure of malformed text, and of the bytes
  /// that they read; both are limited.
  std::size_t m_guesses = 0;
  std::size_t m_guessed_bytes = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_JSON_ARRAY_READER_H_
