#include <ostream>

#include "tool/command.h"
#include "tool/command_options.h"
#include "tool/daemon_client.h"

namespace bramleyspoke {
namespace {

constexpr int kStatusOk = 200;

class EntriesCommand final : public Command {
 public:
  std::string_view Name() const override { return "entries"; }
  std::string_view Summary() const override {
    return "shows the addresses that callers of a service should use";
  }

  void Declare(CommandOptions& options) override {
    options.AddPositional("SERVICE", m_service, "name of the service");
    options.AddEndpoints("daemon", m_daemons,
                         "daemons to query, in this order");
    options.AddMilliseconds("timeout-ms", m_timeout,
                            "timeout of each call (2000)");
  }

  ExitCode Run(CommandOutput& output) override {
    const DaemonCallResult call = CallFirstAvailable(
        m_daemons, "/v1/entries?service=" + m_service, m_timeout);
    if (!call.response) {
      output.error << "no daemon answers\n";
      return ExitCode::kNotDone;
    }
    if (output.is_json) {
      output.out << call.response->body << '\n';
    }
    if (call.response->status != kStatusOk) {
      output.error << ParseSearchRefusal(call.response->body).detail << '\n';
      return ExitCode::kNotDone;
    }
    if (!output.is_json) {
      PrintText(call.response->body, output);
    }
    return ExitCode::kDone;
  }

 private:
  static void PrintText(const std::string& body, CommandOutput& output) {
    const auto list = ParseEntryList(body);
    if (!list) {
      output.out << body << '\n';
      return;
    }
    for (const Endpoint& entry : list->entries) {
      output.out << ToString(entry) << '\n';
    }
    output.out << "keep for " << ToMilliseconds(list->valid_for) << " ms\n"
               << "request ids begin with " << list->request_id_prefix << '\n';
  }

  std::string m_service;
  std::vector<Endpoint> m_daemons;
  Duration m_timeout = std::chrono::seconds(2);
};

}  // namespace

std::unique_ptr<Command> MakeEntriesCommand() {
  return std::make_unique<EntriesCommand>();
}

}  // namespace bramleyspoke
