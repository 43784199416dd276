#include "chicoryvale/error.h"

#include <gtest/gtest.h>

#include <set>
#include <string_view>

namespace chicoryvale {
namespace {

TEST(ErrorTest, EachKindHasAUniqueNameAndAnErrorStatus) {
  std::set<std::string_view> names;
  for (const ErrorProperties& answer : AllErrorProperties()) {
    EXPECT_EQ(&PropertiesOf(answer.kind), &answer);
    EXPECT_TRUE(names.insert(answer.name).second) << answer.name;
    EXPECT_GE(answer.http_status, 400) << answer.name;
  }
}

TEST(ErrorTest, MakeErrorSetsRanFromTheAnswerOfItsKind) {
  EXPECT_EQ(MakeError(ErrorKind::kMayHaveRun, "lost").value().ran, Ran::kMaybe);
  EXPECT_EQ(MakeError(ErrorKind::kNoQuorum, "cut off").value().ran, Ran::kNo);
}

}  // namespace
}  // namespace chicoryvale
