#ifndef CHICORYVALE_TESTS_PROCESS_PROCESS_H_
#define CHICORYVALE_TESTS_PROCESS_PROCESS_H_

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace chicoryvale {

/// A daemon that a test started. Ended with SIGKILL by the destructor.
class Process {
 public:
  /// Starts `program` of the build with `settings` in the folder `folder` and
  /// waits for its ready line. Fails the test if it does not start.
  Process(const std::string& program, const std::string& name,
          const std::string& folder, const std::string& settings);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Returns an address of the ready line, for example "callers".
  [[nodiscard]] std::string AddressOf(const std::string& name) const;

  /// Sends a signal.
  void Signal(int signal) const;

  /// Waits for the end; returns the exit code, or minus the signal.
  int Wait();

 private:
  pid_t m_pid = 0;
  std::map<std::string, std::string> m_addresses;
};

/// Runs a program to its end and returns its exit code; `out` gets its output.
int RunProgram(const std::vector<std::string>& arguments, std::string* out);

/// A folder that is removed at the end.
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

/// Writes a file that only its owner can read.
void WritePrivateFile(const std::string& path, const std::string& content);

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_PROCESS_PROCESS_H_
