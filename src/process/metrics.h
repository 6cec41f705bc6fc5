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

/// A search that ended, as metrics see it.
struct SearchObservation {
  /// Empty for a service that the manifest does not have.
  std::string_view service;
  Verdict verdict = Verdict::kNotRun;
  /// Set if the search was refused.
  std::optional<RefusalReason> reason;
  Duration latency = Duration::zero();
  /// Set if the search was answered.
  std::optional<double> coverage;
  std::uint32_t attempts = 0;
  std::uint32_t needed = 0;
};

/// Whose connections are counted.
enum class ConnectionKind {
  kCaller,
  kLeaf,
};

/// What control knows at the moment.
struct ControlObservation {
  std::uint64_t generation = 0;
  /// Since the store or a peer last confirmed the generation.
  Duration manifest_age = Duration::zero();
  bool is_confirmed = false;
  bool is_ready = false;
  bool is_stopping = false;
  std::uint64_t members = 0;
};

/// What one service holds at the moment.
struct ServiceObservation {
  std::string_view service;
  /// Attempts that wait for a slot.
  std::uint64_t waiting_attempts = 0;
  /// Queries neither finished nor refused.
  std::uint64_t in_flight = 0;
};

/// The process's metrics; all calls from any thread.
class Metrics {
 public:
  static std::unique_ptr<Metrics> Create();
  virtual ~Metrics() = default;

  virtual void Observe(const SearchObservation& search) = 0;
  virtual void Observe(const ServiceObservation& service) = 0;
  virtual void Observe(const ControlObservation& control) = 0;
  virtual void SetConnections(ConnectionKind kind, std::uint64_t open) = 0;
  /// Counts a call to the key-value service.
  virtual void CountStoreCall(StoreOutcome outcome) = 0;
  /// Counts a request handed to another daemon.
  virtual void CountForward(ForwardResult result) = 0;
  /// All metrics in the Prometheus text format.
  virtual std::string Text() const = 0;
};

}  // namespace bramleyspoke
