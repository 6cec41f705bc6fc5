#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "base/verdict.h"

namespace bramleyspoke {

/// One record found by a search.
struct Hit {
  std::string id;
  double score = 0;
  std::string text;
};

/// A version of a service's index and the shard layout it belongs to.
struct IndexVersion {
  std::uint64_t number = 0;
  std::string layout;

  bool operator==(const IndexVersion&) const = default;
};

/// What is sent to a leaf for one shard of one request.
struct Attempt {
  /// Unique over all daemons; echoed by the leaf.
  std::string attempt_id;
  std::string request_id;
  std::string service;
  IndexVersion version;
  std::uint32_t shard = 0;
  bool idempotent = true;
  std::string query;
  std::uint32_t limit = 0;
  /// Given up at this time; the leaf is told the time left.
  TimePoint deadline;
};

/// How an attempt ended.
enum class AttemptResult {
  /// Hits came, for the shard and version asked for.
  kAnswered,
  /// The leaf's word that it did not run: `reason` says why.
  kRefused,
  /// No connection could be had: not sent.
  kNotSent,
  /// Connection lost after sending: may have run, perhaps crashed the leaf.
  kLost,
  /// No answer by the deadline: may have run.
  kTimedOut,
  /// Cancelled by us; the leaf may have run it.
  kCancelled,
  /// An answer that is not to this attempt, or malformed: may have run.
  kWrongAnswer,
};

/// Why a leaf refused.
enum class LeafReason {
  kNone,
  kVersionMissing,
  kDraining,
  kShed,
  kDeadline,
  kNoSlot,
  kCancelled,
  kOther,
};

/// Outcome of one attempt.
struct AttemptOutcome {
  AttemptResult result = AttemptResult::kNotSent;
  LeafReason reason = LeafReason::kNone;
  Verdict verdict = Verdict::kNotRun;
  std::vector<Hit> hits;
  /// Share of the shard that was searched, 0 to 1; 1 unless partial.
  double covered = 0;
  /// The leaf's drain word, in any answer.
  bool draining = false;
  /// Load that the leaf reports, 0 to 1; may lag or mislead.
  std::optional<double> reported_load;
  /// Start of the leaf's process; another value means that it restarted.
  std::string incarnation;
};

/// What a leaf's status endpoint says; lags.
struct LeafStatus {
  std::vector<IndexVersion> versions;
  bool draining = false;
  std::optional<double> reported_load;
  std::string incarnation;
};

/// A leaf's own word that this run of its process is leaving, for the peers.
struct DrainNotice {
  Endpoint leaf;
  std::string incarnation;

  bool operator==(const DrainNotice&) const = default;
};

std::string_view ToString(AttemptResult result);
std::string_view ToString(LeafReason reason);
std::optional<LeafReason> ParseLeafReason(std::string_view name);

/// The leafs, reached over connections that the implementation pools.
class BackendServer {
 public:
  virtual ~BackendServer() = default;
  /// Sends `attempt`; `done` is called exactly once.
  virtual void Send(const Endpoint& leaf,
                    const Attempt& attempt,
                    std::function<void(AttemptOutcome)> done) = 0;
  /// Asks the leaf to give up; the attempt's `done` still comes.
  virtual void Cancel(const Endpoint& leaf, const std::string& attempt_id) = 0;
  /// `done` gets nothing when no status could be had.
  virtual void FetchStatus(
      const Endpoint& leaf,
      std::function<void(std::optional<LeafStatus>)> done) = 0;
};

}  // namespace bramleyspoke
