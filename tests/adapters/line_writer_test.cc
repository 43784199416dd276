#include "adapters/line_writer.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>

namespace chicoryvale {
namespace {

constexpr TimePoint kStart{seconds(1000)};

class LineWriterTest : public testing::Test {
 protected:
  LineWriterTest() { EXPECT_EQ(pipe2(m_pipe.data(), O_CLOEXEC), 0); }
  ~LineWriterTest() override {
    close(m_pipe[0]);
    close(m_pipe[1]);
  }

  std::array<int, 2> m_pipe{};
};

TEST_F(LineWriterTest, AppendsANewline) {
  LineWriter writer(m_pipe[1]);
  EXPECT_TRUE(writer.Write("abc", kStart));
  std::array<char, 16> buffer{};
  EXPECT_EQ(read(m_pipe[0], buffer.data(), buffer.size()), 4);
  EXPECT_EQ(std::string(buffer.data()), "abc\n");
}

TEST_F(LineWriterTest, DropsLinesWhenThePipeIsFull) {
  LineWriter writer(m_pipe[1]);
  const std::string line(1000, 'x');
  int written = 0;
  constexpr int kLines = 500;
  for (int i = 0; i < kLines; ++i) {
    written += writer.Write(line, kStart) ? 1 : 0;
  }
  EXPECT_GT(written, 0);
  EXPECT_LT(written, kLines);
  EXPECT_EQ(writer.ConsumeDroppedLineCount(),
            static_cast<std::uint64_t>(kLines - written));
  EXPECT_EQ(writer.ConsumeDroppedLineCount(), 0U);
}

TEST_F(LineWriterTest, LimitsTheBurstAndTheLinesPerSecond) {
  const int descriptor = open("/dev/null", O_WRONLY | O_CLOEXEC);
  LineWriter writer(descriptor);
  int written = 0;
  while (writer.Write("x", kStart)) ++written;
  EXPECT_EQ(written, static_cast<int>(LineWriter::kMaxBurstLines));
  written = 0;
  while (writer.Write("x", kStart + seconds(1))) ++written;
  EXPECT_EQ(written, static_cast<int>(LineWriter::kMaxLinesPerSecond));
  close(descriptor);
}

TEST_F(LineWriterTest, DropsLinesWhenTheReaderHasClosedThePipe) {
  std::signal(SIGPIPE, SIG_IGN);
  close(m_pipe[0]);
  LineWriter writer(m_pipe[1]);
  EXPECT_FALSE(writer.Write("abc", kStart));
  m_pipe[0] = open("/dev/null", O_RDONLY | O_CLOEXEC);
}

}  // namespace
}  // namespace chicoryvale
