#pragma once

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace bramleyspoke::Harness {

/// Processor time and memory of a process, from /proc.
struct ProcessUsage {
  Duration processor_time = Duration::zero();
  std::uint64_t resident_bytes = 0;
};

/// A program started by us; killed and reaped when destroyed.
class ChildProcess {
 public:
  /// Starts `arguments[0]`; what it prints goes to the file `output`.
  static Result<std::unique_ptr<ChildProcess>> Start(
      const std::vector<std::string>& arguments,
      const std::string& output);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Pid() const { return m_pid; }
  /// Sends a signal unless the process has ended.
  void Signal(int signal);
  /// Whether it has not ended yet.
  bool IsRunning();
  /// Waits for the end: the exit status, or 128 plus the signal's number.
  /// Empty when it still ran after `timeout`.
  std::optional<int> Wait(Duration timeout);
  ProcessUsage Usage() const;

 private:
  explicit ChildProcess(pid_t pid) : m_pid(pid) {}

  pid_t m_pid;
  std::optional<int> m_exit_status;
};

}  // namespace bramleyspoke::Harness
