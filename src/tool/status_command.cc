#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>
#include <set>

#include "tool/command.h"
#include "tool/command_options.h"
#include "tool/daemon_client.h"
#include "tool/text_table.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

/// A member and the status that it reports, if it responds.
struct MemberReport {
  Endpoint address;
  std::optional<DaemonStatus> status;
};

std::string YesNo(bool value) {
  return value ? "yes" : "no";
}

json::object ReportToJson(const MemberReport& report) {
  json::object object{{"address", ToString(report.address)},
                      {"reachable", report.status.has_value()}};
  if (report.status) {
    object["generation"] = report.status->generation;
    object["confirmed"] = report.status->is_confirmed;
    object["ready"] = report.status->is_ready;
    object["stopping"] = report.status->is_stopping;
    object["failure_domain"] = report.status->failure_domain;
    object["region"] = report.status->region;
    object["in_flight"] = report.status->in_flight;
    object["members"] = report.status->members.size();
  }
  return object;
}

TextTable::Row ReportToRow(const MemberReport& report) {
  if (!report.status) {
    return {ToString(report.address), "not reachable"};
  }
  const DaemonStatus& status = *report.status;
  return {ToString(report.address),
          status.is_stopping ? "stopping" : "running",
          YesNo(status.is_ready),
          std::to_string(status.generation),
          YesNo(status.is_confirmed),
          std::to_string(status.members.size()),
          std::to_string(status.in_flight),
          status.failure_domain,
          status.region};
}

class StatusCommand final : public Command {
 public:
  std::string_view Name() const override { return "status"; }
  std::string_view Summary() const override {
    return "queries one daemon for its members, then the status of each";
  }

  void Declare(CommandOptions& options) override {
    options.AddEndpoints("daemon", m_daemons,
                         "daemons to query for the members, in this order");
    options.AddMilliseconds("timeout-ms", m_timeout,
                            "timeout of each call (2000)");
  }

  ExitCode Run(CommandOutput& output) override {
    const DaemonCallResult first =
        CallFirstAvailable(m_daemons, "/v1/status", m_timeout);
    const auto status =
        first.response ? ParseDaemonStatus(first.response->body) : std::nullopt;
    if (!status) {
      output.error << "no daemon answers\n";
      return ExitCode::kNotDone;
    }
    const std::vector<MemberReport> reports = QueryMembers(*status);
    Print(reports, output);
    for (const MemberReport& report : reports) {
      if (!report.status || !report.status->is_ready) {
        return ExitCode::kPartial;
      }
    }
    return ExitCode::kDone;
  }

 private:
  // The daemon that was queried for the members is listed even if its own list
  // lacks it, as is the case while it stops.
  std::vector<MemberReport> QueryMembers(const DaemonStatus& first) const {
    std::set<Endpoint> addresses(first.members.begin(), first.members.end());
    addresses.insert(first.address);
    std::vector<MemberReport> reports;
    for (const Endpoint& address : addresses) {
      const DaemonCallResult call =
          CallDaemon(address, "/v1/status", std::nullopt, m_timeout);
      reports.push_back({address, call.response
                                      ? ParseDaemonStatus(call.response->body)
                                      : std::nullopt});
    }
    return reports;
  }

  static void Print(const std::vector<MemberReport>& reports,
                    CommandOutput& output) {
    if (output.is_json) {
      json::array daemons;
      for (const MemberReport& report : reports) {
        daemons.push_back(ReportToJson(report));
      }
      output.out << json::serialize(json::object{{"daemons", daemons}}) << '\n';
      return;
    }
    TextTable table({"daemon", "state", "ready", "generation", "confirmed",
                     "members", "in flight", "failure domain", "region"});
    for (const MemberReport& report : reports) {
      table.Add(ReportToRow(report));
    }
    output.out << table.Text();
  }

  std::vector<Endpoint> m_daemons;
  Duration m_timeout = std::chrono::seconds(2);
};

}  // namespace

std::unique_ptr<Command> MakeStatusCommand() {
  return std::make_unique<StatusCommand>();
}

}  // namespace bramleyspoke
