#include <ostream>
#include <thread>

#include "tool/command.h"
#include "tool/command_options.h"
#include "tool/daemon_client.h"

namespace bramleyspoke {
namespace {

constexpr std::chrono::milliseconds kPollInterval{100};
constexpr std::chrono::seconds kCallTimeout{2};

class DrainCommand final : public Command {
 public:
  std::string_view Name() const override { return "drain"; }
  std::string_view Summary() const override {
    return "starts the planned stop of one daemon";
  }

  void Declare(CommandOptions& options) override {
    options.AddEndpoints("daemon", m_daemons, "daemon to stop");
    options.AddMilliseconds(
        "wait-ms", m_wait,
        "how long to wait until it has stopped (0: don't wait)");
  }

  ExitCode Run(CommandOutput& output) override {
    const DaemonCallResult call =
        CallDaemon(m_daemons.front(), "/v1/drain", "{}", kCallTimeout);
    if (!call.response) {
      output.error << "no answer from " << ToString(m_daemons.front()) << '\n';
      return call.may_have_arrived ? ExitCode::kUnknown : ExitCode::kNotDone;
    }
    if (m_wait == Duration::zero()) {
      Print("stopping", output);
      return ExitCode::kDone;
    }
    const bool has_stopped = WaitUntilStopped();
    Print(has_stopped ? "stopped" : "stopping", output);
    return has_stopped ? ExitCode::kDone : ExitCode::kPartial;
  }

 private:
  bool WaitUntilStopped() const {
    const auto deadline = std::chrono::steady_clock::now() + m_wait;
    while (std::chrono::steady_clock::now() < deadline) {
      const DaemonCallResult call =
          CallDaemon(m_daemons.front(), "/health", std::nullopt, kCallTimeout);
      if (!call.response && !call.may_have_arrived) {
        return true;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    return false;
  }

  void Print(std::string_view state, CommandOutput& output) const {
    const std::string daemon = ToString(m_daemons.front());
    if (output.is_json) {
      output.out << R"({"daemon":")" << daemon << R"(","state":")" << state
                 << "\"}\n";
    } else {
      output.out << daemon << ": " << state << '\n';
    }
  }

  std::vector<Endpoint> m_daemons;
  Duration m_wait = Duration::zero();
};

}  // namespace

std::unique_ptr<Command> MakeDrainCommand() {
  return std::make_unique<DrainCommand>();
}

}  // namespace bramleyspoke
