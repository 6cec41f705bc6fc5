#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "base/verdict.h"

namespace bramleyspoke {

/// Reason why a request was refused or failed.
enum class RefusalReason {
  kBadRequest,
  kUnknownService,
  kOverloaded,
  kCallerLimit,
  kDeadlinePassed,
  kNoReplica,
  /// The leafs named request rates, and this daemon's part of them is used up.
  kLeafRateLimit,
  /// The leafs asked this daemon for a pause.
  kLeafPaused,
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

/// Snake-case name, as used in JSON, logs and metrics.
std::string_view ToString(RefusalReason reason);
std::optional<RefusalReason> ParseRefusalReason(std::string_view name);

/// Final response to a request that was refused or failed.
struct Refusal {
  RefusalReason reason = RefusalReason::kBadRequest;
  Verdict verdict = Verdict::kNotRun;
  std::string detail;
  /// Time after which the caller should retry; absent if a retry is pointless.
  std::optional<Duration> retry_after;
};

}  // namespace bramleyspoke
