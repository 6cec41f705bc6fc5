#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "history.h"
#include "history_checker.h"

namespace bramleyspoke::Harness {

/// Latency target at the base load; answers within it count as in time.
constexpr Duration kLatencyTarget = std::chrono::milliseconds(91);

/// Results of one service over a run.
struct ServiceReport {
  std::string service;
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::size_t refused = 0;
  /// Requests for which the caller received neither an answer nor a refusal.
  std::size_t lost = 0;
  Duration p50 = Duration::zero();
  Duration p99 = Duration::zero();
  Duration p999 = Duration::zero();
  /// Share of all requests answered with full coverage within the target.
  double in_time = 0;
  /// Over the answers only.
  double mean_coverage = 0;
  /// Share of the answers that have full coverage.
  double full_answers = 0;
  /// Attempts sent per attempt needed, over the answers.
  double attempts_per_needed = 0;
  /// Number of refusals by "verdict/reason".
  std::map<std::string, std::size_t> refusals;
};

/// Identifies a run in the results.
struct RunLabel {
  std::string bench_case;
  std::string variant;
  std::uint64_t seed = 0;
};

/// Returns one report per service; a request with several sends counts once.
std::vector<ServiceReport> Summarize(const std::vector<CallerEvent>& events);

/// Prints JSON lines to standard output and a table to standard error.
void PrintReports(const RunLabel& label,
                  const std::vector<ServiceReport>& reports);
/// Prints a figure that does not belong to a service, in the same two forms.
void PrintFigure(const RunLabel& label, const std::string& name, double value);
/// Prints the number of violations per guarantee, and details of the first 10.
void PrintViolations(const RunLabel& label,
                     const std::vector<Violation>& violations);

}  // namespace bramleyspoke::Harness
