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
  /// Requests a second.
  double rate = 10;
  Duration deadline = std::chrono::milliseconds(1000);
  std::uint32_t limit = 1000;
  /// Sends again after a lost connection or "may have run", same id.
  std::uint32_t resends = 0;
  /// Put into each query.
  std::string mark;
  std::string caller = "bench";
};

struct LoadOptions {
  /// Asked for the addresses of a service.
  std::vector<Endpoint> daemons;
  std::vector<ServiceLoad> services;
  std::uint64_t seed = 1;
  /// Constant intervals otherwise.
  bool is_poisson = true;
};

/// Open-loop load: arrivals don't wait for answers, and latency counts from
/// the time at which a request should have been sent.
///
/// Does as callers do: asks any daemon for a service's addresses, keeps the
/// answer for as long as it may, and connects there.
class LoadGenerator {
 public:
  static std::unique_ptr<LoadGenerator> Create(LoadOptions options);
  virtual ~LoadGenerator() = default;

  virtual void Start() = 0;
  /// Ends the arrivals and waits for what is under way.
  virtual void Stop() = 0;
  /// Requests that have ended so far.
  virtual std::size_t EndedCount() const = 0;
  /// Answers with full coverage so far.
  virtual std::size_t FullAnswerCount() const = 0;
  /// All sends since the last call.
  virtual std::vector<CallerEvent> TakeEvents() = 0;
};

}  // namespace bramleyspoke::Harness
