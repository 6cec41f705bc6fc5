#include "process/relay_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <set>

namespace bramleyspoke {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

const prometheus::Histogram::BucketBoundaries kLatencyBucketsInSeconds{
    0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.12,
    0.16,  0.2,  0.3,  0.4,  0.6,  1,    2,   4};

constexpr std::size_t kMaxRouteLabels = 32;

constexpr std::array<LeafState, 9> kLeafStates{
    LeafState::kReady,   LeafState::kDraining,    LeafState::kEjected,
    LeafState::kFull,    LeafState::kRateLimited, LeafState::kPaused,
    LeafState::kDrained, LeafState::kUnreachable, LeafState::kGone};

std::string_view OutcomeOf(const RelayEnd& end) {
  if (end.refusal) {
    return ToString(end.refusal->reason);
  }
  if (end.status != 200) {
    return "failed";
  }
  return end.missing_shards > 0 ? "partial" : "answered";
}

class PrometheusRelayMetrics final : public RelayMetrics {
 public:
  PrometheusRelayMetrics()
      : m_requests(BuildCounter()
                       .Name("bramleyspoke_relay_requests_total")
                       .Help("Relayed requests by route, status and outcome")
                       .Register(m_registry)),
        m_latency(BuildHistogram()
                      .Name("bramleyspoke_relay_latency_seconds")
                      .Help("From a request read whole to its answer")
                      .Register(m_registry)
                      .Add({}, kLatencyBucketsInSeconds)),
        m_missing(BuildCounter()
                      .Name("bramleyspoke_relay_missing_shards_total")
                      .Help("Shards that answers did not cover")
                      .Register(m_registry)
                      .Add({})),
        m_failed_attempts(BuildCounter()
                              .Name("bramleyspoke_relay_failed_sends_total")
                              .Help("Sendings to leafs that failed, by how")
                              .Register(m_registry)),
        m_skipped_responses(
            BuildCounter()
                .Name("bramleyspoke_relay_skipped_responses_total")
                .Help("Responses of leafs that belong to no awaited request, "
                      "by whether they name another request or none")
                .Register(m_registry)),
        m_crash_evidence(
            BuildCounter()
                .Name("bramleyspoke_relay_crash_evidence_total")
                .Help("Evidence of requests that crash leafs, by what became "
                      "of it")
                .Register(m_registry)),
        m_leaf_notices(BuildCounter()
                           .Name("bramleyspoke_relay_leaf_notices_total")
                           .Help("Changes of what leafs announce, by kind")
                           .Register(m_registry)),
        m_contact_changes(
            BuildCounter()
                .Name("bramleyspoke_relay_contact_changes_total")
                .Help("Changes of the contact to the leafs, by new state")
                .Register(m_registry)),
        m_store_calls(BuildCounter()
                          .Name("bramleyspoke_relay_store_calls_total")
                          .Help("Calls to the platform's store by outcome")
                          .Register(m_registry)),
        m_leafs(BuildGauge()
                    .Name("bramleyspoke_relay_leafs")
                    .Help("Leafs by state")
                    .Register(m_registry)),
        m_least_budget(BuildGauge()
                           .Name("bramleyspoke_relay_least_repeats_left")
                           .Help("Of the service with the fewest")
                           .Register(m_registry)
                           .Add({})),
        m_state_gauges(BuildGauge()
                           .Name("bramleyspoke_relay_state")
                           .Help("What the daemon holds or has counted so far")
                           .Register(m_registry)) {}

  void Observe(const RelayEnd& end) override {
    m_requests
        .Add({{"route", RouteLabel(end)},
              {"status", std::to_string(end.status)},
              {"outcome", std::string(OutcomeOf(end))}})
        .Increment();
    m_latency.Observe(std::chrono::duration<double>(end.taken).count());
    m_missing.Increment(static_cast<double>(end.missing_shards));
  }

  void Observe(const FailedAttempt& send) override {
    m_failed_attempts.Add({{"kind", std::string(ToString(send.kind))}})
        .Increment();
  }

  void Observe(const SkippedResponse& response) override {
    const bool has_id = !response.echoed_id.empty();
    m_skipped_responses.Add({{"names", has_id ? "another" : "none"}})
        .Increment();
  }

  void Observe(const CrashEvidenceEvent& event) override {
    m_crash_evidence.Add({{"step", std::string(ToString(event.step))}})
        .Increment();
  }

  void Observe(const LeafNotice& notice) override {
    m_leaf_notices.Add({{"kind", std::string(ToString(notice.kind))}})
        .Increment();
  }

  void Observe(const ContactChange& change) override {
    m_contact_changes.Add({{"state", std::string(ToString(change.state))}})
        .Increment();
  }

  void Observe(StoreCallKind kind, KeyValueStatus status) override {
    m_store_calls
        .Add({{"kind", std::string(ToString(kind))},
              {"outcome", std::string(ToString(status))}})
        .Increment();
  }

  std::string Text(const RelayObservation& observation) override {
    SetStateGauge("version", observation.version);
    for (const LeafState state : kLeafStates) {
      const auto found = observation.by_state.find(state);
      m_leafs.Add({{"state", std::string(ToString(state))}})
          .Set(static_cast<double>(
              found == observation.by_state.end() ? 0 : found->second));
    }
    m_least_budget.Set(observation.least_budget);
    SetStateGauge("holder", observation.is_holder ? 1 : 0);
    SetStateGauge("cut_off",
                  observation.contact == ContactState::kCutOff ? 1 : 0);
    SetStateGauge("daemons", observation.daemons);
    SetStateGauge("in_flight", observation.in_flight);
    SetStateGauge("caller_connections", observation.caller_connections);
    SetStateGauge("leaf_connections", observation.leaf_connections);
    SetStateGauge("leaf_connections_opened",
                  observation.leaf_connections_opened);
    SetStateGauge("leaf_connections_replaced",
                  observation.leaf_connections_replaced);
    SetStateGauge("store_reachable", observation.is_store_reachable ? 1 : 0);
    SetStateGauge("store_era", observation.store_era);
    SetStateGauge("routes_unconfirmed_ms",
                  static_cast<std::uint64_t>(
                      ToMilliseconds(observation.routes_unconfirmed)));
    SetStateGauge("ready", observation.is_ready ? 1 : 0);
    SetStateGauge("sends", observation.engine.sends);
    SetStateGauge("hedges", observation.engine.hedges);
    SetStateGauge("retries", observation.engine.retries);
    SetStateGauge("delegations", observation.engine.delegations);
    SetStateGauge("hand_overs", observation.engine.hand_overs);
    SetStateGauge("budget_refusals", observation.engine.budget_refusals);
    SetStateGauge("crash_refusals", observation.engine.crash_refusals);
    SetStateGauge("leaf_wait_refusals", observation.engine.leaf_wait_refusals);
    SetStateGauge("late_refusals", observation.engine.late_refusals);
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
  }

 private:
  // Routes are added and removed over time; beyond a maximum number of labels,
  // new ones share the label "other".
  std::string RouteLabel(const RelayEnd& end) {
    if (end.route == nullptr) {
      return "none";
    }
    if (m_labelled_routes.size() < kMaxRouteLabels) {
      m_labelled_routes.insert(end.route->name);
    }
    return m_labelled_routes.contains(end.route->name) ? end.route->name
                                                       : "other";
  }

  void SetStateGauge(const char* name, std::uint64_t value) {
    m_state_gauges.Add({{"what", name}}).Set(static_cast<double>(value));
  }

  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_requests;
  prometheus::Histogram& m_latency;
  prometheus::Counter& m_missing;
  prometheus::Family<prometheus::Counter>& m_failed_attempts;
  prometheus::Family<prometheus::Counter>& m_skipped_responses;
  prometheus::Family<prometheus::Counter>& m_crash_evidence;
  prometheus::Family<prometheus::Counter>& m_leaf_notices;
  prometheus::Family<prometheus::Counter>& m_contact_changes;
  prometheus::Family<prometheus::Counter>& m_store_calls;
  prometheus::Family<prometheus::Gauge>& m_leafs;
  prometheus::Gauge& m_least_budget;
  prometheus::Family<prometheus::Gauge>& m_state_gauges;
  /// Routes with a label of their own.
  std::set<std::string> m_labelled_routes;
};

}  // namespace

std::unique_ptr<RelayMetrics> RelayMetrics::Create() {
  return std::make_unique<PrometheusRelayMetrics>();
}

}  // namespace bramleyspoke
