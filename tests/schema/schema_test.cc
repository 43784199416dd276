#include "schema/schema.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace chicoryvale {
namespace {

using testing::HasSubstr;
using testing::IsEmpty;

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(CHICORYVALE_SOURCE_DIR) + "/examples/" + name +
                     "/schema.proto");
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  const std::size_t position = text.find(from);
  EXPECT_NE(position, std::string::npos) << from;
  return text.replace(position, from.size(), to);
}

TEST(SchemaTest, ReadsBothExamples) {
  const auto macchie = Schema::Make(ReadExample("macchie"));
  ASSERT_TRUE(macchie) << macchie.error().message;
  const ServiceSchema* desk = (*macchie)->FindService("macchie.EyepieceDesk");
  ASSERT_NE(desk, nullptr);
  EXPECT_EQ(desk->shards, 20U);
  EXPECT_EQ(desk->objective, Objective::kCoverage);
  const auto sangh = Schema::Make(ReadExample("sangh"));
  ASSERT_TRUE(sangh) << sangh.error().message;
  const ServiceSchema* stalls = (*sangh)->FindService("sangh.StallBooking");
  ASSERT_NE(stalls, nullptr);
  EXPECT_FALSE(FindMethod(*stalls, "Book")->idempotent);
  EXPECT_EQ(FindMethod(*stalls, "Book")->fanout, Fanout::kOneShard);
  EXPECT_EQ(FindMethod(*stalls, "Missing"), nullptr);
}

struct EditCase {
  std::string from;
  std::string to;
  std::string expected_error;
};

TEST(SchemaTest, ReportsEachErrorWithItsPosition) {
  const std::vector<EditCase> cases = {
      {"shards: 20", "shards: 0", "macchie.EyepieceDesk option shards is 0"},
      {"records: \"sketches\"", "records: \"drawings\"",
       "\"drawings\" is not a repeated message field"},
      {"record_key: \"sketch_id\"", "record_key: \"id\"",
       "\"id\" is not a string or integer field of macchie.Sketch"},
      {"routing_key: \"sketch_id\"", "routing_key: \"nowhere\"",
       "\"nowhere\" is not a string or integer field of macchie.ScanRequest"},
      {"idempotent: true", "idempotent: false", "must have fanout ONE_SHARD"},
      {"string sketch_id = 1", "strin sketch_id = 1", "schema.proto:9:"},
      {"shards: 20", "shard: 20", "schema.proto:43:"},
      {"returns (CompareAnswer)", "returns (stream CompareAnswer)",
       "only unary methods"},
  };
  for (const EditCase& edit : cases) {
    const auto schema =
        Schema::Make(Replace(ReadExample("macchie"), edit.from, edit.to));
    ASSERT_FALSE(schema) << edit.to;
    EXPECT_EQ(schema.error().kind, ErrorKind::kInvalidChange);
    EXPECT_THAT(schema.error().message, HasSubstr(edit.expected_error));
  }
}

TEST(SchemaTest, ReportsAllErrorsAtOnce) {
  std::string text = Replace(ReadExample("macchie"), "shards: 20", "shards: 0");
  text = Replace(text, "routing_key: \"sketch_id\"", "routing_key: \"x\"");
  const auto schema = Schema::Make(text);
  ASSERT_FALSE(schema);
  EXPECT_THAT(schema.error().message, HasSubstr("option shards"));
  EXPECT_THAT(schema.error().message, HasSubstr("option routing_key"));
}

TEST(SchemaTest, RefusesTextThatIsNotASchema) {
  for (const std::string& text :
       {std::string(), std::string("\0\xff\x01", 3), std::string("message"),
        std::string("syntax = \"proto3\"; import \"/etc/passwd\";")}) {
    EXPECT_FALSE(Schema::Make(text)) << text;
  }
}

TEST(SchemaTest, FindsChangesThatBreakAServiceInUse) {
  const std::string text = ReadExample("sangh");
  const auto current = Schema::Make(text);
  ASSERT_TRUE(current);
  const std::vector<EditCase> cases = {
      {"service DuesOffice", "service FeesOffice",
       "service sangh.DuesOffice is in use and is removed"},
      {"rpc Lookup(DuesRequest)", "rpc Find(DuesRequest)",
       "method sangh.DuesOffice/Lookup is removed"},
      {"uint32 rupees = 2", "string rupees = 2",
       "field sangh.DuesAnswer.rupees changes its type"},
      {"uint32 rupees = 2", "uint32 rupees = 3",
       "field sangh.DuesAnswer.rupees is removed"},
  };
  for (const EditCase& edit : cases) {
    const auto next = Schema::Make(Replace(text, edit.from, edit.to));
    ASSERT_TRUE(next) << next.error().message;
    EXPECT_THAT(FindBreakingChanges(**current, **next, {"sangh.DuesOffice"}),
                testing::ElementsAre(HasSubstr(edit.expected_error)));
    EXPECT_THAT(FindBreakingChanges(**current, **next, {"sangh.StallBooking"}),
                IsEmpty());
  }
}

TEST(SchemaTest, ReportsAMethodThatBecomesIdempotent) {
  const std::string text = ReadExample("sangh");
  const auto current = Schema::Make(text);
  const auto next =
      Schema::Make(Replace(text, "idempotent: false", "idempotent: true"));
  ASSERT_TRUE(current && next);
  EXPECT_THAT(FindBreakingChanges(**current, **next, {"sangh.StallBooking"}),
              testing::ElementsAre(HasSubstr("becomes idempotent")));
}

}  // namespace
}  // namespace chicoryvale
