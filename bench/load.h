#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "history.h"

namespace bramleyspoke::Harness {

/// The load on one service.
struct ServiceLoad {
  std::string service;
  bool is_idempotent = true;
  /// Requests per second.
  double rate = 10;
  Duration deadline = std::chrono::milliseconds(1000);
  std::uint32_t limit = 1000;
  /// Maximum number of resends of a request that was neither answered nor has
  /// the verdict "ran". An id set by the caller stays the same.
  std::uint32_t resends = 0;
  /// Prefix of each query.
  std::string query_prefix;
  std::string caller = "bench";
};

struct LoadOptions {
  /// Daemons that address queries are sent to.
  std::vector<Endpoint> daemons;
  std::vector<ServiceLoad> services;
  std::uint64_t seed = 1;
  /// Whether arrivals are a Poisson process; otherwise at constant intervals.
  bool is_poisson = true;
};

/// Open-loop load: arrivals do not wait for responses, and latency is measured
/// from a request's scheduled arrival.
///
/// Behaves as callers do: queries any daemon for a service's addresses and
/// connects to these for as long as the address answer is valid.
class LoadGenerator {
 public:
  static std::unique_ptr<LoadGenerator> Create(LoadOptions options);
  virtual ~LoadGenerator() = default;

  virtual void Start() = 0;
  /// Ends the arrivals and waits for the requests in flight.
  virtual void Stop() = 0;
  /// Requests that have ended so far.
  virtual std::size_t EndedCount() const = 0;
  /// Answers with full coverage so far.
  virtual std::size_t FullAnswerCount() const = 0;
  /// Returns the sends that ended since the last call.
  virtual std::vector<CallerEvent> TakeEvents() = 0;
};

}  // namespace bramleyspoke::Harness
