#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/refusal.h"
#include "base/time.h"
#include "base/verdict.h"
#include "connection/http_message.h"
#include "request/leaf_load.h"
#include "version/route_table.h"

namespace bramleyspoke {

/// Number of a relayed request; unique in the process.
using RelayNumber = std::uint64_t;
/// Number of one sending of a request to a leaf; unique in the process.
using SendNumber = std::uint64_t;

/// A caller's request on a route.
struct RelayRequest {
  std::string request_id;
  /// Keeps `route` alive, whatever versions come after.
  std::shared_ptr<const RouteTable> table;
  const Route* route = nullptr;
  /// The caller waits until then.
  TimePoint deadline;
  /// An answer sent until then reaches the caller within the route's target.
  TimePoint answer_by;
};

/// How one sending to a leaf ended.
enum class LeafReplyKind {
  /// A whole answer of success.
  kSucceeded,
  /// The leaf ran the request and answered with a failure.
  kFailed,
  /// The leaf's word that it did not run the request.
  kRefused,
  /// Another leaf has the address; it did not run the request.
  kOtherLeaf,
  /// No connection could be had.
  kNotSent,
  /// The connection broke after sending had begun.
  kLost,
  /// No answer by the deadline.
  kTimedOut,
  /// What came back is no answer to this request.
  kMalformed,
};

std::string_view ToString(LeafReplyKind kind);
/// Whether the request may have run at a leaf that replied so.
Verdict VerdictOf(LeafReplyKind kind);

struct LeafReply {
  LeafReplyKind kind = LeafReplyKind::kNotSent;
  /// Set for `kSucceeded` and `kFailed`.
  HttpResponse response;
  std::optional<ReportedLoad> load;
};

/// Why a request got no answer.
struct RelayRefusal {
  RefusalReason reason = RefusalReason::kNoReplica;
  Verdict verdict = Verdict::kNotRun;
  std::optional<Duration> retry_after;
};

/// How a relayed request ended: answers of leafs, or a refusal.
struct RelayOutcome {
  /// One answer, or those of a fan-out's shards.
  std::vector<HttpResponse> answers;
  std::size_t missing_shards = 0;
  std::optional<RelayRefusal> refusal;
  std::uint32_t sends = 0;
  std::uint32_t repeats = 0;
};

/// To be sent to a leaf.
struct RelaySend {
  RelayNumber request = 0;
  SendNumber number = 0;
  std::string leaf_id;
  Endpoint address;
  TimePoint deadline;
};

struct RelayFinish {
  RelayNumber request = 0;
  RelayOutcome outcome;
};

/// One sending that ended; for the log.
struct RelaySendEnd {
  RelayNumber request = 0;
  std::string leaf_id;
  std::string service;
  LeafReplyKind kind = LeafReplyKind::kNotSent;
  Duration taken{0};
};

/// What is to be done after an event, in this order.
struct RelayActions {
  std::vector<RelaySend> sends;
  std::vector<SendNumber> abandons;
  std::vector<RelayFinish> finishes;
};

}  // namespace bramleyspoke
