#ifndef CHICORYVALE_TESTS_FAKES_FAKE_MERGER_H_
#define CHICORYVALE_TESTS_FAKES_FAKE_MERGER_H_

#include <map>
#include <memory>
#include <string>

#include "query/answer_merger.h"

namespace chicoryvale {

/// Concatenates the bodies in ascending order of shard, each followed by a
/// space. Returns an error for a shard that is added twice and for the body
/// "broken".
class FakeMerger : public AnswerMerger {
 protected:
  Result<void> OnAdd(ShardId shard, const std::string& body) override {
    if (body == "broken" || !m_bodies.emplace(shard, body).second) {
      return MakeError(ErrorKind::kInternal, "refused by the test");
    }
    return {};
  }

  std::string OnFinish() override {
    std::string joined;
    for (const auto& [shard, body] : m_bodies) joined += body + " ";
    return joined;
  }

  void OnReset() override { m_bodies.clear(); }

 private:
  std::map<ShardId, std::string> m_bodies;
};

/// Makes FakeMerger objects.
class FakeMergerFactory : public AnswerMergerFactory {
 protected:
  std::unique_ptr<AnswerMerger> OnMake() override {
    return std::make_unique<FakeMerger>();
  }
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_MERGER_H_
