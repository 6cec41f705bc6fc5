#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "fleet.h"
#include "history.h"
#include "load.h"
#include "report.h"
#include "version/manifest.h"

namespace bramleyspoke::Harness {

/// Options from the command line of the bench.
struct BenchOptions {
  /// Directory of the programs.
  std::string programs;
  std::uint64_t seed = 1;
  /// Measurement time of each variant.
  Duration length = std::chrono::seconds(20);
  /// Multiplies the rates of all loads.
  double rate = 1;
};

/// One of the configurations that a case compares.
struct Variant {
  std::string name;
  Manifest manifest;
};

/// A fleet under measurement and the history of the run.
class Trial {
 public:
  /// Starts the fleet and waits until all daemons are ready.
  static Result<std::unique_ptr<Trial>> Start(std::string bench_case,
                                              BenchOptions options,
                                              FleetOptions fleet,
                                              std::vector<ServiceLoad> loads);
  virtual ~Trial() = default;

  virtual Fleet& GetFleet() = 0;
  virtual History& GetHistory() = 0;
  virtual const BenchOptions& Options() const = 0;
  virtual void SetLoads(std::vector<ServiceLoad> loads) = 0;

  /// Publishes a manifest and waits until it is in force on all daemons.
  /// Returns false if it is not accepted or not in force within 30 s.
  virtual bool Publish(const Manifest& manifest) = 0;
  /// Applies the load for the measurement time and prints the results.
  ///
  /// `during` is called once, after the warm-up.
  virtual void Measure(const std::string& variant,
                       const std::function<void()>& during = {}) = 0;
  /// Measures the variants in alternating short slices, so that other load on
  /// the machine affects them equally; prints the results of each variant over
  /// all its slices.
  virtual void MeasureAlternating(const std::vector<Variant>& variants) = 0;
  /// Prints one figure of a variant.
  virtual void ReportFigure(const std::string& variant,
                            const std::string& name,
                            double value) = 0;
  /// Checks the history, prints the violations and returns their number.
  virtual std::size_t Finish() = 0;
};

}  // namespace bramleyspoke::Harness
