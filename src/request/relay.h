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
#include "connection/exchange_position.h"
#include "connection/http_message.h"
#include "connection/peer.h"
#include "request/leaf_load.h"
#include "request/leaf_notice.h"
#include "version/route_table.h"

namespace bramleyspoke {

/// Identifies a relayed request; unique in the process.
using RelayNumber = std::uint64_t;
/// Identifies an attempt or a delegation; unique in the process.
using RelayAttemptNumber = std::uint64_t;

/// A caller's request and the route that it matched.
struct RelayRequest {
  std::string request_id;
  /// Keeps `route` alive when a newer table is installed.
  std::shared_ptr<const RouteTable> table;
  const Route* route = nullptr;
  /// Hash of the request's content, by which a request that crashes leafs is
  /// recognized.
  std::uint64_t fingerprint = 0;
  /// Hash shared by all requests that differ from it in their query only; 0 if
  /// not known.
  std::uint64_t resource = 0;
  /// Time until which the caller waits.
  TimePoint deadline;
  /// Latest time at which an answer reaches the caller within the route's
  /// target latency.
  TimePoint answer_by;
  /// Delegated by a peer to this daemon: at `answer_by` the answer goes out
  /// with any coverage, and no part is delegated further.
  bool is_for_peer = false;
  /// By shard, whether the delegating daemon may also send it to leafs; empty
  /// if it may not.
  std::vector<bool> bypassable;
  /// By shard, whether the request was credited to the retry budget before, by
  /// the delegating daemon or another peer.
  std::vector<bool> credited;
};

/// How an attempt ended.
enum class LeafReplyKind {
  /// The leaf responded with success, and the response is complete.
  kSucceeded,
  /// The leaf ran the request and responded with a failure.
  kFailed,
  /// The leaf reported that it did not run the request.
  kRefused,
  /// The address belongs to another leaf now, which did not run the request.
  kOtherLeaf,
  /// No connection could be opened.
  kNotSent,
  /// The connection broke after sending had begun.
  kLost,
  /// No response by the deadline.
  kTimedOut,
  /// The response is malformed or belongs to another request.
  kMalformed,
};

std::string_view ToString(LeafReplyKind kind);
/// Whether a request whose attempt ended so has run at the leaf.
Verdict VerdictOf(LeafReplyKind kind);

struct LeafReply {
  LeafReplyKind kind = LeafReplyKind::kNotSent;
  /// Set for `kSucceeded` and `kFailed`.
  HttpResponse response;
  std::optional<ReportedLoad> load;
  /// Empty if the reply has no response of the leaf that was attempted.
  std::optional<LeafAnnouncement> announcement;
  /// A new connection was closed before any data arrived.
  bool is_connection_refused = false;
  /// Network round-trip time, as part of the attempt's latency, if known.
  std::optional<Duration> round_trip;
  ExchangePosition position;
};

/// Why a request was not answered.
struct RelayRefusal {
  RefusalReason reason = RefusalReason::kNoReplica;
  Verdict verdict = Verdict::kNotRun;
  std::optional<Duration> retry_after;
};

/// Why the wait for a request's parts ended.
enum class WaitEnd {
  /// All parts were answered or had failed.
  kAllEnded,
  /// The answer was due, and its coverage was sufficient.
  kAnswerDue,
  kDeadline,
};

std::string_view ToString(WaitEnd end);

/// State of a part when its request ended.
enum class PartState {
  kAnswered,
  /// Covered by a peer's answer.
  kCovered,
  kFailed,
  /// Neither answered nor failed.
  kOpen,
};

std::string_view ToString(PartState end);

/// A part that was not answered, or needed more than one attempt; for the log.
struct PartReport {
  std::string service;
  PartState end = PartState::kOpen;
  /// Ids of the leafs that were attempted, in order; if there was no attempt,
  /// all leafs of the service, each as "id:state".
  std::vector<std::string> leafs;
  std::string answered_by;
  ExchangePosition answered_on;
  /// Delegated to a peer that has not answered for it yet.
  bool is_at_peer = false;
  /// Leafs at which it ran or may have run by attempts of this daemon, those by
  /// attempts of peers, and the maximum that the route allows.
  std::uint32_t runs_here = 0;
  std::uint32_t runs_at_peers = 0;
  std::uint32_t max_attempts = 0;
  /// Attempts that were hedges.
  std::uint32_t hedges = 0;
  /// Retries and hedges that the service's retry budget had left.
  double budget = 0;
  /// Time that it waited for the retry budget.
  Duration held{0};
};

/// How a relayed request ended: with answers of leafs, or with a refusal.
struct RelayOutcome {
  /// One answer, or those of a fan-out's shards; a peer's answer covers several
  /// shards.
  std::vector<HttpResponse> answers;
  /// Indexes in the route of the shards that `answers` cover.
  std::vector<std::size_t> covered;
  /// The other shards, if the request came from a peer.
  std::vector<UncoveredShard> uncovered;
  /// The peer may request the pending shards in a continuation.
  bool is_continued = false;
  std::size_t missing_shards = 0;
  std::optional<RelayRefusal> refusal;
  /// Attempts and delegations.
  std::uint32_t sends = 0;
  /// Retries and hedges.
  std::uint32_t repeats = 0;
  /// Times that a part was handed over to a peer for lack of a leaf in reach.
  std::uint32_t hand_overs = 0;
  WaitEnd wait_end = WaitEnd::kAllEnded;
  /// Reports of the first reportable parts; `reportable_parts` is the number of
  /// all.
  std::vector<PartReport> part_reports;
  std::size_t reportable_parts = 0;
};

/// An attempt to be started: the request is sent to a leaf.
struct RelayAttempt {
  RelayNumber request = 0;
  RelayAttemptNumber number = 0;
  std::string leaf_id;
  Endpoint address;
  TimePoint deadline;
  /// When the leaf is to give the attempt up; `deadline` or earlier.
  TimePoint leaf_deadline;
};

/// A delegation to be sent: shards, or the service of a whole request, that a
/// peer queries at its leafs.
struct RelayDelegation {
  RelayNumber request = 0;
  RelayAttemptNumber number = 0;
  /// `number`, or that of the delegation that this one continues.
  RelayAttemptNumber origin = 0;
  Endpoint peer;
  std::vector<std::string> shards;
  /// Number of shards; also set for a continuation, which names none.
  std::size_t shard_count = 0;
  /// By shard, whether this daemon may also send it to leafs.
  std::vector<bool> bypassable;
  /// By shard, whether the request was credited to the retry budget before.
  std::vector<bool> credited;
  /// Maximum number of leafs to which the peer may send each shard.
  std::uint32_t max_attempts = 1;
  TimePoint deadline;
  /// Time by which the peer should answer.
  TimePoint answer_by;
  /// Requests the shards that the peer's first answer left pending.
  bool is_continuation = false;
};

/// How a delegation ended.
struct DelegationReply {
  /// `kSucceeded`, `kNotSent` or `kLost`.
  LeafReplyKind kind = LeafReplyKind::kNotSent;
  /// Indexes in the delegation's shards of those that `answer` covers.
  std::vector<std::size_t> covered;
  std::vector<UncoveredShard> uncovered;
  HttpResponse answer;
  /// Whether the peer reaches no leafs.
  bool is_cut_off = false;
  /// Time from the delegation's arrival at the peer to its answer.
  Duration processing_time{0};
  std::vector<StallNotice> stalls;
};

struct RelayFinish {
  RelayNumber request = 0;
  RelayOutcome outcome;
};

/// An attempt or a delegation that failed; for the log.
struct FailedAttempt {
  RelayNumber request = 0;
  std::string leaf_id;
  std::string service;
  LeafReplyKind kind = LeafReplyKind::kNotSent;
  Duration taken{0};
  /// Fingerprint of the request's content; 0 for a delegation.
  std::uint64_t fingerprint = 0;
  ExchangePosition position;
};

/// A request that begins to wait for the retry budget; for the log.
struct HeldRequest {
  RelayNumber request = 0;
  std::string service;
  /// Retries and hedges that the service's retry budget has left.
  double budget = 0;
  /// Requests that get a retry before it.
  std::size_t ahead = 0;
  /// Time in which new requests are expected to refill the budget.
  Duration expected{0};
  /// Time in which a retry could still be answered.
  Duration time_left{0};
};

/// A leaf's response that does not belong to the request for which one is
/// awaited; for the log.
struct SkippedResponse {
  std::string request_id;
  std::string leaf_id;
  std::string echoed_id;
  int status = 0;
  ExchangePosition position;
};

/// Actions that the engine's owner carries out after an event, in this order.
struct RelayActions {
  std::vector<RelayAttempt> sends;
  std::vector<RelayDelegation> delegations;
  /// Attempts and delegations to cancel, as their replies are no longer needed.
  std::vector<RelayAttemptNumber> cancellations;
  std::vector<RelayFinish> finishes;
  /// Set if unused connections that were opened before this time are to be
  /// closed, before anything is sent.
  std::optional<TimePoint> close_unused_before;
  /// Leafs to which a connection is to be tried.
  std::vector<Endpoint> probes;
};

}  // namespace bramleyspoke
