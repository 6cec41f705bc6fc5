// Handles the replies of leafs: what they say of the leaf, and what becomes of
// the part that was sent.

#include <utility>

#include "request/relay_engine.h"
#include "request/relay_request.h"

namespace bramleyspoke {
namespace {

// Delay before a request is retried at leafs that refused it, multiplied by the
// number of attempts so far.
constexpr Duration kRefusedRetryDelay = std::chrono::milliseconds(30);
// Time that a new connection costs a leaf, with a margin.
constexpr Duration kReconnectCost = std::chrono::milliseconds(15);

}  // namespace

std::vector<const RelayLeaf*> RelayEngine::Part::TriedLeafs() const {
  std::vector<const RelayLeaf*> leafs;
  for (const auto& leaf : tried) {
    leafs.push_back(leaf.get());
  }
  return leafs;
}

void RelayEngine::RecordReply(const Attempt& attempt, const LeafReply& reply) {
  LeafLoad& load = attempt.leaf->load;
  const Duration taken = m_now - attempt.sent_at;
  load.OnEnded(m_now);
  if (reply.is_connection_refused) {
    attempt.leaf->OnConnectionRefused(m_now);
  }
  RecordContact(attempt, reply.kind);
  RecordCrashEvidence(attempt, reply);
  if (reply.announcement) {
    RecordAnnouncement(attempt, *reply.announcement);
  }
  if (HasExpired(attempt, reply.kind)) {
    load.OnExpired(attempt.route_name, taken, reply.load, m_now);
    AddFailedAttempt(attempt, reply);
    return;
  }
  switch (reply.kind) {
    case LeafReplyKind::kSucceeded:
      load.OnAnswered(attempt.route_name, taken, reply.round_trip, reply.load,
                      m_now);
      load.OnSuccess(m_now);
      return;
    case LeafReplyKind::kFailed:
      load.OnAnswered(attempt.route_name, taken, reply.round_trip, reply.load,
                      m_now);
      load.OnFailure(m_now);
      break;
    case LeafReplyKind::kRefused:
      // A pause that the leaf asks for says by itself when requests may return.
      if (!reply.announcement || !reply.announcement->pause) {
        load.OnShed(m_now);
      }
      break;
    case LeafReplyKind::kOtherLeaf:
    case LeafReplyKind::kNotSent:
      load.OnUnreachable(m_now);
      break;
    case LeafReplyKind::kTimedOut:
      if (HadTimeToAnswer(attempt)) {
        load.OnFailure(m_now);
      }
      break;
    case LeafReplyKind::kLost:
    case LeafReplyKind::kMalformed:
      load.OnFailure(m_now);
      break;
  }
  AddFailedAttempt(attempt, reply);
}

// The reply says that the leaf gave the attempt up at its deadline, running or
// not; this is no failure of the leaf and no lack of capacity for others.
bool RelayEngine::HasExpired(const Attempt& attempt, LeafReplyKind kind) const {
  const bool is_given_up =
      kind == LeafReplyKind::kRefused || kind == LeafReplyKind::kFailed;
  return is_given_up &&
         m_now + attempt.leaf->load.RoundTripTime() >= attempt.leaf_deadline;
}

// A request that arrives shortly before its deadline says nothing about leafs
// that do not answer it.
bool RelayEngine::HadTimeToAnswer(const Attempt& attempt) const {
  return m_now - attempt.sent_at >=
         attempt.leaf->load.OverdueAfter(attempt.route_name);
}

void RelayEngine::AddFailedAttempt(const Attempt& attempt,
                                   const LeafReply& reply) {
  m_failed_attempts.push_back({attempt.request, attempt.leaf->registration.id,
                               attempt.service->name, reply.kind,
                               m_now - attempt.sent_at,
                               attempt.request_part.content, reply.position});
}

void RelayEngine::RecordContact(const Attempt& attempt, LeafReplyKind kind) {
  const Endpoint& leaf = attempt.leaf->registration.address;
  const bool has_sign_since =
      m_contact.LastSign() && *m_contact.LastSign() > attempt.sent_at;
  switch (kind) {
    case LeafReplyKind::kSucceeded:
    case LeafReplyKind::kFailed:
    case LeafReplyKind::kRefused:
    case LeafReplyKind::kOtherLeaf:
    case LeafReplyKind::kMalformed:
      m_contact.OnAnswered(m_now);
      m_silent_connections.OnAnswered(m_now);
      ConfirmLeafLosses();
      return;
    case LeafReplyKind::kLost:
      m_contact.OnFailed(leaf, m_now);
      return;
    case LeafReplyKind::kNotSent:
      if (IsWanted(*attempt.leaf, m_now)) {
        m_contact.OnConnectFailed(leaf, m_now);
      }
      return;
    case LeafReplyKind::kTimedOut:
      if (!HadTimeToAnswer(attempt)) {
        return;
      }
      m_silent_connections.OnSilent(leaf, attempt.sent_at);
      if (!has_sign_since) {
        m_contact.OnFailed(leaf, m_now);
      }
      return;
  }
}

void RelayEngine::RecordAnnouncement(const Attempt& attempt,
                                     const LeafAnnouncement& announcement) {
  RelayLeaf& leaf = *attempt.leaf;
  if (!announcement.unreadable.empty()) {
    AddLeafNotice(LeafNoticeKind::kUnreadable, leaf);
    m_leaf_notices.back().detail = announcement.unreadable;
  }
  if (announcement.is_leaving && leaf.OnLeaving(m_now)) {
    AddLeafNotice(LeafNoticeKind::kLeaving, leaf);
  }
  if (announcement.pause) {
    leaf.pause.OnAnnounced(*announcement.pause, m_now);
    AddLeafNotice(LeafNoticeKind::kPaused, leaf);
    m_leaf_notices.back().pause = *announcement.pause;
  } else {
    leaf.pause.OnAnswered(attempt.sent_at);
  }
  if (leaf.rate_limit.OnAnnounced(announcement.request_rate, attempt.sent_at,
                                  m_now)) {
    AddLeafNotice(announcement.request_rate ? LeafNoticeKind::kRateLimited
                                            : LeafNoticeKind::kRateLimitEnded,
                  leaf);
  }
}

void RelayEngine::AddLeafNotice(LeafNoticeKind kind, const RelayLeaf& leaf) {
  m_leaf_notices.push_back(
      {kind, leaf.registration.id, leaf.registration.service,
       leaf.rate_limit.Rate().value_or(0), Duration::zero(), ""});
}

void RelayEngine::RecordCrashEvidence(const Attempt& attempt,
                                      const LeafReply& reply) {
  const RequestPart& part = attempt.request_part;
  const std::uint64_t connection = reply.position.connection;
  switch (reply.kind) {
    case LeafReplyKind::kSucceeded:
      m_crashes.OnSurvived(part, m_now);
      m_crashes.OnAnswered(*attempt.leaf, connection, attempt.sent_at, m_now);
      return;
    case LeafReplyKind::kFailed:
    case LeafReplyKind::kRefused:
      m_crashes.OnAnswered(*attempt.leaf, connection, attempt.sent_at, m_now);
      return;
    case LeafReplyKind::kLost:
      RecordUnansweredAttempt(attempt, reply.is_connection_refused
                                           ? std::optional(connection)
                                           : std::nullopt);
      return;
    case LeafReplyKind::kTimedOut:
    case LeafReplyKind::kMalformed:
      RecordUnansweredAttempt(attempt);
      return;
    case LeafReplyKind::kOtherLeaf:
    case LeafReplyKind::kNotSent:
      return;
  }
}

// A daemon that is cut off has no evidence against the requests that it sent.
void RelayEngine::RecordUnansweredAttempt(
    const Attempt& attempt,
    std::optional<std::uint64_t> closed_connection) {
  if (m_contact.State() != ContactState::kCutOff) {
    m_crashes.OnUnanswered(attempt.request_part, attempt.leaf,
                           closed_connection, m_now);
  }
}

// A cut breaks one connection before another leaf fails. A loss that would be
// evidence of a crash counts only once a leaf has accepted a connection that
// was tried after it; with one leaf there is none to try.
void RelayEngine::RecordLeafLoss(const Endpoint& address) {
  if (m_contact.State() == ContactState::kCutOff) {
    return;
  }
  m_doubtful_losses.push_back(address);
  if (m_crashes.IsAwaitingOutcome(address) && m_leaf_table.LeafCount() > 1) {
    m_contact.RequestProbes(m_now);
  }
  ConfirmLeafLosses();
}

void RelayEngine::ApplyReply(Request& request,
                             const Attempt& attempt,
                             LeafReply reply) {
  const std::size_t index = attempt.part;
  Part& part = request.parts[index];
  const Verdict verdict = VerdictOf(reply.kind);
  part.quota.OnEnded(verdict != Verdict::kNotRun);
  if (!part.IsOpen()) {
    return;
  }
  if (verdict == Verdict::kMayHaveRun) {
    RecordUnanswered(request, attempt, reply.kind);
  }
  part.verdict = Combine(part.verdict, verdict);
  part.has_arrived = part.has_arrived || reply.kind != LeafReplyKind::kNotSent;
  if (reply.kind == LeafReplyKind::kSucceeded) {
    part.answer = std::move(reply.response);
    part.answered_by = attempt.leaf;
    part.answered_on = reply.position;
    CancelQueuedAttempts(request, part);
    return;
  }
  if (reply.kind == LeafReplyKind::kFailed) {
    part.failure = std::move(reply.response);
  }
  if (reply.kind == LeafReplyKind::kNotSent) {
    part.is_next_attempt_free = part.attempts == 1;
  }
  Retry(request, index);
}

// When a leaf stalls or has a long queue, another leaf responds first, or the
// request ends without the shard; the leaf would still run the queued attempt.
// Closing the connection saves the leaf that processing time but costs it a new
// connection, so only attempts that are likely queued and have a longer
// processing time are cancelled.
void RelayEngine::CancelQueuedAttempts(const Request& request,
                                       const Part& part) {
  for (const RelayAttemptNumber number : part.outstanding) {
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end()) {
      continue;
    }
    const RelayLeaf& leaf = *found->second.leaf;
    const Duration processing_time =
        leaf.load.EstimatedLatency(request.MatchedRoute().name) -
        leaf.load.RoundTripTime();
    const bool is_likely_queued =
        leaf.load.IsSilent(m_now) ||
        leaf.load.Occupancy(m_now) > 2 * leaf.registration.slots;
    if (processing_time > kReconnectCost && is_likely_queued) {
      m_cancellations.emplace(m_now, number);
    }
  }
}

void RelayEngine::Retry(Request& request, std::size_t index) {
  Part& part = request.parts[index];
  if (!part.outstanding.empty() || part.delegation) {
    return;
  }
  const Route& route = request.MatchedRoute();
  if (MarkForHandOver(request, part)) {
    return;
  }
  if (!MayReachAnotherLeaf(request, part)) {
    FailUnlessOutstanding(part);
    return;
  }
  const LeafChoice other =
      ChooseLeaf(*part.service, route.name, part.TriedLeafs(), m_now);
  if (other.leaf || other.is_full) {
    DispatchPart(request, index);
    return;
  }
  // All leafs were attempted; those that refused may have free slots again.
  part.tried.clear();
  const LeafChoice again = ChooseLeaf(*part.service, route.name, {}, m_now);
  if (!again.leaf && !again.is_full) {
    FailUnlessOutstanding(part);
    return;
  }
  part.retry_at = m_now + kRefusedRetryDelay * part.attempts;
}

void RelayEngine::FailUnlessOutstanding(Part& part) {
  if (part.outstanding.empty()) {
    part.is_failed = true;
  }
}

}  // namespace bramleyspoke
