#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "request/answer_merger.h"
#include "request/coverage_counter.h"
#include "request/crash_guard.h"
#include "request/query_engine.h"
#include "request/snapshot_chooser.h"

namespace bramleyspoke {

/// Sequence number of an attempt: its attempt id without the engine's prefix.
using AttemptNumber = std::uint64_t;

enum class TaskState {
  /// Not queued: new, or held until a canary of the request is answered.
  kHeld,
  /// In the shard's queue, waiting for a slot on a replica.
  kWaiting,
  kRunning,
  /// Waiting out a backoff before its replicas are tried again.
  kBackingOff,
  kAnswered,
  /// Given up; the shard is not covered by the answer.
  kMissing,
};

/// Execution of a query on one shard.
struct ShardTask {
  TaskState state = TaskState::kHeld;
  /// Bit set of the replicas tried since the last backoff.
  std::uint64_t tried = 0;
  /// Backoffs so far.
  std::uint32_t backoffs = 0;
  std::uint32_t attempts = 0;
  /// Position in the shard's queue while `kWaiting`.
  TimePoint wait_deadline;
  std::uint64_t wait_sequence = 0;
  /// Open canary that the next attempt is sent as.
  std::optional<CanaryId> canary;
  /// Attempts in flight; the second one is a hedge.
  std::vector<AttemptNumber> running_attempts;
  TimePoint last_sent_at;
  TimePoint retry_at;
  bool is_version_missing = false;
  /// Whether the next attempt may execute the request a second time.
  bool is_repeat = false;

  bool IsDone() const {
    return state == TaskState::kAnswered || state == TaskState::kMissing;
  }
};

/// Refusal that a query is to end with.
struct PendingRefusal {
  RefusalReason reason = RefusalReason::kLost;
  std::string detail;
  std::optional<Duration> retry_after;
};

/// State of a query from its submission until it finishes.
struct Query {
  QueryNumber number = 0;
  SearchRequest request;
  std::shared_ptr<const ServiceRoute> route;
  /// Deadline of the caller less the time reserved for the response.
  TimePoint internal_deadline;
  TimePoint snapshot_by;
  std::uint64_t fingerprint = 0;

  /// Index version that the query runs on; chosen once per epoch.
  std::optional<Snapshot> snapshot;
  /// Number of restarts.
  std::uint32_t epoch = 0;
  std::vector<ShardTask> tasks;
  /// Tasks neither answered nor given up.
  std::size_t open_tasks = 0;
  std::optional<AnswerMerger> merger;
  std::optional<CoverageCounter> coverage;
  /// Whether its tasks are held until a canary is answered.
  bool is_held = false;

  Verdict verdict = Verdict::kNotRun;
  /// Most severe failure of an attempt, for the refusal if no shard answers.
  RefusalReason worst_failure = RefusalReason::kNoReplica;
  std::uint32_t attempts = 0;
  /// Attempts without an outcome yet.
  std::uint32_t in_flight = 0;
  std::optional<PendingRefusal> pending_refusal;
  /// Whether `internal_deadline` has passed.
  bool is_past_deadline = false;
  /// Whether it is to restart because its version is no longer served.
  bool needs_restart = false;

  /// Whether no further attempts are sent for it.
  bool IsOver() const {
    return pending_refusal || is_past_deadline || needs_restart;
  }
  bool IsIdempotent() const { return route->spec.idempotent; }
};

/// Whether the leaf ran, or may have run, the attempt.
Verdict VerdictOf(const AttemptOutcome& outcome);

}  // namespace bramleyspoke
