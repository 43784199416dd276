#ifndef CHICORYVALE_TESTS_FAKES_PROGRAM_RUN_H_
#define CHICORYVALE_TESTS_FAKES_PROGRAM_RUN_H_

#include <gio/gio.h>
#include <libsoup/soup.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace chicoryvale {

/// Temporary folder that is removed by the destructor.
class TestFolder {
 public:
  TestFolder()
      : m_path(std::filesystem::temp_directory_path() / "chicoryvale-XXXXXX") {
    std::string name = m_path.string();
    m_path = g_mkdtemp(name.data());
  }
  TestFolder(const TestFolder&) = delete;
  TestFolder& operator=(const TestFolder&) = delete;
  ~TestFolder() { std::filesystem::remove_all(m_path); }

  [[nodiscard]] const std::filesystem::path& Path() const { return m_path; }

  /// Writes `text` to the file `name` in the folder and returns its path.
  [[nodiscard]] std::string Write(const std::string& name,
                                  const std::string& text) const {
    const std::filesystem::path file = m_path / name;
    std::ofstream(file) << text;
    return file.string();
  }

 private:
  std::filesystem::path m_path;
};

/// A process that runs a program of this build. The destructor kills it if it
/// is still running.
class ProgramRun {
 public:
  /// Starts `program` with `folder` as its working directory.
  ProgramRun(const std::string& program, const std::filesystem::path& folder,
             const std::vector<std::string>& arguments) {
    const std::string path = std::string(CHICORYVALE_BIN_DIR) + "/" + program;
    std::vector<const char*> argv = {path.c_str()};
    for (const std::string& argument : arguments) {
      argv.push_back(argument.c_str());
    }
    argv.push_back(nullptr);
    GSubprocessLauncher* launcher = g_subprocess_launcher_new(
        static_cast<GSubprocessFlags>(G_SUBPROCESS_FLAGS_STDOUT_PIPE |
                                      G_SUBPROCESS_FLAGS_STDERR_SILENCE));
    g_subprocess_launcher_set_cwd(launcher, folder.c_str());
    m_process = g_subprocess_launcher_spawnv(launcher, argv.data(), nullptr);
    m_output = g_data_input_stream_new(g_subprocess_get_stdout_pipe(m_process));
    g_object_unref(launcher);
  }
  ProgramRun(const ProgramRun&) = delete;
  ProgramRun& operator=(const ProgramRun&) = delete;
  ~ProgramRun() {
    g_subprocess_force_exit(m_process);
    g_subprocess_wait(m_process, nullptr, nullptr);
    g_object_unref(m_output);
    g_object_unref(m_process);
  }

  /// Waits for the next line of standard output and returns it, or an empty
  /// text at the end of the output.
  std::string ReadLine() {
    char* line =
        g_data_input_stream_read_line(m_output, nullptr, nullptr, nullptr);
    std::string text = line == nullptr ? "" : line;
    g_free(line);
    return text;
  }

  /// Waits for the next line of standard output and parses it as JSON. The
  /// result is a discarded value if the line is not valid JSON.
  nlohmann::json ReadJson() {
    return nlohmann::json::parse(ReadLine(), nullptr, false);
  }

  /// Waits until the process exits and returns its exit code.
  int ExitCode() {
    g_subprocess_wait(m_process, nullptr, nullptr);
    return g_subprocess_get_exit_status(m_process);
  }

  /// Sends SIGTERM to the process.
  void Terminate() { g_subprocess_send_signal(m_process, SIGTERM); }

 private:
  GSubprocess* m_process = nullptr;
  GDataInputStream* m_output = nullptr;
};

/// Sends one HTTP request, waits for the response and parses its body as JSON.
/// Returns null if there is no response.
inline nlohmann::json CallJson(const char* method, const std::string& url,
                               const std::string& body = "") {
  SoupSession* session = soup_session_new();
  SoupMessage* message = soup_message_new(method, url.c_str());
  GBytes* sent = g_bytes_new(body.data(), body.size());
  if (!body.empty()) {
    soup_message_set_request_body_from_bytes(message, "application/json", sent);
  }
  GBytes* answer =
      soup_session_send_and_read(session, message, nullptr, nullptr);
  nlohmann::json json;
  if (answer != nullptr) {
    gsize size = 0;
    const auto* data =
        static_cast<const char*>(g_bytes_get_data(answer, &size));
    json = nlohmann::json::parse(data, data + size, nullptr, false);
    g_bytes_unref(answer);
  }
  g_bytes_unref(sent);
  g_object_unref(message);
  g_object_unref(session);
  return json;
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_PROGRAM_RUN_H_
