#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "request/leaf_book.h"
#include "request/relay.h"
#include "request/relay_engine.h"

namespace bramleyspoke {

/// One service's part of a request: the whole request, or one shard of it.
struct RelayEngine::Part {
  RelayService* service = nullptr;
  /// Fingerprint of the request at this service.
  std::uint64_t fingerprint = 0;
  /// Outstanding attempts.
  std::vector<SendNumber> running;
  /// Leafs that were attempted.
  std::vector<std::shared_ptr<RelayLeaf>> tried;
  /// Number of leafs at which the part ran or may have run.
  std::uint32_t runs = 0;
  std::uint32_t sends = 0;
  /// The next attempt is not charged to the retry budget, as the last one
  /// reached no leaf.
  bool is_next_free = true;
  std::optional<HttpResponse> answer;
  std::shared_ptr<RelayLeaf> answered_by;
  std::uint32_t hedges = 0;
  /// A peer's answer covers it.
  bool is_covered = false;
  /// Set while a delegation of the part is outstanding.
  std::optional<SendNumber> delegation;
  std::optional<HttpResponse> failure;
  bool is_failed = false;
  /// Set if a peer's answer left the part out while the peer still runs it.
  std::shared_ptr<const Delegated> pending;
  /// An answer to the delegating peer has included the part.
  bool is_delivered = false;
  std::optional<WaitingPart> waiting;
  std::optional<TimePoint> hedge_at;
  std::optional<TimePoint> retry_at;
  Verdict verdict = Verdict::kNotRun;

  bool IsAnswered() const { return answer || is_covered; }
  bool IsOpen() const { return !IsAnswered() && !is_failed; }
  PartEnd End() const;
  /// Whether the part was not answered, or needed more than one attempt.
  bool IsOdd() const { return !IsAnswered() || sends > 1; }
  OddPart Describe(TimePoint now) const;
};

/// A request in flight.
struct RelayEngine::Request {
  RelayNumber number = 0;
  RelayRequest request;
  std::vector<Part> parts;
  std::vector<HttpResponse> peer_answers;
  std::uint32_t sends = 0;
  std::uint32_t repeats = 0;
  std::optional<TimePoint> timer;
  /// Set while a peer that got an incomplete answer may send a continuation.
  std::optional<TimePoint> lingers_until;

  const Route& TheRoute() const { return *request.route; }
  bool IsIdempotent() const {
    return TheRoute().kind == RequestKind::kIdempotent;
  }
};

/// One attempt: a part of a request sent to a leaf.
struct RelayEngine::Sending {
  RelayNumber request = 0;
  std::size_t part = 0;
  std::shared_ptr<RelayLeaf> leaf;
  RelayService* service = nullptr;
  std::uint64_t fingerprint = 0;
  std::string kind;
  TimePoint sent;
};

/// Parts of a request that were delegated to a peer.
struct RelayEngine::Delegated {
  RelayNumber request = 0;
  std::vector<std::size_t> parts;
  /// Services of `parts`, in the same order.
  std::vector<RelayService*> services;
  std::shared_ptr<PeerState> peer;
  std::string kind;
  TimePoint sent;
  /// The delegation that this one continues.
  std::shared_ptr<const Delegated> continued;
};

}  // namespace bramleyspoke
