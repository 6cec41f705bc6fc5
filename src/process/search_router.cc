#include "process/search_router.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "connection/event_loop.h"
#include "process/freshness_lease.h"
#include "request/forward_message.h"

namespace bramleyspoke {
namespace {

// Time for which a caller may cache an address answer.
constexpr std::chrono::milliseconds kAddressAnswerLifetime{10'000};
constexpr std::chrono::milliseconds kRetryAfter{500};
// Part of a forwarded request's time limit that is reserved for the response to
// arrive.
constexpr std::chrono::milliseconds kResponseTransitTime{25};

// Time limit of a forwarded request at the receiver: `left`, the sender's
// limit, less the time for the response to arrive (at most a tenth of `left`).
Duration WithoutResponseTransitTime(Duration left) {
  return left - std::min<Duration>(kResponseTransitTime, left / 10);
}

// Whether the request may be retried at another holder.
bool CanRetryAtAnotherHolder(const CallerReply& reply) {
  return reply.verdict == Verdict::kNotRun &&
         (reply.reason == RefusalReason::kHolderUnreachable ||
          reply.reason == RefusalReason::kNotReady ||
          reply.reason == RefusalReason::kShuttingDown);
}

bool HasIssuer(const std::vector<DaemonAddress>& daemons, const IssuedId& id) {
  return std::any_of(
      daemons.begin(), daemons.end(), [&](const DaemonAddress& daemon) {
        return daemon.peer == id.issuer && daemon.incarnation == id.incarnation;
      });
}

}  // namespace

// State of one request in flight; shared by its callbacks.
struct SearchRouter::Pending {
  QueryNumber query = 0;
  CallerSearch search;
  Reply reply;
  TimePoint start;
  TimePoint deadline;
  std::shared_ptr<const ServiceRoute> route;
  /// Holders that the request was not forwarded to yet, the next one last.
  std::vector<DaemonAddress> holders;
  /// `kMayHaveRun` once a forward to a holder was lost.
  Verdict verdict = Verdict::kNotRun;
  std::optional<SearchOutcome> outcome;
  bool is_admitted = false;
  /// This daemon issued the id and records the outcome.
  bool is_outcome_recorded_here = false;
  /// The request was forwarded by another daemon.
  bool is_from_peer = false;
  /// The forwarding daemon has decided that the request runs.
  bool is_run_decided_by_peer = false;
  bool is_running_here = false;
  /// Another daemon has it, or has had it.
  bool is_forwarded = false;
};

SearchRouter::SearchRouter(RouterContext context)
    : m_context(std::move(context)),
      m_table(std::make_shared<RoutingTable>()),
      m_limits(m_context.max_in_flight),
      m_ids(m_context.self.peer,
            m_context.self.incarnation,
            m_context.clock.Now()) {}

QueryNumber SearchRouter::Search(CallerSearch search, Reply reply) {
  const PendingPtr pending = Start(std::move(search), std::move(reply));
  if (Admit(pending)) {
    Route(pending);
  }
  return pending->query;
}

void SearchRouter::OnCallerDisconnected(QueryNumber query) {
  const auto found = m_pending.find(query);
  if (found == m_pending.end() || !found->second->route) {
    return;
  }
  const Pending& pending = *found->second;
  if (pending.route->spec.idempotent && pending.is_running_here) {
    m_context.executor.OnCallerDisconnected(pending.search.service, query);
  }
}

void SearchRouter::OnForwardRequest(const std::string& body,
                                    Duration time_left,
                                    Reply reply) {
  const std::optional<ForwardMessage> forward = ParseForwardMessage(body);
  Result<CallerSearch> search =
      forward ? ParseCallerSearch(forward->search) : Result<CallerSearch>{};
  if (!forward || !search) {
    reply(MakeReply("", Refusal{RefusalReason::kBadRequest, Verdict::kNotRun,
                                "malformed forward", std::nullopt}));
    return;
  }
  search->time_left = time_left;
  const PendingPtr pending = Start(std::move(*search), std::move(reply));
  pending->is_from_peer = true;
  pending->is_run_decided_by_peer = forward->mode == ForwardMode::kRun;
  if (!Admit(pending)) {
    return;
  }
  if (forward->mode == ForwardMode::kDecide) {
    Route(pending);
    return;
  }
  if (!pending->route->is_held_here) {
    Refuse(pending, RefusalReason::kHolderUnreachable, Verdict::kNotRun,
           "this daemon does not hold the service");
    return;
  }
  RunHere(pending);
}

AddressAnswer SearchRouter::AnswerAddressQuery(
    const std::string& service) const {
  AddressAnswer answer;
  answer.service = service;
  answer.keep = kAddressAnswerLifetime;
  answer.generation = m_table->generation;
  answer.is_confirmed = m_table->is_confirmed;
  answer.request_id_prefix = m_ids.Prefix(m_context.clock.Now());
  const auto found = m_table->services.find(service);
  if (found == m_table->services.end()) {
    return answer;
  }
  const bool is_usable = !m_answer_all_by && m_table->is_confirmed;
  for (const DaemonAddress& holder : found->second->holders) {
    if (is_usable || holder.peer != m_context.self.peer) {
      answer.entries.push_back(holder);
    }
  }
  if (answer.entries.empty() && !m_answer_all_by) {
    answer.entries.push_back(m_context.self);
  }
  return answer;
}

// The deadline of a request that began before the stop may be after its end.
void SearchRouter::EndAll() {
  const std::map<QueryNumber, PendingPtr> pending = m_pending;
  for (const auto& [query, request] : pending) {
    const bool may_have_run = request->is_running_here || request->is_forwarded;
    Refuse(request, RefusalReason::kShuttingDown,
           may_have_run ? Verdict::kMayHaveRun : request->verdict,
           "the daemon stops");
  }
}

void SearchRouter::SetTable(std::shared_ptr<const RoutingTable> table) {
  m_table = std::move(table);
  m_limits.SetCallers(m_table->callers);
}

SearchRouter::PendingPtr SearchRouter::Start(CallerSearch search, Reply reply) {
  auto pending = std::make_shared<Pending>();
  pending->query = ++m_last_query;
  pending->search = std::move(search);
  pending->reply = std::move(reply);
  pending->start = m_context.clock.Now();
  m_pending.emplace(pending->query, pending);
  return pending;
}

// Checks what can be decided without running or forwarding the request; ends
// the request if it is refused.
bool SearchRouter::Admit(const PendingPtr& pending) {
  std::optional<Refusal> refusal = CheckAdmission(*pending);
  if (refusal) {
    refusal->verdict = VerdictBeforeIdCheck(*pending);
    End(pending, MakeReply(pending->search.request_id, *refusal));
    return false;
  }
  pending->is_admitted = true;
  return true;
}

std::optional<Refusal> SearchRouter::CheckAdmission(Pending& pending) {
  CallerSearch& search = pending.search;
  if (!m_context.lease.IsValid(pending.start) || m_table->generation == 0) {
    return Refusal{RefusalReason::kNotReady, Verdict::kNotRun,
                   "this daemon has no current manifest yet", kRetryAfter};
  }
  const auto found = m_table->services.find(search.service);
  if (found == m_table->services.end()) {
    return Refusal{RefusalReason::kUnknownService, Verdict::kNotRun,
                   "generation " + std::to_string(m_table->generation) +
                       " has no such service",
                   std::nullopt};
  }
  pending.route = found->second;
  const ServiceSpec& spec = pending.route->spec;
  search.limit = search.limit.value_or(std::min(10U, spec.max_hits));
  if (*search.limit > spec.max_hits) {
    return Refusal{RefusalReason::kBadRequest, Verdict::kNotRun,
                   "limit: expected at most " + std::to_string(spec.max_hits),
                   std::nullopt};
  }
  pending.deadline =
      pending.start + search.time_left.value_or(spec.default_deadline);
  pending.deadline =
      std::min(pending.deadline, m_answer_all_by.value_or(pending.deadline));
  return m_limits.Admit(spec.service_class, search.caller);
}

// Verdict for a request that is refused before its id was checked. It may be a
// resend of one that ran, unless the issuer has already decided that it runs.
Verdict SearchRouter::VerdictBeforeIdCheck(const Pending& pending) const {
  const bool is_idempotent = pending.route && pending.route->spec.idempotent;
  if (is_idempotent || pending.is_run_decided_by_peer) {
    return Verdict::kNotRun;
  }
  return m_ids.VerdictOf(pending.search.request_id, m_context.clock.Now());
}

void SearchRouter::Route(const PendingPtr& pending) {
  if (pending->route->spec.idempotent) {
    RunOrForward(pending);
    return;
  }
  RouteById(pending);
}

void SearchRouter::RouteById(const PendingPtr& pending) {
  const IdDecision decision =
      m_ids.Check(pending->search.request_id, Fingerprint(pending->search),
                  m_context.clock.Now());
  switch (decision) {
    case IdDecision::kRun:
      RunAtMostOnce(pending);
      return;
    case IdDecision::kRunning:
      m_duplicates[pending->search.request_id].push_back(pending);
      return;
    case IdDecision::kEnded:
      ReplyWithRecordedOutcome(pending);
      return;
    case IdDecision::kIssuedElsewhere:
      ForwardToIssuer(pending);
      return;
    case IdDecision::kIssuerGone:
      Refuse(pending, RefusalReason::kHolderGone, Verdict::kMayHaveRun,
             "the process that issued the id is gone");
      return;
    case IdDecision::kExpired:
      Refuse(pending, RefusalReason::kIdExpired, Verdict::kMayHaveRun,
             "the id was issued too long ago");
      return;
    case IdDecision::kReused:
      Refuse(pending, RefusalReason::kIdReused, Verdict::kNotRun,
             "the id was used with another request");
      return;
    case IdDecision::kNotIssued:
      Refuse(pending, RefusalReason::kIdNotIssued, Verdict::kNotRun,
             "request_id: expected the request_id_prefix of an address "
             "answer and a suffix of the caller's");
      return;
    case IdDecision::kFull:
      Refuse(pending, RefusalReason::kOverloaded, Verdict::kNotRun,
             "too many request ids are remembered");
      return;
  }
}

void SearchRouter::RunAtMostOnce(const PendingPtr& pending) {
  pending->is_outcome_recorded_here = true;
  RunOrForward(pending);
}

void SearchRouter::ReplyWithRecordedOutcome(const PendingPtr& pending) {
  const EndedRequest& ended = *m_ids.Ended(pending->search.request_id);
  if (ended.body.empty()) {
    Refuse(pending, RefusalReason::kIdReused, ended.verdict,
           "the request ended before; its answer is no longer kept");
    return;
  }
  End(pending, ReadReply(ended.status, ended.body));
}

void SearchRouter::ForwardToIssuer(const PendingPtr& pending) {
  const std::optional<IssuedId> id = ParseIssuedId(pending->search.request_id);
  const bool is_member =
      HasIssuer(m_table->members, *id) || HasIssuer(m_table->stopping, *id);
  if (!is_member || pending->is_from_peer) {
    Refuse(pending, RefusalReason::kHolderGone, Verdict::kMayHaveRun,
           "the daemon that issued the id is not among the members");
    return;
  }
  const Duration left = pending->deadline - m_context.clock.Now();
  pending->is_forwarded = true;
  CallerSearch search = pending->search;
  search.time_left = WithoutResponseTransitTime(left);
  m_context.peers.Forward(
      id->issuer, ToJson(ForwardMessage{ForwardMode::kDecide, ToJson(search)}),
      left, [this, pending](ForwardOutcome outcome) {
        m_context.front.Post([this, pending, outcome = std::move(outcome)] {
          m_context.observer.OnForward(outcome.result);
          if (outcome.result == ForwardResult::kReplied) {
            End(pending, ReadReply(outcome.reply.status, outcome.reply.body));
            return;
          }
          const bool is_lost = outcome.result == ForwardResult::kLost;
          Refuse(pending,
                 is_lost ? RefusalReason::kLost : RefusalReason::kHolderGone,
                 Verdict::kMayHaveRun,
                 "the daemon that issued the id did not answer");
        });
      });
}

void SearchRouter::RunOrForward(const PendingPtr& pending) {
  if (pending->route->is_held_here) {
    RunHere(pending);
    return;
  }
  for (const DaemonAddress& holder : pending->route->holders) {
    if (holder.peer != m_context.self.peer) {
      pending->holders.push_back(holder);
    }
  }
  // Spreads queries over the holders; the order is fixed for a query number.
  if (!pending->holders.empty()) {
    const std::size_t first =
        (pending->query + m_context.seed) % pending->holders.size();
    std::rotate(pending->holders.begin(),
                pending->holders.begin() + static_cast<std::ptrdiff_t>(first),
                pending->holders.end());
  }
  ForwardToNextHolder(pending);
}

void SearchRouter::RunHere(const PendingPtr& pending) {
  pending->is_running_here = true;
  SearchRequest request;
  request.request_id = pending->search.request_id;
  request.caller = pending->search.caller;
  request.service = pending->search.service;
  request.query = pending->search.query;
  request.limit = *pending->search.limit;
  request.deadline = pending->deadline;
  if (request.request_id.empty()) {
    request.request_id = ToString(m_context.self.peer) + "/" +
                         std::to_string(m_context.self.incarnation) + "/" +
                         std::to_string(pending->query);
    pending->search.request_id = request.request_id;
  }
  m_context.executor.Execute(
      pending->query, std::move(request),
      [this, pending](const SearchOutcome& outcome) {
        pending->outcome = outcome;
        End(pending, MakeReply(pending->search.request_id, outcome));
      });
}

void SearchRouter::ForwardToNextHolder(const PendingPtr& pending) {
  const Duration left = pending->deadline - m_context.clock.Now();
  if (left <= Duration::zero()) {
    Refuse(pending, RefusalReason::kDeadlinePassed, pending->verdict,
           "no holder answered in time");
    return;
  }
  if (pending->holders.empty()) {
    Refuse(pending, RefusalReason::kHolderUnreachable, pending->verdict,
           "no holder of the service can be reached");
    return;
  }
  pending->is_forwarded = true;
  const Endpoint holder = pending->holders.back().peer;
  pending->holders.pop_back();
  // Leaves time for a retry at another holder if this one hangs.
  const bool can_retry =
      pending->route->spec.idempotent && !pending->holders.empty();
  const Duration timeout = can_retry ? left / 2 : left;
  CallerSearch search = pending->search;
  search.time_left = WithoutResponseTransitTime(timeout);
  m_context.peers.Forward(
      holder, ToJson(ForwardMessage{ForwardMode::kRun, ToJson(search)}),
      timeout, [this, pending](ForwardOutcome outcome) {
        m_context.front.Post(
            [this, pending, outcome = std::move(outcome)]() mutable {
              OnHolderReply(pending, std::move(outcome));
            });
      });
}

void SearchRouter::OnHolderReply(const PendingPtr& pending,
                                 ForwardOutcome outcome) {
  m_context.observer.OnForward(outcome.result);
  if (outcome.result == ForwardResult::kReplied) {
    CallerReply reply =
        ReadReply(outcome.reply.status, std::move(outcome.reply.body));
    if (!CanRetryAtAnotherHolder(reply)) {
      End(pending, std::move(reply));
      return;
    }
  }
  if (outcome.result == ForwardResult::kLost) {
    pending->verdict = Verdict::kMayHaveRun;
  }
  const bool can_retry =
      pending->route->spec.idempotent || pending->verdict == Verdict::kNotRun;
  if (can_retry) {
    ForwardToNextHolder(pending);
    return;
  }
  Refuse(pending, RefusalReason::kLost, pending->verdict,
         "the holder did not answer");
}

void SearchRouter::Refuse(const PendingPtr& pending,
                          RefusalReason reason,
                          Verdict verdict,
                          std::string detail) {
  Refusal refusal{reason, verdict, std::move(detail), std::nullopt};
  const bool is_temporary = reason == RefusalReason::kNotReady ||
                            reason == RefusalReason::kOverloaded ||
                            reason == RefusalReason::kHolderUnreachable ||
                            reason == RefusalReason::kShuttingDown ||
                            reason == RefusalReason::kDeadlinePassed;
  if (is_temporary) {
    refusal.retry_after = kRetryAfter;
  }
  End(pending, MakeReply(pending->search.request_id, refusal));
}

void SearchRouter::End(const PendingPtr& pending, CallerReply reply) {
  if (m_pending.erase(pending->query) == 0) {
    return;
  }
  if (pending->is_admitted) {
    m_limits.Release(pending->search.caller);
  }
  if (pending->is_outcome_recorded_here) {
    RecordOutcome(pending, reply);
  }
  m_context.observer.OnRequestEnd(
      pending->search,
      RequestEnd{reply.verdict, reply.reason, reply.response.status,
                 m_context.clock.Now() - pending->start, pending->outcome});
  pending->reply(std::move(reply));
}

// Records the outcome of an id's only run and ends its duplicate requests with
// the same reply.
void SearchRouter::RecordOutcome(const PendingPtr& pending,
                                 const CallerReply& reply) {
  const std::string& id = pending->search.request_id;
  if (reply.verdict == Verdict::kNotRun) {
    m_ids.Forget(id);
  } else {
    m_ids.Finish(id, EndedRequest{reply.response.status, reply.response.body,
                                  reply.verdict});
  }
  const auto duplicates = m_duplicates.find(id);
  if (duplicates == m_duplicates.end()) {
    return;
  }
  const std::vector<PendingPtr> pending_duplicates =
      std::move(duplicates->second);
  m_duplicates.erase(duplicates);
  for (const PendingPtr& duplicate : pending_duplicates) {
    End(duplicate, reply);
  }
}

}  // namespace bramleyspoke
