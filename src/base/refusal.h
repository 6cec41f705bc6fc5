#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "base/verdict.h"

namespace bramleyspoke {

/// Why a request got no answer, or not a whole one.
enum class RefusalReason {
  kBadRequest,
  kUnknownService,
  kOverloaded,
  kCallerLimit,
  kDeadlinePassed,
  kNoReplica,
  kNoSnapshot,
  kCrashSuspect,
  kIdNotIssued,
  kIdExpired,
  kIdReused,
  kHolderUnreachable,
  kHolderGone,
  kNotReady,
  kShuttingDown,
  kTooLarge,
  kLost,
};

/// Snake-case name as used in JSON, logs and metrics.
std::string_view ToString(RefusalReason reason);
std::optional<RefusalReason> ParseRefusalReason(std::string_view name);

/// Final answer to a request that was given up on.
struct Refusal {
  RefusalReason reason = RefusalReason::kBadRequest;
  Verdict verdict = Verdict::kNotRun;
  std::string detail;
  /// When the caller should come back; absent when asking again is pointless.
  std::optional<Duration> retry_after;
};

}  // namespace bramleyspoke
