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
#include "connection/peer.h"
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
  /// Of what it asks for, by which one that ends leafs is known again.
  std::uint64_t fingerprint = 0;
  /// The caller waits until then.
  TimePoint deadline;
  /// An answer sent until then reaches the caller within the route's target.
  TimePoint answer_by;
  /// Asked by a peer for its own region's leafs: what is there by `answer_by`
  /// is wanted, however little, and nothing is handed on.
  bool is_for_peer = false;
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
  /// A new connection ended before it brought anything.
  bool is_connection_refused = false;
  /// Part of the latency that the way there and back took, if known.
  std::optional<Duration> way;
};

/// Why a request got no answer.
struct RelayRefusal {
  RefusalReason reason = RefusalReason::kNoReplica;
  Verdict verdict = Verdict::kNotRun;
  std::optional<Duration> retry_after;
};

/// Why a request was waited for no longer.
enum class WaitEnd {
  /// All parts had ended.
  kAllEnded,
  /// Its answer was due, and covered enough.
  kAnswerDue,
  kDeadline,
};

std::string_view ToString(WaitEnd end);

/// How far a part had come when its request ended.
enum class PartEnd {
  kAnswered,
  /// In a peer's answer.
  kCovered,
  kFailed,
  /// Still waited for.
  kOpen,
};

std::string_view ToString(PartEnd end);

/// A part that took more than one sending and its answer; for the log.
struct OddPart {
  std::string service;
  PartEnd end = PartEnd::kOpen;
  /// Leafs that had it, in order; if none had, the service's leafs and why they
  /// could not be asked.
  std::vector<std::string> leafs;
  std::string answered_by;
  /// A peer was asked for it.
  bool is_at_peer = false;
  /// Sendings to a second leaf while the first one was silent.
  std::uint32_t hedges = 0;
  /// Repeats that the service's budget had left.
  double budget = 0;
};

/// How a relayed request ended: answers of leafs, or a refusal.
struct RelayOutcome {
  /// One answer, or those of a fan-out's shards; a peer's covers several.
  std::vector<HttpResponse> answers;
  /// Places of the shards that `answers` cover.
  std::vector<std::size_t> covered;
  /// For a peer: the other shards.
  std::vector<UncoveredShard> uncovered;
  /// For a peer: pending shards may be asked for in a continuation.
  bool is_continued = false;
  std::size_t missing_shards = 0;
  std::optional<RelayRefusal> refusal;
  std::uint32_t sends = 0;
  std::uint32_t repeats = 0;
  WaitEnd wait_end = WaitEnd::kAllEnded;
  /// Some of the odd parts, and how many there are.
  std::vector<OddPart> odd_parts;
  std::size_t odd_part_count = 0;
};

/// To be sent to a leaf.
struct RelaySend {
  RelayNumber request = 0;
  SendNumber number = 0;
  std::string leaf_id;
  Endpoint address;
  TimePoint deadline;
};

/// Shards that a peer is to ask its leafs for.
struct RelayDelegation {
  RelayNumber request = 0;
  SendNumber number = 0;
  Endpoint peer;
  std::vector<std::string> shards;
  TimePoint deadline;
  /// The peer should answer by then.
  TimePoint answer_by;
  /// Asks for what the peer's first answer left pending.
  bool is_continuation = false;
};

/// How a delegation ended.
struct DelegationReply {
  /// `kSucceeded`, `kNotSent` or `kLost`.
  LeafReplyKind kind = LeafReplyKind::kNotSent;
  /// Places in the delegation's list of the shards that `answer` covers.
  std::vector<std::size_t> covered;
  std::vector<UncoveredShard> uncovered;
  HttpResponse answer;
  /// Time that the peer took, without the way.
  Duration served_in{0};
  std::vector<StallNotice> stalls;
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
  std::vector<RelayDelegation> delegations;
  /// Sends and delegations whose outcome no longer matters.
  std::vector<SendNumber> abandons;
  std::vector<RelayFinish> finishes;
};

}  // namespace bramleyspoke
