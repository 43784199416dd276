#include "process/process.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

extern char** environ;

namespace chicoryvale {
namespace {

// Starts a program. Its standard output can be read from `*output_fd`; its
// standard error is appended to the file `log_path`.
pid_t Spawn(const std::vector<std::string>& arguments,
            const std::string& log_path, int* output_fd) {
  std::array<int, 2> pipe_ends{};
  EXPECT_EQ(pipe2(pipe_ends.data(), O_CLOEXEC), 0);
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  posix_spawn_file_actions_adddup2(&file_actions, pipe_ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&file_actions, STDERR_FILENO,
                                   log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  std::vector<char*> argv;
  std::ranges::transform(
      arguments, std::back_inserter(argv),
      [](const std::string& text) { return const_cast<char*>(text.c_str()); });
  argv.push_back(nullptr);
  pid_t pid = 0;
  EXPECT_EQ(
      posix_spawn(&pid, argv[0], &file_actions, nullptr, argv.data(), environ),
      0)
      << arguments[0];
  posix_spawn_file_actions_destroy(&file_actions);
  close(pipe_ends[1]);
  *output_fd = pipe_ends[0];
  return pid;
}

std::string ReadLine(int descriptor) {
  std::string line;
  char byte = 0;
  while (read(descriptor, &byte, 1) == 1 && byte != '\n') line += byte;
  return line;
}

std::string ReadAll(int descriptor) {
  std::string text;
  std::array<char, 4096> buffer{};
  ssize_t size = 0;
  while ((size = read(descriptor, buffer.data(), buffer.size())) > 0) {
    text.append(buffer.data(), static_cast<std::size_t>(size));
  }
  return text;
}

std::string BinaryPath(const std::string& program) {
  return std::string(CHICORYVALE_BIN_DIR) + "/" + program;
}

int ExitCodeOf(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

}  // namespace

Process::Process(const std::string& program, const std::string& name,
                 const std::string& folder, const std::string& settings) {
  const std::string settings_path = folder + "/" + name + ".toml";
  const std::string log_path = folder + "/" + name + ".log";
  WritePrivateFile(settings_path, settings);
  int output_fd = -1;
  m_pid = Spawn({BinaryPath(program), "--config", settings_path}, log_path,
                &output_fd);
  const auto ready_line =
      nlohmann::json::parse(ReadLine(output_fd), nullptr, false);
  close(output_fd);
  if (!ready_line.is_object()) {
    std::ifstream file(log_path);
    ADD_FAILURE() << name << " did not start: "
                  << std::string(std::istreambuf_iterator<char>(file), {});
    return;
  }
  for (const auto& [key, value] : ready_line.items()) {
    if (value.is_string()) m_addresses[key] = value;
  }
}

Process::~Process() {
  if (m_pid == 0) return;
  Signal(SIGKILL);
  Wait();
}

std::string Process::AddressOf(const std::string& name) const {
  const auto found = m_addresses.find(name);
  if (found != m_addresses.end()) return found->second;
  ADD_FAILURE() << "the ready line has no address for " << name;
  return {};
}

void Process::Signal(int signal) const { kill(m_pid, signal); }

std::size_t Process::PeakMemoryBytes() const {
  constexpr std::size_t kBytesPerKb = 1024;
  std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
  const std::string name = "VmHWM:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(name)) {
      return std::stoul(line.substr(name.size())) * kBytesPerKb;
    }
  }
  return 0;
}

std::size_t Process::OpenDescriptorCount() const {
  std::error_code error;
  const std::filesystem::directory_iterator open(
      "/proc/" + std::to_string(m_pid) + "/fd", error);
  if (error) return 0;
  return static_cast<std::size_t>(
      std::distance(begin(open), std::filesystem::directory_iterator()));
}

int Process::Wait() {
  int status = 0;
  waitpid(m_pid, &status, 0);
  m_pid = 0;
  return ExitCodeOf(status);
}

int RunProgram(const std::vector<std::string>& arguments, std::string* output) {
  std::vector<std::string> command = arguments;
  command[0] = BinaryPath(command[0]);
  int output_fd = -1;
  const pid_t pid = Spawn(command, "/dev/null", &output_fd);
  *output = ReadAll(output_fd);
  close(output_fd);
  int status = 0;
  waitpid(pid, &status, 0);
  return ExitCodeOf(status);
}

ScratchFolder::ScratchFolder()
    : m_path((std::filesystem::temp_directory_path() / "chicoryvale-XXXXXX")
                 .string()) {
  EXPECT_NE(mkdtemp(m_path.data()), nullptr);
}

ScratchFolder::~ScratchFolder() { std::filesystem::remove_all(m_path); }

void WritePrivateFile(const std::string& path, const std::string& content) {
  std::ofstream(path) << content;
  chmod(path.c_str(), S_IRUSR | S_IWUSR);
}

}  // namespace chicoryvale
