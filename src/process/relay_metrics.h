#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "process/counting_key_value_store.h"
#include "process/relay_front.h"

namespace bramleyspoke {

/// Current state of a relaying daemon.
struct RelayObservation {
  std::uint64_t version = 0;
  std::map<LeafState, std::size_t> by_state;
  /// Tokens left in the retry budget of the service that has the fewest.
  double least_budget = 0;
  std::size_t daemons = 0;
  std::size_t in_flight = 0;
  std::size_t caller_connections = 0;
  std::size_t leaf_connections = 0;
  std::uint64_t leaf_connections_opened = 0;
  std::uint64_t leaf_connections_replaced = 0;
  bool is_store_reachable = false;
  /// Time since the store last showed that the routes are current.
  Duration routes_unconfirmed{0};
  /// 0 until it has changed while this daemon ran.
  std::uint64_t store_era = 0;
  bool is_ready = false;
  bool is_stopping = false;
  bool is_holder = false;
  ContactState contact = ContactState::kInContact;
  RelayCounters engine;
};

/// Metrics of a relaying daemon. To be used on one thread only.
class RelayMetrics {
 public:
  static std::unique_ptr<RelayMetrics> Create();
  virtual ~RelayMetrics() = default;

  virtual void Observe(const RelayEnd& end) = 0;
  virtual void Observe(const FailedAttempt& send) = 0;
  virtual void Observe(const SkippedResponse& response) = 0;
  virtual void Observe(const CrashEvidenceEvent& event) = 0;
  virtual void Observe(const LeafNotice& notice) = 0;
  virtual void Observe(const ContactChange& change) = 0;
  virtual void Observe(StoreCallKind kind, KeyValueStatus status) = 0;
  /// All metrics in the Prometheus text format.
  virtual std::string Text(const RelayObservation& observation) = 0;
};

}  // namespace bramleyspoke
