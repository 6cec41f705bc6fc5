#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cstdio>
#include <ostream>
#include <random>

#include "tool/command.h"
#include "tool/command_options.h"
#include "tool/search_caller.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

std::string MakeRequestIdSuffix() {
  std::random_device device;
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x", device(), device());
  return text.data();
}

std::string_view OutcomeName(const SearchResult& result) {
  if (result.answer) {
    return "answered";
  }
  const bool is_refused =
      !result.attempts.empty() &&
      result.attempts.back().result == SearchAttemptResult::kRefused;
  return is_refused ? "refused" : "lost";
}

json::object AttemptToJson(const SearchAttempt& attempt) {
  json::object object{{"entry", ToString(attempt.entry)},
                      {"result", ToString(attempt.result)}};
  if (attempt.refusal) {
    object["verdict"] = ToString(attempt.refusal->verdict);
    object["reason"] = attempt.refusal->reason;
    object["detail"] = attempt.refusal->detail;
  }
  return object;
}

double CoverageOf(const json::value& answer) {
  json::error_code error;
  const json::value* coverage = answer.find_pointer("/coverage", error);
  return coverage == nullptr ? 0 : coverage->to_number<double>(error);
}

void PrintJson(const std::string& service,
               const SearchResult& result,
               CommandOutput& output) {
  json::array attempts;
  for (const SearchAttempt& attempt : result.attempts) {
    attempts.push_back(AttemptToJson(attempt));
  }
  json::object object{{"service", service},
                      {"outcome", OutcomeName(result)},
                      {"request_id", result.request_id},
                      {"verdict", ToString(result.verdict)},
                      {"tries", std::move(attempts)}};
  if (result.answer) {
    object["answer"] = json::parse(*result.answer);
  }
  output.out << json::serialize(object) << '\n';
}

void PrintAttempts(const SearchResult& result, CommandOutput& output) {
  for (const SearchAttempt& attempt : result.attempts) {
    output.out << ToString(attempt.entry) << ": " << ToString(attempt.result);
    if (attempt.refusal) {
      output.out << " (" << attempt.refusal->reason << ", "
                 << ToString(attempt.refusal->verdict)
                 << "): " << attempt.refusal->detail;
    }
    output.out << '\n';
  }
}

void PrintText(const SearchResult& result, CommandOutput& output) {
  PrintAttempts(result, output);
  output.out << "request " << result.request_id << ": " << OutcomeName(result)
             << ", verdict " << ToString(result.verdict) << '\n';
  if (!result.answer) {
    return;
  }
  const json::value parsed = json::parse(*result.answer);
  const json::object& answer = parsed.as_object();
  output.out << "snapshot " << json::serialize(answer.at("snapshot"))
             << ", coverage " << CoverageOf(parsed) << ", missing "
             << json::serialize(answer.at("missing")) << '\n';
  for (const json::value& hit : answer.at("hits").as_array()) {
    output.out << "  " << json::serialize(hit) << '\n';
  }
}

class SearchCommand final : public Command {
 public:
  std::string_view Name() const override { return "search"; }
  std::string_view Summary() const override {
    return "runs a search as a caller does; shows coverage and verdict";
  }

  void Declare(CommandOptions& options) override {
    options.AddPositional("SERVICE", m_plan.service, "name of the service");
    options.AddEndpoints("daemon", m_plan.daemons,
                         "daemons to query, in this order, for the addresses "
                         "to use");
    options.AddText("query", m_plan.query, "text to search for");
    options.AddText("caller", m_plan.caller, "name of the caller");
    options.AddNumber("limit", m_plan.limit, "maximum number of hits");
    options.AddNumber("deadline-ms", m_plan.deadline_ms,
                      "deadline of the request (default: the service's)");
    options.AddText("request-id-suffix", m_plan.request_id_suffix,
                    "caller's part of the request id (default: random)");
    options.AddNumber("tries", m_max_attempts,
                      "maximum number of attempts (5)");
    options.AddRatio("min-coverage", m_min_coverage,
                     "coverage below this gives exit code 7 (1)");
    options.AddMilliseconds("timeout-ms", m_plan.timeout,
                            "timeout of each call (10000)");
  }

  ExitCode Run(CommandOutput& output) override {
    m_plan.max_attempts = m_max_attempts.value_or(m_plan.max_attempts);
    if (m_plan.request_id_suffix.empty()) {
      m_plan.request_id_suffix = MakeRequestIdSuffix();
    }
    const SearchResult result = SearchAsCaller(m_plan);
    if (output.is_json) {
      PrintJson(m_plan.service, result, output);
    } else {
      PrintText(result, output);
    }
    return ExitCodeOf(result);
  }

 private:
  ExitCode ExitCodeOf(const SearchResult& result) const {
    if (result.answer) {
      const bool has_min_coverage =
          CoverageOf(json::parse(*result.answer)) >= m_min_coverage;
      return has_min_coverage ? ExitCode::kDone : ExitCode::kPartial;
    }
    return result.verdict == Verdict::kNotRun ? ExitCode::kNotDone
                                              : ExitCode::kUnknown;
  }

  SearchPlan m_plan;
  std::optional<std::uint64_t> m_max_attempts;
  double m_min_coverage = 1;
};

}  // namespace

std::unique_ptr<Command> MakeSearchCommand() {
  return std::make_unique<SearchCommand>();
}

}  // namespace bramleyspoke
