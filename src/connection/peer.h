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
#include "version/routing_table.h"
#include "version/store_knowledge.h"

namespace bramleyspoke {

/// A member's state; for one version a higher value wins.
enum class MemberState : std::uint8_t {
  kAlive,
  kSuspect,
  kLeaving,
  kDead,
};

/// What daemons say of one daemon.
struct MemberUpdate {
  DaemonAddress address;
  MemberState state = MemberState::kAlive;
  /// Raised by the daemon itself only, to refute what others say of it; the
  /// higher one wins. Starts at the incarnation, which stays as it is.
  std::uint64_t version = 0;

  bool operator==(const MemberUpdate&) const = default;
};

/// Crash evidence against a request's fingerprint, for one service.
struct EvidenceNotice {
  std::string service;
  std::uint64_t fingerprint = 0;
  std::uint32_t crashes = 0;

  bool operator==(const EvidenceNotice&) const = default;
};

/// Digest of a part of a daemon's members, by which two find differences.
struct BucketDigest {
  /// Number of buckets, a power of two; 0: no digest.
  std::uint32_t count = 0;
  std::uint32_t bucket = 0;
  std::uint64_t digest = 0;

  bool operator==(const BucketDigest&) const = default;
};

/// One exchange between two daemons.
struct GossipMessage {
  MemberUpdate sender;
  std::vector<MemberUpdate> members;
  std::uint64_t generation = 0;
  std::string root;
  /// How long ago the store confirmed `generation`.
  Duration confirmed_ago = Duration::zero();
  std::vector<EvidenceNotice> evidence;
  std::vector<DrainNotice> drains;
  /// Asks for the whole member list in the reply.
  bool want_all = false;
  /// The reply brings the members of this bucket if the digests differ.
  BucketDigest bucket;
};

/// A forwarded caller request's answer, as the caller protocol has it.
struct ForwardReply {
  int status = 0;
  std::string body;
};

/// What a forward came to.
enum class ForwardResult {
  kReplied,
  /// Never sent: the peer did not run it.
  kNotSent,
  /// Sent, no answer: may have run.
  kLost,
};

struct ForwardOutcome {
  ForwardResult result = ForwardResult::kNotSent;
  ForwardReply reply;
};

/// Shards of a caller's fan-out that a peer near their leafs is to ask.
struct ShardQuery {
  std::string request_id;
  HttpRequest request;
  std::string route;
  std::vector<std::string> shards;
  std::uint32_t max_attempts = 1;
  std::uint32_t result_limit = 0;
  std::uint32_t priority = 0;
  /// Until the caller gives up.
  Duration time_left{0};
  /// Until what is there by then is wanted.
  Duration answer_time{0};
  /// Asks for shards that an answer to this request left pending; the peer
  /// has the request itself.
  bool is_continuation = false;
};

/// A shard that a peer's answer leaves out.
struct UncoveredShard {
  /// Place in the query's list.
  std::size_t place = 0;
  /// Leafs at which the request may have run.
  std::uint32_t runs = 0;
  /// Still running: a continuation gets the answer.
  bool is_pending = false;
};

/// When a leaf near a peer last stalled.
struct StallNotice {
  /// Place of its shard in the query's list.
  std::size_t shard = 0;
  /// Its place among the shard's leafs by id.
  std::size_t leaf = 0;
  Duration ended_ago{0};
  Duration length{0};
};

/// What a peer answers: the shards' records, merged.
struct ShardAnswer {
  /// Places in the query's list of the shards that `answer` covers.
  std::vector<std::size_t> covered;
  std::vector<UncoveredShard> uncovered;
  HttpResponse answer;
  /// Time that the peer took, without the way.
  Duration served_in{0};
  std::vector<StallNotice> stalls;
};

/// What a query to a peer came to; no answer unless `kReplied`.
struct ShardOutcome {
  ForwardResult result = ForwardResult::kNotSent;
  ShardAnswer answer;
};

/// A call under way; destroying it ends the call, and no callback comes.
class PeerCall {
 public:
  virtual ~PeerCall() = default;
};

/// Calls to other daemons; callbacks come on the implementation's thread.
class PeerNetwork {
 public:
  virtual ~PeerNetwork() = default;
  /// `done` gets nothing when no reply came within `timeout`.
  virtual void Gossip(
      const Endpoint& peer,
      const GossipMessage& message,
      Duration timeout,
      std::function<void(std::optional<GossipMessage>)> done) = 0;
  /// Asks `peer` whether `target` answers it.
  virtual void PingVia(const Endpoint& peer,
                       const Endpoint& target,
                       Duration timeout,
                       std::function<void(bool)> done) = 0;
  virtual void Forward(const Endpoint& peer,
                       const std::string& body,
                       Duration timeout,
                       std::function<void(ForwardOutcome)> done) = 0;
  /// `done` gets nothing when the call failed; absent parts are empty.
  virtual void FetchParts(
      const Endpoint& peer,
      const std::vector<std::string>& hashes,
      Duration timeout,
      std::function<void(std::optional<std::vector<std::string>>)> done) = 0;
  /// `done` gets nothing when the call failed or the peer knows nothing.
  virtual void FetchKnowledge(
      const Endpoint& /*peer*/,
      Duration /*timeout*/,
      std::function<void(std::optional<StoreKnowledge>)> done) {
    done(std::nullopt);
  }
  virtual std::unique_ptr<PeerCall> QueryShards(
      const Endpoint& /*peer*/,
      const ShardQuery& /*query*/,
      std::function<void(ShardOutcome)> /*done*/) {
    return nullptr;
  }
};

/// Answers other daemons' calls; called on the implementation's thread.
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
  /// Returns what is to be called, from any thread, if the asking peer gives
  /// up. A handler that serves no shards never replies.
  virtual std::function<void()> OnQueryShards(
      ShardQuery /*query*/,
      std::function<void(ShardAnswer)> /*reply*/) {
    return [] {};
  }
};

}  // namespace bramleyspoke
