#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "base/verdict.h"
#include "connection/backend_server.h"
#include "request/search.h"

namespace bramleyspoke {

/// Outcome of one send of a request, as its caller saw it.
enum class CallerEnd {
  kAnswered,
  kRefused,
  /// No connection was established; the request was not sent.
  kNotSent,
  /// The connection closed before the response.
  kLost,
  /// No response within the caller's timeout.
  kTimedOut,
};

/// One send of a request by a caller.
struct CallerEvent {
  Endpoint daemon;
  std::string service;
  /// Request id in the request; empty if the daemon assigned it.
  std::string sent_id;
  /// Request id in the response.
  std::string request_id;
  /// Unique per request; the text of each of its hits contains it.
  std::string query;
  std::uint32_t limit = 0;
  /// Scheduled time of the request's first send.
  TimePoint intended_at;
  TimePoint sent_at;
  TimePoint ended_at;
  /// When the address answer with the daemon's address arrived.
  TimePoint address_received_at;
  /// End of that address answer's validity.
  TimePoint address_valid_until;
  CallerEnd end = CallerEnd::kLost;
  Verdict verdict = Verdict::kMayHaveRun;
  std::string reason;
  SearchAnswer answer;
  std::uint32_t attempts = 0;
  std::uint32_t needed = 0;
};

enum class LeafEventKind {
  kReceived,
  kStarted,
  kFinished,
  kCancelled,
  kCrashed,
  kRefused,
};

std::string_view ToString(LeafEventKind kind);

/// One entry of a leaf's execution log.
struct LeafEvent {
  /// Position in the log of the leaf's process.
  std::uint64_t sequence = 0;
  LeafEventKind kind = LeafEventKind::kReceived;
  TimePoint at;
  std::string leaf;
  std::string request_id;
  std::string attempt_id;
  std::string service;
  std::uint32_t shard = 0;
  IndexVersion version;
  bool is_idempotent = true;
};

/// A manifest generation that a ready daemon reported as in force.
struct GenerationEvent {
  TimePoint at;
  std::string daemon;
  std::string incarnation;
  std::uint64_t generation = 0;
};

/// One write of the manifest's head, as recorded in the store.
struct StoreEvent {
  std::uint64_t generation = 0;
  std::string publish_id;
};

enum class PublishEnd {
  kAccepted,
  kConflict,
  kNotPublished,
  kUnknown,
};

/// Outcome of a publish as reported to the operator.
struct PublishEvent {
  TimePoint ended_at;
  std::string publish_id;
  PublishEnd end = PublishEnd::kUnknown;
  /// Assigned generation; 0 unless accepted.
  std::uint64_t generation = 0;
};

/// Start of a leaf's drain.
struct DrainEvent {
  TimePoint at;
  std::string leaf;
};

/// A planned stop of a daemon, from SIGTERM to its exit.
struct StopEvent {
  Endpoint daemon;
  TimePoint began_at;
  TimePoint ended_at;
  int exit_status = 0;
};

/// Properties of a service that the checker needs.
struct ServiceProperties {
  bool is_idempotent = true;
  /// Hits per query in each shard; 0 if the number varies.
  std::uint32_t hits_per_shard = 0;
  /// Number of shards by layout.
  std::map<std::string, std::uint32_t> layouts;
};

/// Record of a test run as observed from outside the daemons.
struct History {
  std::map<std::string, ServiceProperties> services;
  std::vector<CallerEvent> callers;
  std::vector<LeafEvent> leafs;
  std::vector<GenerationEvent> generations;
  std::vector<StoreEvent> store;
  std::vector<PublishEvent> publishes;
  std::vector<DrainEvent> drains;
  std::vector<StopEvent> stops;
};

/// Parses an execution log in JSON Lines format.
std::vector<LeafEvent> ParseLeafLog(std::string_view lines);

}  // namespace bramleyspoke
