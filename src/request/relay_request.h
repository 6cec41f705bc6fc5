#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "request/attempt_quota.h"
#include "request/leaf_table.h"
#include "request/relay.h"
#include "request/relay_engine.h"

namespace bramleyspoke {

/// A part that waits for the retry budget.
struct RelayEngine::HeldPart {
  WaitingPart place;
  TimePoint since;
};

/// One service's part of a request: the whole request, or one shard of it.
struct RelayEngine::Part {
  RelayService* service = nullptr;
  /// Outstanding attempts.
  std::vector<RelayAttemptNumber> outstanding;
  /// Leafs that were attempted.
  std::vector<std::shared_ptr<RelayLeaf>> tried;
  AttemptQuota quota;
  std::uint32_t attempts = 0;
  /// Whether an attempt that has ended may have reached a leaf.
  bool has_arrived = false;
  /// Whether the next attempt is not charged to the retry budget: it is the
  /// first one, or the first attempt or a delegation could not be sent.
  bool is_next_attempt_free = true;
  std::optional<HttpResponse> answer;
  std::shared_ptr<RelayLeaf> answered_by;
  ExchangePosition answered_on;
  std::uint32_t hedges = 0;
  /// A peer's answer covers it.
  bool is_covered = false;
  /// Set while this daemon and a peer may both send the part to leafs, without
  /// knowing of each other's attempts: leafs that changed later must not get
  /// it.
  std::optional<TimePoint> shared_since;
  /// Set while a delegation of the part is outstanding.
  std::optional<RelayAttemptNumber> delegation;
  std::optional<HttpResponse> failure;
  bool is_failed = false;
  /// Set if a peer's answer left the part out while the peer still runs it.
  std::shared_ptr<const DelegationState> pending;
  /// An answer to the delegating peer has included the part.
  bool is_delivered = false;
  std::optional<WaitingPart> waiting;
  /// Set while it waits for the retry budget.
  std::optional<HeldPart> held;
  /// Time that it waited for the retry budget before.
  Duration held_for{0};
  std::optional<TimePoint> hedge_at;
  std::optional<TimePoint> retry_at;
  /// To be handed over to a peer, as no leaf is in reach.
  bool awaits_hand_over = false;
  /// Number of delegations that were made for lack of a leaf in reach.
  std::uint32_t hand_overs = 0;
  /// What this daemon has credited to the retry budget, and what it may credit
  /// at most: a request is credited once, at all daemons together.
  double credit = 0;
  double max_credit = 1;
  /// Waits for the outcome of a trial of the request.
  bool is_held = false;
  Verdict verdict = Verdict::kNotRun;

  bool IsAnswered() const { return answer || is_covered; }
  bool IsOpen() const { return !IsAnswered() && !is_failed; }
  /// Whether the part is open, was not sent to any leaf, here or by a peer, and
  /// is not about to be.
  bool IsUnsent() const {
    return IsOpen() && attempts == 0 && is_next_attempt_free && !IsInProgress();
  }
  /// Whether an attempt or a delegation is outstanding or will be started.
  bool IsInProgress() const {
    return IsSent() || IsWaiting() || awaits_hand_over;
  }
  /// Whether an attempt or a delegation is outstanding.
  bool IsSent() const { return !outstanding.empty() || delegation || pending; }
  /// Whether it waits for a leaf or for the retry budget.
  bool IsWaiting() const { return waiting || retry_at; }
  PartState State() const;
  std::vector<const RelayLeaf*> TriedLeafs() const;
  /// Whether the part was not answered, or needed more than one attempt.
  bool IsReportable() const {
    return !IsAnswered() || attempts > 1 || quota.ReportedRuns() > 0;
  }
  PartReport Describe(const Route& route, TimePoint now) const;
};

/// A request in flight.
struct RelayEngine::Request {
  RelayNumber number = 0;
  RelayRequest request;
  std::vector<Part> parts;
  std::vector<HttpResponse> peer_answers;
  /// Attempts and delegations.
  std::uint32_t attempts = 0;
  std::uint32_t retries_and_hedges = 0;
  /// Attempts whose connection was lost.
  std::uint32_t lost_attempts = 0;
  /// Whether the request may crash the leafs that run it: until a leaf answers
  /// it, it is sent to one leaf at a time.
  bool is_doubtful = false;
  /// Whether a trial has ended without an answer.
  bool is_trial_lost = false;
  /// Whether a part was not sent because of a planned stop.
  bool is_ended_by_stop = false;
  /// Whether it was given up because the retry budget is not refilled in time.
  bool lacks_retry = false;
  std::optional<TimePoint> timer;
  /// Set while a peer that got an incomplete answer may send a continuation.
  std::optional<TimePoint> continuation_deadline;
  /// Whether the peer has asked for what its first answer left pending.
  bool is_continuation = false;

  const Route& MatchedRoute() const { return *request.route; }
  RequestPart PartAt(const RelayService& service) const {
    return {request.fingerprint, service.name, request.resource};
  }
  bool IsAnsweredByAnyLeaf() const;
  bool IsAtLeaf() const;
  bool IsAtPeer() const;
  bool IsInProgress() const;
  /// Whether several leafs are at work on it and none has answered, so that it
  /// must not be hedged.
  bool AwaitsFirstAnswer() const;
  /// Whether it must be sent to one leaf at a time.
  bool IsOnTrial() const { return is_doubtful && !IsAnsweredByAnyLeaf(); }
  /// Whether the answer of a fan-out is overdue. Such a request does not wait
  /// for the retry budget, which is for those that are still in time: its
  /// caller is told at once.
  bool IsLate(TimePoint now) const {
    const bool is_due =
        request.is_for_peer ? is_continuation : now >= request.answer_by;
    return MatchedRoute().IsFanOut() && is_due;
  }
  bool IsIdempotent() const {
    return MatchedRoute().kind == RequestKind::kIdempotent;
  }
};

/// One attempt: a part of a request sent to a leaf.
struct RelayEngine::Attempt {
  RelayNumber request = 0;
  std::size_t part = 0;
  std::shared_ptr<RelayLeaf> leaf;
  RelayService* service = nullptr;
  RequestPart request_part;
  std::string route_name;
  TimePoint sent_at;
  /// When the leaf gives the attempt up.
  TimePoint leaf_deadline;
  /// The request was doubtful, or the part had been sent before, here or by a
  /// peer.
  bool is_trial = false;
};

/// Parts of a request that were delegated to a peer.
struct RelayEngine::DelegationState {
  RelayNumber request = 0;
  /// Number of the delegation, or of the first one if this one continues it.
  RelayAttemptNumber origin = 0;
  std::vector<std::size_t> parts;
  /// Services of `parts`, in the same order.
  std::vector<RelayService*> services;
  std::shared_ptr<PeerState> peer;
  std::string route_name;
  TimePoint sent_at;
  /// Made for lack of leafs in reach here.
  bool is_hand_over = false;
  /// The delegation that this one continues.
  std::shared_ptr<const DelegationState> continued;
};

}  // namespace bramleyspoke
