#include "child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace bramleyspoke::Harness {
namespace {

constexpr std::chrono::milliseconds kPollInterval{5};
constexpr int kSignalBase = 128;

// Runs between fork and exec: makes async-signal-safe calls only.
[[noreturn]] void ExecChild(char* const* arguments, int output, pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(kSignalBase - 1);
  }
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  // An inherited listening socket would keep its port in use.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(arguments[0], arguments);
  _exit(kSignalBase - 1);
}

int ExitStatusOf(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : kSignalBase + WTERMSIG(status);
}

Duration TicksToTime(long long ticks) {
  return std::chrono::nanoseconds(std::chrono::seconds(1)) * ticks /
         sysconf(_SC_CLK_TCK);
}

}  // namespace

Result<std::unique_ptr<ChildProcess>> ChildProcess::Start(
    const std::vector<std::string>& arguments,
    const std::string& output) {
  const int file =
      open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (file < 0) {
    return Fail(output, "a file that can be written");
  }
  std::vector<char*> pointers;
  for (const std::string& argument : arguments) {
    pointers.push_back(const_cast<char*>(argument.c_str()));
  }
  pointers.push_back(nullptr);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    ExecChild(pointers.data(), file, parent);
  }
  close(file);
  if (pid < 0) {
    return Fail(arguments[0], "a program that can be started");
  }
  return std::unique_ptr<ChildProcess>(new ChildProcess(pid));
}

ChildProcess::~ChildProcess() {
  Signal(SIGKILL);
  Wait(std::chrono::seconds(10));
}

void ChildProcess::Signal(int signal) {
  if (IsRunning()) {
    kill(m_pid, signal);
  }
}

bool ChildProcess::IsRunning() {
  return !Wait(Duration::zero()).has_value();
}

std::optional<int> ChildProcess::Wait(Duration timeout) {
  const TimePoint end = std::chrono::steady_clock::now() + timeout;
  while (!m_exit_status) {
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_exit_status = ExitStatusOf(status);
    } else if (std::chrono::steady_clock::now() >= end) {
      return std::nullopt;
    } else {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return m_exit_status;
}

ProcessUsage ChildProcess::Usage() const {
  const std::string directory = "/proc/" + std::to_string(m_pid);
  std::ifstream stat(directory + "/stat");
  std::string text;
  std::getline(stat, text);
  // The process name may contain spaces: skip it, then 11 fields up to utime.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < 11; ++i) {
    fields >> skipped;
  }
  long long user = 0;
  long long system = 0;
  fields >> user >> system;
  std::ifstream statm(directory + "/statm");
  std::uint64_t total_pages = 0;
  std::uint64_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return ProcessUsage{
      TicksToTime(user + system),
      resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE))};
}

}  // namespace bramleyspoke::Harness
