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

/// Number of an attempt; the attempt id without the engine's prefix.
using AttemptNumber = std::uint64_t;

enum class TaskState {
  /// Held back until the request is proven.
  kHeld,
  /// Waits for a slot.
  kWaiting,
  kRunning,
  /// Waits to try its replicas once more.
  kBackingOff,
  kAnswered,
  /// Given up: the shard is not covered.
  kMissing,
};

/// One shard's part of a query.
struct ShardTask {
  TaskState state = TaskState::kHeld;
  /// Bit set of the replicas tried in this round.
  std::uint64_t tried = 0;
  std::uint32_t rounds = 0;
  std::uint32_t attempts = 0;
  /// Its place in the queue.
  TimePoint wait_deadline;
  std::uint64_t wait_sequence = 0;
  /// Open canary, if the task is one.
  std::optional<CanaryId> canary;
  /// In flight; the second one is a hedge.
  std::vector<AttemptNumber> running;
  TimePoint last_sent;
  TimePoint retry_at;
  bool is_version_missing = false;
  /// The next attempt repeats one that may have run.
  bool is_repeat = false;

  bool IsDone() const {
    return state == TaskState::kAnswered || state == TaskState::kMissing;
  }
};

/// Why a query is to end without an answer.
struct QueryEnd {
  RefusalReason reason = RefusalReason::kLost;
  std::string detail;
  std::optional<Duration> retry_after;
};

/// A query from its submission to its one end.
struct Query {
  QueryNumber number = 0;
  SearchRequest request;
  std::shared_ptr<const ServiceRoute> route;
  /// When its end is sent off, a moment before the caller's deadline.
  TimePoint end_by;
  TimePoint snapshot_by;
  std::uint64_t fingerprint = 0;

  /// Set when the snapshot is chosen, once per epoch.
  std::optional<Snapshot> snapshot;
  /// Counts the times it was begun whole.
  std::uint32_t epoch = 0;
  std::vector<ShardTask> tasks;
  std::size_t open_tasks = 0;
  std::optional<AnswerMerger> merger;
  std::optional<CoverageCounter> coverage;
  bool is_held = false;

  Verdict verdict = Verdict::kNotRun;
  /// Worst that became of an attempt, as a reason to tell.
  RefusalReason worst = RefusalReason::kNoReplica;
  std::uint32_t attempts = 0;
  /// Attempts whose outcome has not come.
  std::uint32_t in_flight = 0;
  /// Set when it is to end with a refusal.
  std::optional<QueryEnd> end;
  bool is_expired = false;
  /// Its version went away; to be begun again whole.
  bool wants_restart = false;

  /// Nothing more is sent for it.
  bool IsOver() const { return end || is_expired || wants_restart; }
  bool IsIdempotent() const { return route->spec.idempotent; }
};

/// What became of an attempt, for the verdict.
Verdict VerdictOf(const AttemptOutcome& outcome);

}  // namespace bramleyspoke
