#include "process/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "base/enum_names.h"
#include "connection/config_store.h"
#include "connection/peer.h"

namespace bramleyspoke {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using Buckets = prometheus::Histogram::BucketBoundaries;
template <typename Metric>
using Family = prometheus::Family<Metric>;
using prometheus::Counter;
using prometheus::Gauge;
using prometheus::Histogram;

constexpr EnumNames<ConnectionKind, 2> kConnectionKindNames{{{
    {ConnectionKind::kCaller, "caller"},
    {ConnectionKind::kLeaf, "leaf"},
}}};

constexpr EnumNames<StoreOutcome, 4> kStoreOutcomeNames{{{
    {StoreOutcome::kOk, "ok"},
    {StoreOutcome::kConflict, "conflict"},
    {StoreOutcome::kUnknown, "unknown"},
    {StoreOutcome::kUnavailable, "unavailable"},
}}};

constexpr EnumNames<ForwardResult, 3> kForwardResultNames{{{
    {ForwardResult::kReplied, "replied"},
    {ForwardResult::kNotSent, "not_sent"},
    {ForwardResult::kLost, "lost"},
}}};

const Buckets& LatencyBucketsInSeconds() {
  static const Buckets kBuckets{0.001, 0.002, 0.005, 0.01, 0.02, 0.035,
                                0.05,  0.075, 0.091, 0.12, 0.2,  0.5,
                                1,     2,     5,     10};
  return kBuckets;
}

const Buckets& CoverageBuckets() {
  static const Buckets kBuckets{0, 0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.999, 1};
  return kBuckets;
}

const Buckets& AttemptsPerNeededBuckets() {
  static const Buckets kBuckets{1, 1.02, 1.05, 1.1, 1.2, 1.5, 2, 3, 5};
  return kBuckets;
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Unknown services share one label: their names come from callers, and the
// number of labels would be unbounded.
std::string ServiceLabel(std::string_view service) {
  return service.empty() ? "unknown" : std::string(service);
}

class PrometheusMetrics final : public Metrics {
 public:
  void Observe(const SearchObservation& search) override {
    const std::string service = ServiceLabel(search.service);
    const std::string verdict(ToString(search.verdict));
    const std::string reason(search.reason ? ToString(*search.reason) : "none");
    m_searches
        .Add({{"service", service}, {"verdict", verdict}, {"reason", reason}})
        .Increment();
    m_latency.Add({{"service", service}}, LatencyBucketsInSeconds())
        .Observe(Seconds(search.latency));
    if (search.coverage) {
      m_coverage.Add({{"service", service}}, CoverageBuckets())
          .Observe(*search.coverage);
    }
    ObserveAttempts(service, search);
  }

  void Observe(const ServiceObservation& service) override {
    const std::string label = ServiceLabel(service.service);
    m_waiting.Add({{"service", label}})
        .Set(static_cast<double>(service.waiting_attempts));
    m_in_flight.Add({{"service", label}})
        .Set(static_cast<double>(service.in_flight));
  }

  void Observe(const ControlObservation& control) override {
    m_generation.Set(static_cast<double>(control.generation));
    m_manifest_age.Set(Seconds(control.manifest_age));
    m_confirmed.Set(control.is_confirmed ? 1 : 0);
    m_ready.Set(control.is_ready ? 1 : 0);
    m_stopping.Set(control.is_stopping ? 1 : 0);
    m_members.Set(static_cast<double>(control.members));
  }

  void SetConnections(ConnectionKind kind, std::uint64_t open) override {
    m_connections
        .Add({{"kind", std::string(kConnectionKindNames.NameOf(kind))}})
        .Set(static_cast<double>(open));
  }

  void CountStoreCall(StoreOutcome outcome) override {
    const std::string name(kStoreOutcomeNames.NameOf(outcome));
    m_store_calls.Add({{"outcome", name}}).Increment();
  }

  void CountForward(ForwardResult result) override {
    const std::string name(kForwardResultNames.NameOf(result));
    m_forwards.Add({{"outcome", name}}).Increment();
  }

  std::string Text() const override {
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
  }

 private:
  void ObserveAttempts(const std::string& service,
                       const SearchObservation& search) {
    m_attempts.Add({{"service", service}}).Increment(search.attempts);
    m_needed.Add({{"service", service}}).Increment(search.needed);
    if (search.needed > 0) {
      m_attempts_per_needed
          .Add({{"service", service}}, AttemptsPerNeededBuckets())
          .Observe(static_cast<double>(search.attempts) / search.needed);
    }
  }

  Family<Counter>& CounterFamily(const char* name, const char* help) {
    return BuildCounter().Name(name).Help(help).Register(m_registry);
  }
  Family<Gauge>& GaugeFamily(const char* name, const char* help) {
    return BuildGauge().Name(name).Help(help).Register(m_registry);
  }
  Family<Histogram>& HistogramFamily(const char* name, const char* help) {
    return BuildHistogram().Name(name).Help(help).Register(m_registry);
  }
  Gauge& SingleGauge(const char* name, const char* help) {
    return GaugeFamily(name, help).Add({});
  }

  prometheus::Registry m_registry;
  Family<Counter>& m_searches =
      CounterFamily("bramleyspoke_searches_total",
                    "Searches that ended, by verdict and refusal reason");
  Family<Histogram>& m_latency =
      HistogramFamily("bramleyspoke_search_seconds",
                      "Time from a search's arrival to its answer or refusal");
  Family<Histogram>& m_coverage =
      HistogramFamily("bramleyspoke_search_coverage",
                      "Share of its snapshot that an answer covers");
  Family<Histogram>& m_attempts_per_needed =
      HistogramFamily("bramleyspoke_search_attempts_per_needed",
                      "Attempts sent for each one that was needed");
  Family<Counter>& m_attempts =
      CounterFamily("bramleyspoke_attempts_total", "Attempts sent to leafs");
  Family<Counter>& m_needed =
      CounterFamily("bramleyspoke_attempts_needed_total",
                    "Attempts that searches needed at the least");
  Family<Gauge>& m_waiting = GaugeFamily("bramleyspoke_waiting_attempts",
                                         "Attempts that wait for a slot");
  Family<Gauge>& m_in_flight =
      GaugeFamily("bramleyspoke_in_flight_searches",
                  "Searches neither answered nor refused yet");
  Family<Gauge>& m_connections =
      GaugeFamily("bramleyspoke_connections", "Open connections");
  Family<Counter>& m_store_calls =
      CounterFamily("bramleyspoke_store_calls_total",
                    "Calls to the key-value service, by outcome");
  Family<Counter>& m_forwards =
      CounterFamily("bramleyspoke_forwards_total",
                    "Searches handed to another daemon, by outcome");
  Gauge& m_generation = SingleGauge("bramleyspoke_manifest_generation",
                                    "Generation of the manifest in force");
  Gauge& m_manifest_age =
      SingleGauge("bramleyspoke_manifest_age_seconds",
                  "Time since the generation was last confirmed");
  Gauge& m_confirmed =
      SingleGauge("bramleyspoke_manifest_confirmed",
                  "1 while the generation is confirmed recently enough");
  Gauge& m_ready =
      SingleGauge("bramleyspoke_ready", "1 while this daemon takes searches");
  Gauge& m_stopping =
      SingleGauge("bramleyspoke_stopping", "1 during a planned stop");
  Gauge& m_members =
      SingleGauge("bramleyspoke_members", "Live daemons known here");
};

}  // namespace

std::unique_ptr<Metrics> Metrics::Create() {
  return std::make_unique<PrometheusMetrics>();
}

}  // namespace bramleyspoke
