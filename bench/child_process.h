#pragma once

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace bramleyspoke::Harness {

/// Processor time and resident memory of a process, from /proc.
struct ProcessUsage {
  Duration processor_time = Duration::zero();
  std::uint64_t resident_bytes = 0;
};

/// A started program; the destructor kills and reaps it.
class ChildProcess {
 public:
  /// Starts `arguments[0]`; appends its standard output and standard error to
  /// the file `output`.
  static Result<std::unique_ptr<ChildProcess>> Start(
      const std::vector<std::string>& arguments,
      const std::string& output);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Pid() const { return m_pid; }
  /// Sends a signal unless the process has ended.
  void Signal(int signal);
  bool IsRunning();
  /// Waits for the end and returns the exit status, or 128 plus the number of
  /// the signal that ended the process; empty if it still runs after `timeout`.
  std::optional<int> Wait(Duration timeout);
  ProcessUsage Usage() const;

 private:
  explicit ChildProcess(pid_t pid) : m_pid(pid) {}

  pid_t m_pid;
  std::optional<int> m_exit_status;
};

}  // namespace bramleyspoke::Harness
