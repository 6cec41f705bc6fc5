#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <ostream>

#include "tool/command.h"
#include "tool/command_options.h"
#include "tool/explanation.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

void PrintRecords(const std::vector<LogRecord>& records, std::ostream& out) {
  for (const LogRecord& record : records) {
    out << "  " << record.Text("time") << ' ' << record.source << ' '
        << record.event;
    for (const auto& field : record.fields) {
      const bool is_skipped = field.key() == "time" || field.key() == "event" ||
                              field.key() == "level" ||
                              field.key() == "request_id";
      if (!is_skipped) {
        out << ' ' << field.key() << '=' << json::serialize(field.value());
      }
    }
    out << '\n';
  }
}

json::array ToJson(const std::vector<LogRecord>& records) {
  json::array list;
  for (const LogRecord& record : records) {
    json::object row = record.fields;
    row["source"] = record.source;
    list.push_back(std::move(row));
  }
  return list;
}

class ExplainCommand final : public Command {
 public:
  std::string_view Name() const override { return "explain"; }
  std::string_view Summary() const override {
    return "shows from daemons' logs how a request ended, and why";
  }

  void Declare(CommandOptions& options) override {
    options.AddPositional("ID", m_request_id, "request id");
    options.AddPositionalList("FILE", m_files,
                              "log files; - for standard input");
  }

  ExitCode Run(CommandOutput& output) override {
    std::vector<LogRecord> records;
    for (const std::string& file : m_files) {
      if (!Read(file, records)) {
        output.error << file << ": expected a readable file\n";
        return ExitCode::kInvalidInput;
      }
    }
    const Explanation explanation =
        ExplainRequest(std::move(records), m_request_id);
    if (output.is_json) {
      PrintJson(explanation, output.out);
    } else {
      Print(explanation, output.out);
    }
    return explanation.request_records.empty() ? ExitCode::kNotDone
                                               : ExitCode::kDone;
  }

 private:
  static bool Read(const std::string& file, std::vector<LogRecord>& records) {
    std::ifstream file_stream;
    if (file != "-") {
      file_stream.open(file);
      if (!file_stream) {
        return false;
      }
    }
    std::istream& stream = file == "-" ? std::cin : file_stream;
    auto file_records = ReadLogRecords(stream, file);
    std::move(file_records.begin(), file_records.end(),
              std::back_inserter(records));
    return true;
  }

  void Print(const Explanation& explanation, std::ostream& out) const {
    out << "Request " << m_request_id << '\n';
    if (explanation.request_records.empty()) {
      out << "No log line has this request id: the request succeeded in full "
             "within its target latency, its lines were not written (see "
             "log_lines_suppressed and log_lines_lost), or another daemon "
             "handled it.\n";
      return;
    }
    PrintRecords(explanation.request_records, out);
    out << "Why:\n";
    for (const std::string& cause : explanation.causes) {
      out << "  " << cause << '\n';
    }
    out << "Other events of these daemons in the " << kContextWindowMs / 1000
        << " s before the request ended:\n";
    PrintRecords(explanation.context, out);
  }

  static void PrintJson(const Explanation& explanation, std::ostream& out) {
    json::array causes(explanation.causes.begin(), explanation.causes.end());
    out << json::serialize(
               json::object{{"lines", ToJson(explanation.request_records)},
                            {"causes", std::move(causes)},
                            {"around", ToJson(explanation.context)}})
        << '\n';
  }

  std::string m_request_id;
  std::vector<std::string> m_files;
};

}  // namespace

std::unique_ptr<Command> MakeExplainCommand() {
  return std::make_unique<ExplainCommand>();
}

}  // namespace bramleyspoke
