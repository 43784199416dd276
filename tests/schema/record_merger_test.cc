#include "schema/record_merger.h"

#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>
#include <gtest/gtest.h>

#include <string>

namespace chicoryvale {
namespace {

constexpr char kSchemaText[] = R"(
syntax = "proto3";
package t;
import "chicoryvale/options.proto";
message Record { uint64 key = 1; string text = 2; }
message Question {}
message Answer { repeated Record records = 1; }
service S {
  option (chicoryvale.v1.service) = { shards: 4 };
  rpc Ask(Question) returns (Answer) {
    option (chicoryvale.v1.method) = {
      idempotent: true records: "records" record_key: "key"
    };
  }
})";

class RecordMergerTest : public testing::Test {
 protected:
  RecordMergerTest() : m_schema(*Schema::Make(kSchemaText)) {}

  std::string Bytes(const std::string& json) {
    auto message = m_schema->NewMessage(Method().output);
    EXPECT_TRUE(
        google::protobuf::util::JsonStringToMessage(json, message.get()).ok());
    return message->SerializeAsString();
  }

  std::string Json(const std::string& bytes) {
    auto message = m_schema->NewMessage(Method().output);
    EXPECT_TRUE(message->ParseFromString(bytes));
    std::string text;
    EXPECT_TRUE(
        google::protobuf::util::MessageToJsonString(*message, &text).ok());
    return text;
  }

  [[nodiscard]] const MethodSchema& Method() const {
    return *FindMethod(*m_schema->FindService("t.S"), "Ask");
  }

  std::shared_ptr<const Schema> m_schema;
};

TEST_F(RecordMergerTest, KeepsEachRecordOnceInTheOrderOfTheShards) {
  RecordMerger merger(m_schema, &Method());
  ASSERT_TRUE(merger.Add(2, Bytes(R"({"records":[{"key":1,"text":"late"},
                                      {"key":5,"text":"e"}]})")));
  ASSERT_TRUE(merger.Add(0, Bytes(R"({"records":[{"key":1,"text":"a"},
                                      {"key":2,"text":"b"},
                                      {"key":1,"text":"again"}]})")));
  EXPECT_EQ(Json(merger.Finish()),
            R"({"records":[{"key":"1","text":"a"},{"key":"2","text":"b"},)"
            R"({"key":"5","text":"e"}]})");
}

TEST_F(RecordMergerTest, RefusesADamagedAnswerAndKeepsTheOthers) {
  RecordMerger merger(m_schema, &Method());
  ASSERT_TRUE(merger.Add(0, Bytes(R"({"records":[{"key":1,"text":"a"}]})")));
  EXPECT_FALSE(merger.Add(1, "\x0a\xff"));
  EXPECT_EQ(Json(merger.Finish()), R"({"records":[{"key":"1","text":"a"}]})");
}

TEST_F(RecordMergerTest, ResetDropsAllAnswers) {
  RecordMerger merger(m_schema, &Method());
  ASSERT_TRUE(merger.Add(0, Bytes(R"({"records":[{"key":1,"text":"a"}]})")));
  merger.Reset();
  EXPECT_EQ(Json(merger.Finish()), "{}");
}

}  // namespace
}  // namespace chicoryvale
