#ifndef CHICORYVALE_TESTS_FUZZ_MUTATOR_H_
#define CHICORYVALE_TESTS_FUZZ_MUTATOR_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chicoryvale {

/// Makes inputs from those of a corpus by a few random changes. The same seed
/// gives the same inputs. Not thread safe.
class Mutator {
 public:
  /// Precondition: `corpus` is not empty.
  Mutator(std::vector<std::string> corpus, std::uint64_t seed)
      : m_corpus(std::move(corpus)), m_random(seed) {}

  /// Returns the next input.
  std::string Next() {
    std::string input = PickFromCorpus();
    const std::size_t changes = 1 + Below(kMaxChanges);
    for (std::size_t i = 0; i < changes; ++i) Change(&input);
    return input;
  }

 private:
  static constexpr std::size_t kMaxChanges = 4;
  /// Inputs are not made longer than this.
  static constexpr std::size_t kMaxBytes = std::size_t{64} * 1024;

  /// Values at which readers of lengths and numbers tend to fail.
  static constexpr std::array<std::string_view, 12> kTokens = {
      std::string_view("\0\0\0\0", 4),
      "\xff\xff\xff\xff",
      "\xff\xff\xff\xff\xff\xff\xff\x7f",
      std::string_view("\0\0\0\x80", 4),
      "-1",
      "1e999",
      "99999999999999999999",
      "nan",
      "\"",
      "[[[[[[[[",
      "{\"\":",
      "\\ud800"};

  std::size_t Below(std::size_t end) {
    return std::uniform_int_distribution<std::size_t>(0, end - 1)(m_random);
  }
  const std::string& PickFromCorpus() {
    return m_corpus[Below(m_corpus.size())];
  }
  std::string_view PickToken() { return kTokens[Below(kTokens.size())]; }

  void Change(std::string* input) {
    if (input->empty()) {
      input->append(PickToken());
      return;
    }
    const std::size_t at = Below(input->size());
    const std::size_t length = 1 + Below(input->size() - at);
    switch (Below(7)) {
      case 0:
        (*input)[at] = static_cast<char>((*input)[at] ^ (1 << Below(8)));
        break;
      case 1:
        (*input)[at] = static_cast<char>(Below(256));
        break;
      case 2:
        input->resize(at);
        break;
      case 3:
        input->erase(at, length);
        break;
      case 4:
        input->insert(at, input->substr(at, length));
        break;
      case 5:
        input->insert(at, PickToken());
        break;
      default: {
        const std::string& other = PickFromCorpus();
        input->replace(at, length, other.substr(Below(other.size() + 1)));
      }
    }
    input->resize(std::min(input->size(), kMaxBytes));
  }

  std::vector<std::string> m_corpus;
  std::mt19937_64 m_random;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FUZZ_MUTATOR_H_
