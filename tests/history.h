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

/// How a caller's send of a request ended for the caller.
enum class CallerEnd {
  kAnswered,
  kRefused,
  /// No connection could be had: never sent.
  kNotSent,
  /// The connection broke after sending.
  kLost,
  /// The caller gave up waiting.
  kTimedOut,
};

/// One send of a request, as its caller saw it.
struct CallerEvent {
  Endpoint daemon;
  std::string service;
  /// Id that the caller sent; empty if it left the id to the daemon.
  std::string sent_id;
  /// Id that came back.
  std::string request_id;
  /// Unique to the request; each hit's text repeats it.
  std::string query;
  std::uint32_t limit = 0;
  /// When the first send was due.
  TimePoint intended_at;
  TimePoint sent_at;
  TimePoint ended_at;
  /// When the caller was told to use the daemon's address.
  TimePoint address_got_at;
  /// End of the time for which the caller may use the daemon's address.
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

/// One row of a leaf's execution log.
struct LeafEvent {
  /// Position in the log of its process.
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

/// A generation reported in force by a daemon that was ready.
struct GenerationEvent {
  TimePoint at;
  std::string daemon;
  std::string incarnation;
  std::uint64_t generation = 0;
};

/// One write of the manifest's head, as the store has it.
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

/// What an operator was told of a publish.
struct PublishEvent {
  TimePoint ended_at;
  std::string publish_id;
  PublishEnd end = PublishEnd::kUnknown;
  /// Generation given to it when accepted.
  std::uint64_t generation = 0;
};

/// A leaf began to leave.
struct LeavingEvent {
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

/// What the checker has to know of a service.
struct ServiceFacts {
  bool is_idempotent = true;
  /// Hits that a leaf finds for each query in a shard; 0 if it varies.
  std::uint32_t hits_per_shard = 0;
  /// Number of shards by layout.
  std::map<std::string, std::uint32_t> layouts;
};

/// All that was seen of a run, from outside of the daemons.
struct History {
  std::map<std::string, ServiceFacts> services;
  std::vector<CallerEvent> callers;
  std::vector<LeafEvent> leafs;
  std::vector<GenerationEvent> generations;
  std::vector<StoreEvent> store;
  std::vector<PublishEvent> publishes;
  std::vector<LeavingEvent> leaving;
  std::vector<StopEvent> stops;
};

/// Reads an execution log in JSON lines.
std::vector<LeafEvent> ParseLeafLog(std::string_view lines);

}  // namespace bramleyspoke
