#include "process/relay_front.h"

#include <algorithm>
#include <utility>

#include "connection/event_loop.h"
#include "request/request_fingerprint.h"

namespace bramleyspoke {
namespace {

// Retry-After of requests that arrive before this daemon has current routes.
constexpr Duration kNoRoutesRetryAfter = std::chrono::milliseconds(500);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

// A leaf is never given no time at all, which it might take for no limit.
Duration TimeUntil(TimePoint time) {
  return std::max<Duration>(time - Now(), std::chrono::milliseconds(1));
}

}  // namespace

RelayFront::RelayFront(EventLoop& loop,
                       const RelayProtocol& protocol,
                       const Locality& locality,
                       const RetryAllowance& repeats,
                       const HttpResponseLimits& leaf_responses,
                       PeerNetwork& peers,
                       RelayObserver& observer)
    : m_loop(loop),
      m_protocol(protocol),
      m_observer(observer),
      m_engine(locality, repeats),
      m_exchanges(
          loop,
          leaf_responses,
          [this](const Endpoint& leaf, bool is_reachable, TimePoint tried_at) {
            Apply(m_engine.OnReachable(leaf, is_reachable, Now(), tried_at));
          }),
      m_peers(peers),
      m_self(std::make_shared<RelayFront*>(this)) {}

RelayFront::~RelayFront() = default;

void RelayFront::Handle(std::shared_ptr<HttpExchange> exchange) {
  CallerHead head = m_protocol.ReadHead(exchange->Request());
  if (m_stop && Now() >= m_stop->accept_until) {
    RefuseStopping(*exchange, head);
    return;
  }
  const Route* route = FindRoute(head);
  if (route != nullptr) {
    Submit(Now(), std::move(exchange), std::move(head), *route);
  } else if (!m_table || m_is_stale) {
    RefuseNotReady(*exchange, head);
  } else if (m_unrouted.AreRoutesCurrent(Now())) {
    AnswerNoRoute(*exchange, head);
  } else {
    Hold({std::move(exchange), Now()});
  }
}

const Route* RelayFront::FindRoute(const CallerHead& head) const {
  return m_table ? m_table->Find(head.host, head.path) : nullptr;
}

void RelayFront::Hold(UnroutedRequest request) {
  HttpExchange& exchange = *request.exchange;
  exchange.OnClientDisconnected(
      [this, &exchange] { m_unrouted.Remove(exchange); });
  m_unrouted.Hold(std::move(request));
  ArmHoldTimer();
  m_observer.OnRoutesDoubted();
}

void RelayFront::OnRoutesConfirmed(TimePoint at) {
  m_unrouted.OnConfirmed(at);
  for (UnroutedRequest& held : m_unrouted.TakeConfirmed()) {
    CallerHead head = m_protocol.ReadHead(held.exchange->Request());
    if (const Route* route = FindRoute(head)) {
      Submit(held.arrived, std::move(held.exchange), std::move(head), *route);
    } else {
      AnswerNoRoute(*held.exchange, head);
    }
  }
  ArmHoldTimer();
}

void RelayFront::ArmHoldTimer() {
  m_hold_timer.reset();
  if (const auto expiry = m_unrouted.NextExpiry()) {
    m_hold_timer = m_loop.At(*expiry, [this] { RefuseExpired(); });
  }
}

void RelayFront::RefuseExpired() {
  RefuseNotReady(m_unrouted.TakeExpired(Now()));
  ArmHoldTimer();
}

void RelayFront::RefuseHeld() {
  RefuseNotReady(m_unrouted.TakeAll());
  ArmHoldTimer();
}

void RelayFront::RefuseNotReady(const std::vector<UnroutedRequest>& held) {
  for (const UnroutedRequest& request : held) {
    RefuseNotReady(*request.exchange,
                   m_protocol.ReadHead(request.exchange->Request()));
  }
}

void RelayFront::BeginStop(const StopSchedule& schedule) {
  m_stop = schedule;
  Apply(m_engine.BeginStop(schedule, Now()));
}

void RelayFront::AnswerNoRoute(HttpExchange& exchange, const CallerHead& head) {
  HttpResponse response = m_protocol.MakeNoRoute();
  RelayEnd end;
  end.request_id = head.request_id;
  end.version = m_table->Version();
  end.status = response.status;
  end.routes_unconfirmed = RoutesUnconfirmed(Now());
  m_observer.OnRequestEnd(end);
  exchange.Respond(std::move(response));
}

void RelayFront::RefuseNotReady(HttpExchange& exchange,
                                const CallerHead& head) {
  Refuse(exchange, head,
         {RefusalReason::kNotReady, Verdict::kNotRun, kNoRoutesRetryAfter});
}

// Its connection may have been idle until now, or its body long in coming.
void RelayFront::RefuseStopping(HttpExchange& exchange,
                                const CallerHead& head) {
  Refuse(exchange, head,
         {RefusalReason::kShuttingDown, Verdict::kNotRun,
          RelayEngine::kStoppingRetryAfter});
}

std::optional<Duration> RelayFront::RoutesUnconfirmed(TimePoint now) const {
  const auto at = m_unrouted.ConfirmedAt();
  return at ? std::optional<Duration>(now - *at) : std::nullopt;
}

void RelayFront::Refuse(HttpExchange& exchange,
                        const CallerHead& head,
                        const RelayRefusal& refusal) {
  HttpResponse response = m_protocol.MakeRefusal(refusal);
  RelayEnd end;
  end.request_id = head.request_id;
  end.status = response.status;
  end.refusal = refusal;
  end.routes_unconfirmed = RoutesUnconfirmed(Now());
  m_observer.OnRequestEnd(end);
  exchange.Respond(std::move(response));
}

// A caller measures latency from before it opens the connection, which takes
// one more round trip.
Duration RelayFront::TimeOutsideDaemon(const HttpExchange& exchange,
                                       const Route& route) {
  const Duration round_trip = exchange.RoundTrip().value_or(kDefaultRoundTrip);
  const int trips = exchange.IsFirstOnConnection() ? 2 : 1;
  return std::min<Duration>(round_trip * trips + kTargetMargin,
                            route.target_latency / 2);
}

void RelayFront::Submit(TimePoint arrived,
                        std::shared_ptr<HttpExchange> exchange,
                        CallerHead head,
                        const Route& route) {
  if (head.request_id.empty()) {
    Refuse(*exchange, head,
           {RefusalReason::kBadRequest, Verdict::kNotRun, std::nullopt});
    return;
  }
  const RelayNumber number = ++m_last_number;
  const Duration allowed =
      std::min(head.timeout.value_or(route.timeout), route.timeout);
  RelayRequest request;
  request.request_id = head.request_id;
  request.fingerprint = FingerprintOf(exchange->Request());
  request.resource = ResourceFingerprintOf(exchange->Request());
  request.table = m_table;
  request.route = &route;
  request.deadline = arrived + std::max(allowed - kAnswerMargin, allowed / 2);
  request.answer_by =
      arrived + route.target_latency - TimeOutsideDaemon(*exchange, route);
  m_in_flight.emplace(number, RequestInFlight{exchange,
                                              {},
                                              0,
                                              {},
                                              std::move(head.request_id),
                                              m_table,
                                              &route,
                                              arrived,
                                              Duration::zero(),
                                              request.answer_by,
                                              request.fingerprint,
                                              request.resource});
  exchange->OnClientDisconnected([this, number] {
    m_in_flight.erase(number);
    Apply(m_engine.OnCallerDisconnected(number, Now()));
  });
  Apply(m_engine.Submit(number, std::move(request), Now()));
}

void RelayFront::SetTable(std::shared_ptr<const RouteTable> table) {
  m_table = table;
  Apply(m_engine.SetTable(std::move(table), Now()));
}

void RelayFront::SetLeafs(const std::vector<LeafRegistration>& leafs) {
  Apply(m_engine.SetLeafs(leafs, Now()));
  UpdatePoolSizes();
}

void RelayFront::SetHolders(std::map<std::string, std::size_t> by_region,
                            bool are_daemons_known,
                            bool is_holder) {
  m_engine.SetDaemons(std::move(by_region), are_daemons_known);
  m_is_holder = is_holder;
  UpdatePoolSizes();
}

void RelayFront::UpdatePoolSizes() {
  if (m_is_holder) {
    m_exchanges.SetPoolSizes(m_engine.Leafs().ConnectionPoolSizes());
  } else {
    m_exchanges.SetPoolSizes({});
  }
}

void RelayFront::SetPeers(const std::vector<RelayPeer>& peers) {
  m_engine.SetPeers(peers);
}

void RelayFront::OnPeerCrash(const LeafCrash& crash) {
  m_engine.OnPeerCrash(crash, Now());
  ReportCrashes();
}

void RelayFront::OnPeerSuspect(const CrashSuspect& suspect) {
  m_engine.OnPeerSuspect(suspect, Now());
}

void RelayFront::Apply(RelayActions actions) {
  for (const RelayAttemptNumber number : actions.cancellations) {
    m_exchanges.Cancel(number);
    m_peer_calls.erase(number);
  }
  if (actions.close_unused_before) {
    m_observer.OnConnectionsSilent();
    m_exchanges.CloseUnusedBefore(*actions.close_unused_before);
  }
  for (const RelayAttempt& send : actions.sends) {
    Send(send);
  }
  for (const RelayDelegation& delegation : actions.delegations) {
    Delegate(delegation);
  }
  for (const Endpoint& leaf : actions.probes) {
    m_exchanges.Probe(leaf);
  }
  ReportFailedAttempts();
  ReportHeldRequests();
  ReportCrashes();
  ReportLeafNotices();
  ReportContactChanges();
  for (RelayFinish& finish : actions.finishes) {
    Finish(std::move(finish));
  }
  ArmTimer();
}

void RelayFront::Send(const RelayAttempt& send) {
  const auto found = m_in_flight.find(send.request);
  if (found == m_in_flight.end()) {
    return;
  }
  HttpRequest request = m_protocol.MakeLeafRequest(
      found->second.Request(), send.leaf_id, TimeUntil(send.leaf_deadline));
  const RelayAttemptNumber number = send.number;
  LeafCall call;
  call.leaf = send.address;
  call.request_id = found->second.request_id;
  call.request = std::move(request);
  call.deadline = send.deadline;
  call.matches = [this, id = found->second.request_id](
                     const HttpResponse& response, ConnectionUse use) {
    return m_protocol.IsResponseTo(id, response, use);
  };
  call.on_skipped = [this, id = found->second.request_id, leaf = send.leaf_id](
                        const HttpResponse& response,
                        const ExchangePosition& position) {
    m_observer.OnResponseSkipped(
        {id, leaf, m_protocol.EchoedId(response), response.status, position});
  };
  call.may_send = [this, number] { return m_engine.MaySend(number, Now()); };
  call.before_send = [this, until = send.leaf_deadline](HttpRequest& request) {
    m_protocol.SetTimeLeft(request, TimeUntil(until));
  };
  call.done = [this, number](HttpOutcome outcome) {
    Apply(m_engine.OnReply(number, m_protocol.ReadReply(std::move(outcome)),
                           Now()));
  };
  m_exchanges.Send(number, std::move(call));
}

void RelayFront::Finish(RelayFinish finish) {
  const auto found = m_in_flight.find(finish.request);
  if (found == m_in_flight.end()) {
    return;
  }
  RelayOutcome& outcome = finish.outcome;
  if (!found->second.exchange) {
    AnswerPeer(finish.request, outcome);
    return;
  }
  const RequestInFlight request = std::move(found->second);
  m_in_flight.erase(found);
  HttpResponse response;
  if (outcome.refusal) {
    response = m_protocol.MakeRefusal(*outcome.refusal);
  } else if (request.route->IsFanOut()) {
    response = m_protocol.MakeMergedAnswer(
        outcome.answers, outcome.missing_shards, request.route->result_limit);
  } else {
    response = m_protocol.MakeAnswer(std::move(outcome.answers.front()));
  }
  RelayEnd end;
  end.request_id = request.request_id;
  end.route = request.route;
  end.version = request.table->Version();
  end.status = response.status;
  end.taken = Now() - request.arrived;
  end.time_for_answer = request.answer_by - request.arrived;
  end.routes_unconfirmed = RoutesUnconfirmed(Now());
  end.missing_shards = outcome.missing_shards;
  end.outcome = &outcome;
  end.refusal = outcome.refusal;
  end.fingerprint = request.fingerprint;
  end.resource = request.resource;
  m_observer.OnRequestEnd(end);
  request.exchange->Respond(std::move(response));
}

void RelayFront::ReportFailedAttempts() {
  for (const FailedAttempt& send : m_engine.TakeFailedAttempts()) {
    const auto found = m_in_flight.find(send.request);
    m_observer.OnAttemptFailed(found == m_in_flight.end()
                                   ? std::string_view()
                                   : found->second.request_id,
                               send);
  }
}

void RelayFront::ReportHeldRequests() {
  for (const HeldRequest& held : m_engine.TakeHeldRequests()) {
    const auto found = m_in_flight.find(held.request);
    m_observer.OnRequestHeld(found == m_in_flight.end()
                                 ? std::string_view()
                                 : found->second.request_id,
                             held);
  }
}

void RelayFront::ReportLeafNotices() {
  bool is_any_leaving = false;
  for (const LeafNotice& notice : m_engine.TakeLeafNotices()) {
    is_any_leaving = is_any_leaving || notice.kind == LeafNoticeKind::kLeaving;
    m_observer.OnLeafNotice(notice);
  }
  // Posted, since this may run in the callback of a connection that it closes.
  if (is_any_leaving) {
    m_loop.Post([this, weak = std::weak_ptr(m_self)] {
      if (weak.lock()) {
        UpdatePoolSizes();
      }
    });
  }
}

void RelayFront::ReportContactChanges() {
  for (const ContactChange& change : m_engine.TakeContactChanges()) {
    m_exchanges.SetPoolFilling(change.state != ContactState::kCutOff);
    m_observer.OnContactChange(change);
  }
}

void RelayFront::ReportCrashes() {
  for (const CrashEvidenceEvent& event : m_engine.TakeCrashEvents()) {
    m_observer.OnCrashEvidence(event);
  }
  for (const LeafCrash& crash : m_engine.TakeCrashes()) {
    m_observer.OnLeafCrash(crash);
  }
  for (const CrashSuspect& suspect : m_engine.TakeSuspects()) {
    m_observer.OnSuspectFound(suspect);
  }
}

void RelayFront::ArmTimer() {
  const auto next = m_engine.NextTimer();
  if (!next || (m_timer_at && *m_timer_at <= *next)) {
    return;
  }
  m_timer_at = next;
  m_timer = m_loop.At(*next, [this] {
    m_timer_at.reset();
    Apply(m_engine.OnTimer(Now()));
  });
}

}  // namespace bramleyspoke
