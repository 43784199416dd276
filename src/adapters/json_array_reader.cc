#include "adapters/json_array_reader.h"

#include <nlohmann/json.hpp>

namespace chicoryvale {
namespace {

constexpr std::size_t kNone = std::string_view::npos;

/// Limits on the positions at which the structure of malformed text is guessed,
/// and on the bytes read for it: each guess reads the rest of the text.
constexpr std::size_t kMaxGuesses = 64;
constexpr std::size_t kMaxGuessedBytes = std::size_t{8} << 20;

bool IsSpace(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }

bool Opens(char c) { return c == '{' || c == '['; }
bool Closes(char c) { return c == '}' || c == ']'; }

}  // namespace

std::size_t JsonArrayReader::SkipSpace(std::size_t position) const {
  while (position < m_text.size() && IsSpace(m_text[position])) ++position;
  return position;
}

// Returns the position after the string that begins at `position`, or kNone if
// it is not terminated.
std::size_t JsonArrayReader::SkipString(std::size_t position) const {
  for (++position; position < m_text.size(); ++position) {
    if (m_text[position] == '"') return position + 1;
    if (m_text[position] == '\\') ++position;
  }
  return kNone;
}

// Returns the position after the opening bracket of the array, or kNone.
std::size_t JsonArrayReader::FindArray() const {
  std::size_t position = SkipSpace(0);
  if (position == m_text.size() || m_text[position] != '{') return kNone;
  std::size_t depth = 0;
  while (position < m_text.size()) {
    const char c = m_text[position];
    if (c != '"') {
      if (Opens(c)) ++depth;
      if (Closes(c) && --depth == 0) return kNone;
      ++position;
      continue;
    }
    const std::size_t end = SkipString(position);
    if (end == kNone) return kNone;
    const bool is_key =
        depth == 1 && m_text.substr(position + 1, end - position - 2) == m_key;
    position = end;
    if (!is_key) continue;
    const std::size_t colon = SkipSpace(position);
    if (colon == m_text.size() || m_text[colon] != ':') continue;
    const std::size_t value = SkipSpace(colon + 1);
    const bool is_array = value < m_text.size() && m_text[value] == '[';
    return is_array ? value + 1 : kNone;
  }
  return kNone;
}

std::string JsonArrayReader::WithoutElements(std::size_t array_end) const {
  return std::string(m_text.substr(0, m_array_begin)) +
         std::string(m_text.substr(array_end));
}

bool JsonArrayReader::MayGuess() const {
  return m_guesses < kMaxGuesses && m_guessed_bytes < kMaxGuessedBytes;
}

void JsonArrayReader::RecordGuess(std::size_t position) {
  ++m_guesses;
  m_guessed_bytes += m_text.size() - position;
}

// Returns whether the bracket at `position` ends the array: then the rest of
// the object is valid.
bool JsonArrayReader::IsArrayEnd(std::size_t position) {
  if (!MayGuess()) return false;
  RecordGuess(position);
  const bool is_end = nlohmann::json::accept(WithoutElements(position));
  m_has_stray_bracket = m_has_stray_bracket || !is_end;
  return is_end;
}

// Returns the position of the comma or bracket after the element at `position`,
// or kNone if the text ends before it.
std::size_t JsonArrayReader::FindElementEnd(std::size_t position) {
  std::size_t depth = 0;
  while (position < m_text.size()) {
    const char c = m_text[position];
    if (c == '"') {
      position = SkipString(position);
      if (position == kNone) return kNone;
      continue;
    }
    if (depth == 0 && c == ',') return position;
    if (depth == 0 && c == ']' && IsArrayEnd(position)) return position;
    if (Opens(c)) ++depth;
    // A surplus closing bracket is part of a malformed element.
    if (Closes(c) && depth > 0) --depth;
    ++position;
  }
  return kNone;
}

// Returns the position of the comma or bracket after the malformed element at
// `position`, or kNone if none can be found. After a bracket that should have
// ended the array, a later one is no end: the object may be cut off.
std::size_t JsonArrayReader::FindNextElement(std::size_t position) {
  for (; position < m_text.size(); ++position) {
    if (!MayGuess()) return kNone;
    const bool may_be_end = m_text[position] == ']' && !m_has_stray_bracket;
    if (may_be_end && IsArrayEnd(position)) return position;
    if (m_text[position] != ',') continue;
    const std::size_t next = SkipSpace(position + 1);
    if (next < m_text.size() && m_text[next] == '{') {
      RecordGuess(position);
      return position;
    }
  }
  return kNone;
}

Result<std::string> JsonArrayReader::Read(const Visitor& visitor) {
  const auto fail = [this] {
    return MakeError(ErrorKind::kMalformedRequest,
                     "the text is not a complete JSON object with an array \"" +
                         std::string(m_key) + "\"");
  };
  m_array_begin = FindArray();
  if (m_array_begin == kNone) return fail();
  std::size_t position = m_array_begin;
  while (true) {
    const std::size_t element_end = FindElementEnd(position);
    const bool is_terminated = element_end != kNone;
    const std::size_t next =
        is_terminated ? element_end : FindNextElement(position);
    if (next == kNone) return fail();
    if (!is_terminated) {
      ++m_skipped_elements;
    } else if (element_end > position) {
      visitor(m_text.substr(position, element_end - position));
    }
    if (m_text[next] == ']') return WithoutElements(next);
    position = next + 1;
  }
}

}  // namespace chicoryvale
