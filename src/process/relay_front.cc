#include "process/relay_front.h"

#include <algorithm>
#include <utility>

#include "connection/event_loop.h"

namespace bramleyspoke {
namespace {

// For callers that come before this daemon knows any route.
constexpr Duration kNoRoutesRetry = std::chrono::milliseconds(500);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

RelayFront::RelayFront(EventLoop& loop,
                       const RelayProtocol& protocol,
                       Locality locality,
                       const RepeatAllowance& repeats,
                       RelayObserver& observer)
    : m_loop(loop),
      m_protocol(protocol),
      m_observer(observer),
      m_engine(std::move(locality), repeats),
      m_exchanges(loop, [this](const Endpoint& leaf, bool is_reachable) {
        Apply(m_engine.OnReachable(leaf, is_reachable, Now()));
      }) {}

RelayFront::~RelayFront() = default;

void RelayFront::Handle(std::shared_ptr<HttpExchange> exchange) {
  CallerHead head = m_protocol.ReadHead(exchange->Request());
  const Route* route = m_table ? m_table->Find(head.host, head.path) : nullptr;
  if (route != nullptr) {
    Submit(std::move(exchange), std::move(head), *route);
    return;
  }
  if (!m_table || m_is_stale) {
    Refuse(*exchange, head,
           {RefusalReason::kNotReady, Verdict::kNotRun, kNoRoutesRetry});
    return;
  }
  HttpResponse response = m_protocol.MakeNoRoute();
  RelayEnd end;
  end.request_id = head.request_id;
  end.version = m_table->Version();
  end.status = response.status;
  m_observer.OnRequestEnd(end);
  exchange->Respond(std::move(response));
}

void RelayFront::Refuse(HttpExchange& exchange,
                        const CallerHead& head,
                        const RelayRefusal& refusal) {
  HttpResponse response = m_protocol.MakeRefusal(refusal);
  RelayEnd end;
  end.request_id = head.request_id;
  end.status = response.status;
  end.refusal = refusal;
  m_observer.OnRequestEnd(end);
  exchange.Respond(std::move(response));
}

void RelayFront::Submit(std::shared_ptr<HttpExchange> exchange,
                        CallerHead head,
                        const Route& route) {
  const TimePoint now = Now();
  const RelayNumber number = ++m_last_number;
  const Duration round_trip =
      std::clamp(exchange->RoundTrip().value_or(kDefaultRoundTrip),
                 kDefaultRoundTrip, route.target_latency / 2);
  const Duration allowed =
      std::min(head.time_allowed.value_or(route.timeout), route.timeout);
  RelayRequest request;
  request.request_id = head.request_id;
  request.table = m_table;
  request.route = &route;
  request.deadline = now + std::max(allowed - kAnswerMargin, allowed / 2);
  request.answer_by = now + route.target_latency - round_trip;
  m_open.emplace(
      number, Open{exchange, std::move(head.request_id), m_table, &route, now});
  exchange->OnClientGone([this, number] {
    m_open.erase(number);
    Apply(m_engine.OnCallerGone(number, Now()));
  });
  Apply(m_engine.Submit(number, std::move(request), now));
}

void RelayFront::SetTable(std::shared_ptr<const RouteTable> table) {
  m_table = table;
  Apply(m_engine.SetTable(std::move(table), Now()));
}

void RelayFront::SetLeafs(const std::vector<LeafRegistration>& leafs) {
  Apply(m_engine.SetLeafs(leafs, Now()));
  m_exchanges.Keep(m_engine.Book().Addresses());
}

void RelayFront::SetDaemons(std::size_t daemons) {
  m_engine.SetDaemons(daemons);
}

void RelayFront::Apply(RelayActions actions) {
  for (const SendNumber number : actions.abandons) {
    m_exchanges.Abandon(number);
  }
  for (const RelaySend& send : actions.sends) {
    Send(send);
  }
  ReportFailedSends();
  for (RelayFinish& finish : actions.finishes) {
    Finish(std::move(finish));
  }
  ArmTimer();
}

void RelayFront::Send(const RelaySend& send) {
  const auto found = m_open.find(send.request);
  if (found == m_open.end()) {
    return;
  }
  const Duration left = send.deadline - Now();
  HttpRequest request = m_protocol.MakeLeafRequest(
      found->second.exchange->Request(), send.leaf_id,
      std::max<Duration>(left, std::chrono::milliseconds(1)));
  const SendNumber number = send.number;
  m_exchanges.Send(
      number, send.address, std::move(request), send.deadline,
      [this, id = found->second.request_id](const HttpResponse& response) {
        return m_protocol.IsAnswerTo(id, response);
      },
      [this, number](HttpOutcome outcome) {
        Apply(m_engine.OnReply(number, m_protocol.ReadReply(std::move(outcome)),
                               Now()));
      });
}

void RelayFront::Finish(RelayFinish finish) {
  const auto found = m_open.find(finish.request);
  if (found == m_open.end()) {
    return;
  }
  const Open open = std::move(found->second);
  m_open.erase(found);
  RelayOutcome& outcome = finish.outcome;
  HttpResponse response;
  if (outcome.refusal) {
    response = m_protocol.MakeRefusal(*outcome.refusal);
  } else if (open.route->IsFanOut()) {
    response = m_protocol.MakeMergedAnswer(
        outcome.answers, outcome.missing_shards, open.route->result_limit);
  } else {
    response = m_protocol.MakeAnswer(std::move(outcome.answers.front()));
  }
  RelayEnd end;
  end.request_id = open.request_id;
  end.route = open.route;
  end.version = open.table->Version();
  end.status = response.status;
  end.taken = Now() - open.arrived;
  end.sends = outcome.sends;
  end.repeats = outcome.repeats;
  end.missing_shards = outcome.missing_shards;
  end.refusal = outcome.refusal;
  m_observer.OnRequestEnd(end);
  open.exchange->Respond(std::move(response));
}

void RelayFront::ReportFailedSends() {
  for (const RelaySendEnd& send : m_engine.TakeFailedSends()) {
    const auto found = m_open.find(send.request);
    m_observer.OnSendFailed(
        found == m_open.end() ? std::string_view() : found->second.request_id,
        send);
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
