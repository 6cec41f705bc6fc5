#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "request/leaf_book.h"
#include "request/relay.h"
#include "request/relay_engine.h"

namespace bramleyspoke {

/// One service's part in a request: all of it, or one shard.
struct RelayEngine::Part {
  RelayService* service = nullptr;
  /// Of the request at this service.
  std::uint64_t fingerprint = 0;
  std::vector<SendNumber> running;
  /// Leafs that had their try.
  std::vector<std::shared_ptr<RelayLeaf>> tried;
  /// Leafs at which it may have run.
  std::uint32_t runs = 0;
  std::uint32_t sends = 0;
  /// The last send reached no leaf, so the next one is no repeat.
  bool is_next_free = true;
  std::optional<HttpResponse> answer;
  std::shared_ptr<RelayLeaf> answered_by;
  std::uint32_t hedges = 0;
  /// A peer's answer covers it.
  bool is_covered = false;
  /// Set while a peer was asked for it.
  std::optional<SendNumber> delegation;
  std::optional<HttpResponse> failure;
  bool is_failed = false;
  /// Set if a peer still runs it, though its answer left it out.
  std::shared_ptr<const Delegated> pending;
  /// Told to the peer that asked for it.
  bool is_delivered = false;
  std::optional<WaitingPart> waiting;
  std::optional<TimePoint> hedge_at;
  std::optional<TimePoint> retry_at;
  Verdict verdict = Verdict::kNotRun;

  bool IsAnswered() const { return answer || is_covered; }
  bool IsOpen() const { return !IsAnswered() && !is_failed; }
  PartEnd End() const;
  /// Took more than one sending and its answer.
  bool IsOdd() const { return !IsAnswered() || sends > 1; }
  OddPart Describe(TimePoint now) const;
};

/// A request under way.
struct RelayEngine::Request {
  RelayNumber number = 0;
  RelayRequest request;
  std::vector<Part> parts;
  std::vector<HttpResponse> peer_answers;
  std::uint32_t sends = 0;
  std::uint32_t repeats = 0;
  std::optional<TimePoint> timer;
  /// Set while a peer that got a part of the answer may ask for the rest.
  std::optional<TimePoint> lingers_until;

  const Route& TheRoute() const { return *request.route; }
  bool IsIdempotent() const {
    return TheRoute().kind == RequestKind::kIdempotent;
  }
};

/// One sending of a part to a leaf.
struct RelayEngine::Sending {
  RelayNumber request = 0;
  std::size_t part = 0;
  std::shared_ptr<RelayLeaf> leaf;
  RelayService* service = nullptr;
  std::uint64_t fingerprint = 0;
  std::string kind;
  TimePoint sent;
};

/// Some of a request's parts, as handed to a peer.
struct RelayEngine::Delegated {
  RelayNumber request = 0;
  std::vector<std::size_t> parts;
  /// Of the parts, in their order.
  std::vector<RelayService*> services;
  std::shared_ptr<PeerState> peer;
  std::string kind;
  TimePoint sent;
  /// The delegation that this one continues.
  std::shared_ptr<const Delegated> continued;
};

}  // namespace bramleyspoke
