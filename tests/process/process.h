#ifndef CHICORYVALE_TESTS_PROCESS_PROCESS_H_
#define CHICORYVALE_TESTS_PROCESS_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace chicoryvale {

/// A daemon started by a test. The destructor ends it with SIGKILL.
class Process {
 public:
  /// Starts `program` from the build with the text `settings` and waits for its
  /// ready line. Writes the settings to `folder`/`name`.toml and the log to
  /// `folder`/`name`.log. Fails the test if the program does not start.
  Process(const std::string& program, const std::string& name,
          const std::string& folder, const std::string& settings);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Returns the address that the ready line reports under `name`, for example
  /// "callers". Fails the test if there is none.
  [[nodiscard]] std::string AddressOf(const std::string& name) const;

  void Signal(int signal) const;

  /// Returns the most memory that the running process has had in use, in
  /// bytes; 0 if it does not run.
  [[nodiscard]] std::size_t PeakMemoryBytes() const;

  /// Returns the number of descriptors that the running process has open; 0 if
  /// it does not run.
  [[nodiscard]] std::size_t OpenDescriptorCount() const;

  /// Waits until the process ends. Returns its exit code, or the negated number
  /// of the signal that ended it.
  int Wait();

 private:
  pid_t m_pid = 0;
  std::map<std::string, std::string> m_addresses;
};

/// Runs a program of the build, whose name is the first of `arguments`, until
/// it ends. Stores its standard output in `output`. Returns its exit code, or
/// the negated number of the signal that ended it.
int RunProgram(const std::vector<std::string>& arguments, std::string* output);

/// A temporary folder that the destructor removes with its content.
class ScratchFolder {
 public:
  ScratchFolder();
  ~ScratchFolder();
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  [[nodiscard]] const std::string& Path() const { return m_path; }

 private:
  std::string m_path;
};

/// Writes a file that only its owner can read and write.
void WritePrivateFile(const std::string& path, const std::string& content);

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_PROCESS_PROCESS_H_
