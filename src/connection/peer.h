#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/backend_server.h"
#include "connection/http_message.h"
#include "connection/key_value_store.h"
#include "version/routing_table.h"
#include "version/store_knowledge.h"

namespace bramleyspoke {

/// State of a member. Of two updates with the same version, the one with the
/// higher value wins.
enum class MemberState : std::uint8_t {
  kAlive,
  kSuspect,
  kLeaving,
  kDead,
};

/// One daemon's state as gossip carries it.
struct MemberUpdate {
  DaemonAddress address;
  MemberState state = MemberState::kAlive;
  /// The update with the highest version wins. The version starts at the
  /// daemon's incarnation, which is fixed for a run of its process. Only the
  /// daemon itself raises the version: to refute an update from another daemon,
  /// after a pause of its process, and when it starts to leave.
  std::uint64_t version = 0;

  bool operator==(const MemberUpdate&) const = default;
};

/// Crash evidence for one service and request fingerprint.
struct EvidenceNotice {
  std::string service;
  std::uint64_t fingerprint = 0;
  std::uint32_t crashes = 0;
  /// Identifies the evidence: notices with another id are about other crashes.
  std::uint64_t id = 0;
  /// Time since the crashes.
  Duration age{0};
  /// Whether a leaf has answered the request since.
  bool is_survived = false;
  /// Fingerprint of all requests that differ in their query only; 0 if not
  /// known.
  std::uint64_t resource = 0;

  bool operator==(const EvidenceNotice&) const = default;
};

/// Digest of one bucket of a daemon's member list; two daemons compare digests
/// to find differences.
struct BucketDigest {
  /// Number of buckets, a power of two; 0: no digest.
  std::uint32_t count = 0;
  std::uint32_t bucket = 0;
  std::uint64_t digest = 0;

  bool operator==(const BucketDigest&) const = default;
};

/// Request or reply of one gossip exchange between two daemons.
struct GossipMessage {
  MemberUpdate sender;
  std::vector<MemberUpdate> members;
  /// Generation of the manifest, or version of a relay's routes, that the
  /// sender uses; 0 if none.
  std::uint64_t generation = 0;
  std::string root;
  /// Time since the store last confirmed `generation`.
  Duration confirmed_ago = Duration::zero();
  std::vector<EvidenceNotice> evidence;
  std::vector<DrainNotice> drains;
  /// Whether the reply should contain the whole member list.
  bool want_all = false;
  /// If the receiver's digest differs, its reply contains members of this
  /// bucket.
  BucketDigest bucket;
};

/// Response to a forwarded caller request, in the caller protocol's format.
struct ForwardReply {
  int status = 0;
  std::string body;
};

/// How a call to a peer ended.
enum class ForwardResult {
  kReplied,
  /// The call was never sent; the peer did not execute it.
  kNotSent,
  /// The call was sent but got no response; the peer may have executed it.
  kLost,
};

struct ForwardOutcome {
  ForwardResult result = ForwardResult::kNotSent;
  ForwardReply reply;
};

/// Delegation of some shards of a caller's fan-out, or of a whole request to
/// one service, to a peer that is nearer to the leafs or that reaches them.
struct ShardQuery {
  std::string request_id;
  HttpRequest request;
  std::string route;
  std::vector<std::string> shards;
  /// Set for a whole request; `shards` is then empty. In the answer, the
  /// service counts as the only shard.
  std::string service;
  bool is_idempotent = true;
  /// By shard, whether the querying daemon may also send it to leafs.
  std::vector<bool> bypassable;
  /// By shard, whether the request was credited to the retry budget before.
  std::vector<bool> credited;
  std::uint32_t max_attempts = 1;
  std::uint32_t result_limit = 0;
  std::uint32_t priority = 0;
  /// Time until which the caller waits.
  TimePoint deadline;
  /// When the peer should respond with the shards covered by then.
  TimePoint answer_by;
  /// At the peer, when the query arrived: before it was read, if it waited.
  TimePoint arrived;
  /// Identifies the delegation at the querying daemon; a continuation has its
  /// delegation's. A request may be delegated to one peer more than once.
  std::uint64_t delegation = 0;
  /// Whether the query is for shards that an earlier response to this request
  /// left pending; the peer then already has the request, and `request` and
  /// `route` are not set.
  bool is_continuation = false;
};

/// A shard that a peer's response does not cover.
struct UncoveredShard {
  /// Index in the query's shard list.
  std::size_t place = 0;
  /// Number of leafs that may have executed the request.
  std::uint32_t possible_runs = 0;
  /// Whether the shard is still queried; a continuation can get its response.
  bool is_pending = false;
  /// Whether it may have reached a leaf, which may have rejected it.
  bool is_sent = false;

  bool MayHaveArrived() const { return is_sent || possible_runs > 0; }
};

/// The last stall of a leaf near a peer.
struct StallNotice {
  /// Index of the leaf's shard in the query's shard list.
  std::size_t shard = 0;
  /// Index of the leaf among the shard's leafs, sorted by id.
  std::size_t leaf = 0;
  Duration ended_ago{0};
  Duration length{0};
};

/// Response to a `ShardQuery`: the merged records of the covered shards, or a
/// leaf's response to a whole request.
struct ShardAnswer {
  /// Indexes in the query's shard list of the shards that `response` covers.
  std::vector<std::size_t> covered;
  std::vector<UncoveredShard> uncovered;
  HttpResponse response;
  /// Processing time in the peer, without network latency.
  Duration processing_time{0};
  std::vector<StallNotice> stalls;
  /// Version of the peer's routes; 0 if the store is unavailable to it.
  std::uint64_t version = 0;
  /// Whether the peer reaches no leafs.
  bool is_cut_off = false;
};

/// Watch of the store's changes at a peer that follows the store.
struct PeerWatch {
  /// Era of the store that `revision` belongs to.
  std::uint64_t era = 0;
  /// Changes after this revision are wanted.
  std::int64_t revision = 0;
  /// Longest time to wait for a change.
  Duration wait{0};
};

/// How a shard query to a peer ended; `answer` is set only for `kReplied`.
struct ShardOutcome {
  ForwardResult result = ForwardResult::kNotSent;
  ShardAnswer answer;
};

/// A call in flight. Destroying it cancels the call asynchronously: until the
/// implementation's thread has processed the cancellation, the callback may
/// still be called.
class PeerCall {
 public:
  virtual ~PeerCall() = default;
};

/// Calls to other daemons. Callbacks run on the implementation's thread.
class PeerNetwork {
 public:
  virtual ~PeerNetwork() = default;
  /// `done` gets nothing if no reply arrived within `timeout`.
  virtual void Gossip(
      const Endpoint& peer,
      const GossipMessage& message,
      Duration timeout,
      std::function<void(std::optional<GossipMessage>)> done) = 0;
  /// Asks `peer` to ping `target`; `done` gets whether `target` responded.
  virtual void PingVia(const Endpoint& peer,
                       const Endpoint& target,
                       Duration timeout,
                       std::function<void(bool)> done) = 0;
  virtual void Forward(const Endpoint& peer,
                       const std::string& body,
                       Duration timeout,
                       std::function<void(ForwardOutcome)> done) = 0;
  /// `done` gets nothing if the call failed; parts that `peer` does not have
  /// are empty strings.
  virtual void FetchParts(
      const Endpoint& peer,
      const std::vector<std::string>& hashes,
      Duration timeout,
      std::function<void(std::optional<std::vector<std::string>>)> done) = 0;
  /// `done` gets nothing if the call failed or the implementation does not
  /// support it.
  virtual void FetchKnowledge(
      const Endpoint& /*peer*/,
      Duration /*timeout*/,
      std::function<void(std::optional<StoreKnowledge>)> done) {
    done(std::nullopt);
  }
  /// `done` gets `kHistoryGone` if the peer does not know all changes after the
  /// revision, `kRefused` if it no longer follows the store, and `kUnknown` if
  /// the call failed or the implementation does not support it.
  virtual void WatchStore(const Endpoint& /*peer*/,
                          const PeerWatch& /*watch*/,
                          Duration /*timeout*/,
                          std::function<void(KeyValueChanges)> done) {
    done({});
  }
  /// Returns null, without calling `done`, if the implementation does not
  /// support the call.
  virtual std::unique_ptr<PeerCall> QueryShards(
      const Endpoint& /*peer*/,
      const ShardQuery& /*query*/,
      std::function<void(ShardOutcome)> /*done*/) {
    return nullptr;
  }
};

/// Handles calls from other daemons, on the implementation's thread.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  virtual void OnGossip(GossipMessage message,
                        std::function<void(GossipMessage)> reply) = 0;
  virtual void OnPingVia(const Endpoint& target,
                         std::function<void(bool)> reply) = 0;
  virtual void OnForward(std::string body,
                         Duration time_left,
                         std::function<void(ForwardReply)> reply) = 0;
  virtual void OnFetchParts(
      std::vector<std::string> hashes,
      std::function<void(std::vector<std::string>)> reply) = 0;
  virtual void OnFetchKnowledge(std::function<void(StoreKnowledge)> reply) {
    reply({});
  }
  virtual void OnWatchStore(const PeerWatch& /*watch*/,
                            std::function<void(KeyValueChanges)> reply) {
    KeyValueChanges changes;
    changes.status = KeyValueStatus::kHistoryGone;
    reply(std::move(changes));
  }
  /// Returns a function that may be called from any thread. The server calls it
  /// when the querying peer cancels the call, and also after a reply, when it
  /// must have no effect. A handler that serves no shards never replies.
  virtual std::function<void()> OnQueryShards(
      ShardQuery /*query*/,
      std::function<void(ShardAnswer)> /*reply*/) {
    return [] {};
  }
};

}  // namespace bramleyspoke
