#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "history.h"
#include "history_checker.h"

namespace bramleyspoke::Harness {

/// Answers later than this are late, at the base load.
constexpr Duration kLatencyTarget = std::chrono::milliseconds(91);

/// Figures of one service over a run.
struct ServiceReport {
  std::string service;
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::size_t refused = 0;
  /// Neither answer nor refusal reached the caller.
  std::size_t lost = 0;
  Duration p50 = Duration::zero();
  Duration p99 = Duration::zero();
  Duration p999 = Duration::zero();
  /// Share of all requests answered whole within the target.
  double in_time = 0;
  /// Over the answers.
  double mean_coverage = 0;
  double full_answers = 0;
  /// Attempts sent for each one that the answers needed.
  double attempts_per_needed = 0;
  /// By "verdict/reason".
  std::map<std::string, std::size_t> refusals;
};

/// What a run is called in the results.
struct RunLabel {
  std::string bench_case;
  std::string variant;
  std::uint64_t seed = 0;
};

/// One report a service; a request counts once, however often it was sent.
std::vector<ServiceReport> Summarize(const std::vector<CallerEvent>& events);

/// Prints JSON lines to standard output and a table to standard error.
void PrintReports(const RunLabel& label,
                  const std::vector<ServiceReport>& reports);
/// Same for figures that aren't of a service.
void PrintFigure(const RunLabel& label, const std::string& name, double value);
/// Prints the violations by promise, and the first few in words.
void PrintViolations(const RunLabel& label,
                     const std::vector<Violation>& violations);

}  // namespace bramleyspoke::Harness
