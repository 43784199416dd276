#include "adapters/key_file.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace chicoryvale {
namespace {

class KeyFileTest : public testing::Test {
 protected:
  KeyFileTest() : m_folder(testing::TempDir() + "/key_file_XXXXXX") {
    EXPECT_NE(mkdtemp(m_folder.data()), nullptr);
  }
  ~KeyFileTest() override { std::filesystem::remove_all(m_folder); }

  std::string WriteKeyFile(const std::string& content, mode_t mode) {
    std::string path = m_folder + "/key";
    std::filesystem::remove(path);
    std::ofstream(path) << content;
    chmod(path.c_str(), mode);
    return path;
  }

  std::string m_folder;
};

TEST_F(KeyFileTest, TrimsTheNewlineAfterTheKey) {
  const std::string key(kMinKeyBytes, 'k');
  const auto read =
      ReadSecretFile(WriteKeyFile(key + "\n", 0600), kMinKeyBytes);
  ASSERT_TRUE(read) << read.error().message;
  EXPECT_EQ(*read, key);
}

TEST_F(KeyFileTest, RejectsUnsafeModesAndInvalidSizes) {
  const std::string key(kMinKeyBytes, 'k');
  struct Case {
    const char* name;
    std::string content;
    mode_t mode;
    const char* message;
  };
  const std::vector<Case> cases = {
      {"group reads", key, 0640, "accessible to group or others"},
      {"others read", key, 0604, "accessible to group or others"},
      {"group writes", key, 0620, "accessible to group or others"},
      {"empty", "", 0600, "has 0 bytes, at least 32"},
      {"short", key.substr(1) + "\n", 0600, "has 31 bytes, at least 32"},
      {"only white space", std::string(64, '\n'), 0600, "has 0 bytes"},
      {"huge", std::string(kMaxSecretBytes + 1, 'k'), 0600, "longer than"},
  };
  for (const Case& test : cases) {
    const auto read =
        ReadSecretFile(WriteKeyFile(test.content, test.mode), kMinKeyBytes);
    ASSERT_FALSE(read) << test.name;
    EXPECT_EQ(read.error().kind, ErrorKind::kUnauthenticated) << test.name;
    EXPECT_NE(read.error().message.find(test.message), std::string::npos)
        << read.error().message;
  }
}

TEST_F(KeyFileTest, RejectsMissingAndNonRegularFiles) {
  const auto missing = ReadSecretFile(m_folder + "/none", kMinKeyBytes);
  ASSERT_FALSE(missing);
  EXPECT_EQ(missing.error().kind, ErrorKind::kStorageFailed);
  EXPECT_FALSE(ReadSecretFile(m_folder, kMinKeyBytes));
  const std::string fifo = m_folder + "/fifo";
  ASSERT_EQ(mkfifo(fifo.c_str(), 0600), 0);
  EXPECT_FALSE(ReadSecretFile(fifo, kMinKeyBytes));
}

}  // namespace
}  // namespace chicoryvale
