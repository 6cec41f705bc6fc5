#include "report.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cstdio>
#include <iostream>
#include <unordered_map>

namespace bramleyspoke::Harness {
namespace {

namespace json = boost::json;

constexpr std::size_t kViolationsShown = 10;

double ToRealMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration Quantile(const std::vector<Duration>& sorted, double share) {
  if (sorted.empty()) {
    return Duration::zero();
  }
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
  return sorted[std::min(index, sorted.size() - 1)];
}

double Ratio(double part, double whole) {
  return whole == 0 ? 0 : part / whole;
}

// Sums over one service's requests, from which its report is computed.
struct Sums {
  ServiceReport report;
  std::vector<Duration> latencies;
  double coverage = 0;
  std::size_t full = 0;
  std::size_t in_time = 0;
  std::uint64_t attempts = 0;
  std::uint64_t needed = 0;
};

void AddAnswer(const CallerEvent& event, Sums& sums) {
  const Duration latency = event.ended_at - event.intended_at;
  const bool is_full = event.answer.missing.empty();
  ++sums.report.answered;
  sums.latencies.push_back(latency);
  sums.coverage += event.answer.coverage;
  sums.full += is_full ? 1 : 0;
  sums.in_time += is_full && latency <= kLatencyTarget ? 1 : 0;
  sums.attempts += event.attempts;
  sums.needed += event.needed;
}

void AddEvent(const CallerEvent& event, Sums& sums) {
  ++sums.report.requests;
  if (event.end == CallerEnd::kAnswered) {
    AddAnswer(event, sums);
  } else if (event.end == CallerEnd::kRefused) {
    ++sums.report.refused;
    ++sums.report
          .refusals[std::string(ToString(event.verdict)) + "/" + event.reason];
  } else {
    ++sums.report.lost;
  }
}

ServiceReport MakeReport(Sums sums) {
  std::sort(sums.latencies.begin(), sums.latencies.end());
  ServiceReport report = std::move(sums.report);
  const auto answered = static_cast<double>(report.answered);
  report.p50 = Quantile(sums.latencies, 0.5);
  report.p99 = Quantile(sums.latencies, 0.99);
  report.p999 = Quantile(sums.latencies, 0.999);
  report.in_time = Ratio(static_cast<double>(sums.in_time),
                         static_cast<double>(report.requests));
  report.mean_coverage = Ratio(sums.coverage, answered);
  report.full_answers = Ratio(static_cast<double>(sums.full), answered);
  report.attempts_per_needed = Ratio(static_cast<double>(sums.attempts),
                                     static_cast<double>(sums.needed));
  return report;
}

json::object LabelValue(const RunLabel& label) {
  return {{"case", label.bench_case},
          {"variant", label.variant},
          {"seed", label.seed}};
}

json::object ReportValue(const RunLabel& label, const ServiceReport& report) {
  json::object refusals;
  for (const auto& [name, count] : report.refusals) {
    refusals[name] = count;
  }
  json::object value = LabelValue(label);
  value["service"] = report.service;
  value["requests"] = report.requests;
  value["answered"] = report.answered;
  value["refused"] = report.refused;
  value["lost"] = report.lost;
  value["p50_ms"] = ToRealMilliseconds(report.p50);
  value["p99_ms"] = ToRealMilliseconds(report.p99);
  value["p999_ms"] = ToRealMilliseconds(report.p999);
  value["in_time"] = report.in_time;
  value["mean_coverage"] = report.mean_coverage;
  value["full_answers"] = report.full_answers;
  value["attempts_per_needed"] = report.attempts_per_needed;
  value["refusals"] = std::move(refusals);
  return value;
}

void PrintRow(const RunLabel& label, const ServiceReport& report) {
  std::fprintf(stderr,
               "%-12s %-20s %-20s %7zu %7zu %6zu %5zu %8.1f %8.1f %8.1f "
               "%7.4f %8.5f %7.4f %7.3f\n",
               label.bench_case.c_str(), label.variant.c_str(),
               report.service.c_str(), report.requests, report.answered,
               report.refused, report.lost, ToRealMilliseconds(report.p50),
               ToRealMilliseconds(report.p99), ToRealMilliseconds(report.p999),
               report.in_time, report.mean_coverage, report.full_answers,
               report.attempts_per_needed);
  for (const auto& [name, count] : report.refusals) {
    std::fprintf(stderr, "%34s refused %s: %zu\n", "", name.c_str(), count);
  }
}

}  // namespace

std::vector<ServiceReport> Summarize(const std::vector<CallerEvent>& events) {
  // The last send of a request determines its outcome.
  std::unordered_map<std::string, const CallerEvent*> last;
  for (const CallerEvent& event : events) {
    last[event.query] = &event;
  }
  std::map<std::string, Sums> services;
  for (const auto& [query, event] : last) {
    AddEvent(*event, services[event->service]);
  }
  std::vector<ServiceReport> reports;
  for (auto& [name, sums] : services) {
    sums.report.service = name;
    reports.push_back(MakeReport(std::move(sums)));
  }
  return reports;
}

void PrintReports(const RunLabel& label,
                  const std::vector<ServiceReport>& reports) {
  std::fprintf(stderr,
               "%-12s %-20s %-20s %7s %7s %6s %5s %8s %8s %8s %7s %8s %7s "
               "%7s\n",
               "case", "variant", "service", "sent", "answers", "refuse",
               "lost", "p50 ms", "p99 ms", "p99.9", "in time", "coverage",
               "full", "att/need");
  for (const ServiceReport& report : reports) {
    PrintRow(label, report);
    std::cout << json::serialize(ReportValue(label, report)) << std::endl;
  }
}

void PrintFigure(const RunLabel& label, const std::string& name, double value) {
  json::object row = LabelValue(label);
  row["figure"] = name;
  row["value"] = value;
  std::cout << json::serialize(row) << std::endl;
  std::fprintf(stderr, "%-12s %-20s %s = %g\n", label.bench_case.c_str(),
               label.variant.c_str(), name.c_str(), value);
}

void PrintViolations(const RunLabel& label,
                     const std::vector<Violation>& violations) {
  std::map<std::string, std::size_t> counts;
  for (const Violation& violation : violations) {
    ++counts[std::string(ToString(violation.guarantee))];
  }
  for (const auto& [guarantee, count] : counts) {
    PrintFigure(label, "violations of " + guarantee,
                static_cast<double>(count));
  }
  std::vector<Violation> shown = violations;
  shown.resize(std::min(violations.size(), kViolationsShown));
  std::fputs(Describe(shown).c_str(), stderr);
}

}  // namespace bramleyspoke::Harness
