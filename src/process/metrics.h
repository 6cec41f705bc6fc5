#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/refusal.h"
#include "base/time.h"
#include "base/verdict.h"

namespace bramleyspoke {

enum class StoreOutcome;
enum class ForwardResult;

/// What the metrics record about a search that ended.
struct SearchObservation {
  /// Empty if the service is not in the manifest.
  std::string_view service;
  Verdict verdict = Verdict::kNotRun;
  /// Set if the search was refused.
  std::optional<RefusalReason> reason;
  Duration latency = Duration::zero();
  /// Set if the search was answered.
  std::optional<double> coverage;
  std::uint32_t attempts = 0;
  /// The minimum number of attempts that the search required.
  std::uint32_t needed = 0;
};

/// The kind of remote end of a connection.
enum class ConnectionKind {
  kCaller,
  kLeaf,
};

/// Current state of the daemon: its manifest, readiness and known members.
struct ControlObservation {
  std::uint64_t generation = 0;
  /// Time since the store last confirmed the generation, as known directly or
  /// from peers.
  Duration manifest_age = Duration::zero();
  bool is_confirmed = false;
  bool is_ready = false;
  bool is_stopping = false;
  /// Live daemons that this daemon knows of.
  std::uint64_t members = 0;
};

/// Current load of one service.
struct ServiceObservation {
  std::string_view service;
  /// Attempts waiting for a slot.
  std::uint64_t waiting_attempts = 0;
  /// Queries that are neither finished nor refused.
  std::uint64_t in_flight = 0;
};

/// The process's metrics. Every function may be called from any thread.
class Metrics {
 public:
  static std::unique_ptr<Metrics> Create();
  virtual ~Metrics() = default;

  virtual void Observe(const SearchObservation& search) = 0;
  virtual void Observe(const ServiceObservation& service) = 0;
  virtual void Observe(const ControlObservation& control) = 0;
  virtual void SetConnections(ConnectionKind kind, std::uint64_t open) = 0;
  /// Counts a call to the store.
  virtual void CountStoreCall(StoreOutcome outcome) = 0;
  /// Counts a request forwarded to another daemon.
  virtual void CountForward(ForwardResult result) = 0;
  /// All metrics in the Prometheus text format.
  virtual std::string Text() const = 0;
};

}  // namespace bramleyspoke
