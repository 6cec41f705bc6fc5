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

/// One request sent to one leaf, for one shard of a caller's request.
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
  /// The attempt times out at this time; the leaf receives the time left.
  TimePoint deadline;
};

/// How an attempt ended.
enum class AttemptResult {
  /// The leaf responded with hits of the requested shard and version.
  kAnswered,
  /// The leaf reported that the attempt did not run, with a `reason`.
  kRefused,
  /// Not sent: no connection was available, or the deadline had passed.
  kNotSent,
  /// The connection was lost after sending: the attempt may have run and may
  /// have crashed the leaf.
  kLost,
  /// No response by the deadline: the attempt may have run.
  kTimedOut,
  /// Cancelled by this process; the leaf may have run the attempt.
  kCancelled,
  /// The response belongs to another attempt or is malformed: the attempt may
  /// have run.
  kWrongAnswer,
};

/// Why a leaf refused an attempt.
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
  /// For `kAnswered`, the share of the shard that was searched, 0 to 1; less
  /// than 1 for a partial response.
  double covered = 0;
  /// The leaf's drain notice, which any response may carry.
  bool draining = false;
  /// Load as the leaf reports it, 0 to 1; may be outdated or wrong.
  std::optional<double> reported_load;
  /// Identifies one run of the leaf's process; changes when it restarts.
  std::string incarnation;
};

/// Response of a leaf's status endpoint; may be outdated.
struct LeafStatus {
  std::vector<IndexVersion> versions;
  bool draining = false;
  std::optional<double> reported_load;
  std::string incarnation;
};

/// A leaf's report that this run of its process is draining; passed on to
/// peers.
struct DrainNotice {
  Endpoint leaf;
  std::string incarnation;

  bool operator==(const DrainNotice&) const = default;
};

std::string_view ToString(AttemptResult result);
std::string_view ToString(LeafReason reason);
std::optional<LeafReason> ParseLeafReason(std::string_view name);

/// Client of the leafs; the implementation pools the connections.
class BackendServer {
 public:
  virtual ~BackendServer() = default;
  /// Sends `attempt`; `done` is called exactly once, unless the client is
  /// destroyed first.
  virtual void Send(const Endpoint& leaf,
                    const Attempt& attempt,
                    std::function<void(AttemptOutcome)> done) = 0;
  /// Asks the leaf to cancel the attempt, whose `done` is still called.
  virtual void Cancel(const Endpoint& leaf, const std::string& attempt_id) = 0;
  /// Calls `done` with the status, or with nullopt if it could not be fetched.
  virtual void FetchStatus(
      const Endpoint& leaf,
      std::function<void(std::optional<LeafStatus>)> done) = 0;
};

}  // namespace bramleyspoke
