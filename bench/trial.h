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

/// Command line of the bench.
struct BenchOptions {
  std::string programs;
  std::uint64_t seed = 1;
  /// Measured time of each variant.
  Duration length = std::chrono::seconds(20);
  /// Multiplies the rates of all loads.
  double rate = 1;
};

/// One of the choices that a case compares, as a manifest.
struct Variant {
  std::string name;
  Manifest manifest;
};

/// A fleet that is measured, and the history of all that happened to it.
class Trial {
 public:
  /// Starts the fleet with all daemons ready.
  static Result<std::unique_ptr<Trial>> Start(std::string bench_case,
                                              BenchOptions options,
                                              FleetOptions fleet,
                                              std::vector<ServiceLoad> loads);
  virtual ~Trial() = default;

  virtual Fleet& GetFleet() = 0;
  virtual History& GetHistory() = 0;
  virtual const BenchOptions& Options() const = 0;
  virtual void SetLoads(std::vector<ServiceLoad> loads) = 0;

  /// Publishes and waits until it is in force on all daemons.
  virtual bool Publish(const Manifest& manifest) = 0;
  /// Puts the load on for the measured time, and reports it.
  ///
  /// `during` is called once, after the warm-up.
  virtual void Measure(const std::string& variant,
                       const std::function<void()>& during = {}) = 0;
  /// Alternates short slices of the variants, so that what else happens on the
  /// machine meets all alike; reports each variant over its slices.
  virtual void Alternate(const std::vector<Variant>& variants) = 0;
  virtual void Figure(const std::string& variant,
                      const std::string& name,
                      double value) = 0;
  /// Checks the history and reports what it breaks; the number of violations.
  virtual std::size_t Finish() = 0;
};

}  // namespace bramleyspoke::Harness
