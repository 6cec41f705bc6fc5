#include <ostream>

#include "tool/command.h"
#include "tool/command_options.h"
#include "tool/daemon_client.h"
#include "tool/json_indent.h"

namespace bramleyspoke {
namespace {

class DumpCommand final : public Command {
 public:
  std::string_view Name() const override { return "dump"; }
  std::string_view Summary() const override {
    return "prints the complete state of one daemon";
  }

  void Declare(CommandOptions& options) override {
    options.AddEndpoints("daemon", m_daemons, "daemon to query");
    options.AddMilliseconds("timeout-ms", m_timeout,
                            "timeout of the call (5000)");
  }

  ExitCode Run(CommandOutput& output) override {
    const DaemonCallResult call =
        CallDaemon(m_daemons.front(), "/dump", std::nullopt, m_timeout);
    if (!call.response) {
      output.error << "no answer from " << ToString(m_daemons.front()) << '\n';
      return ExitCode::kNotDone;
    }
    const std::string& body = call.response->body;
    output.out << (output.is_json ? body : IndentJson(body)) << '\n';
    return ExitCode::kDone;
  }

 private:
  std::vector<Endpoint> m_daemons;
  Duration m_timeout = std::chrono::seconds(5);
};

}  // namespace

std::unique_ptr<Command> MakeDumpCommand() {
  return std::make_unique<DumpCommand>();
}

}  // namespace bramleyspoke
