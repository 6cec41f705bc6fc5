#include "process/metrics.h"

#include <doctest/doctest.h>

#include "connection/config_store.h"
#include "connection/peer.h"

namespace bramleyspoke {
namespace {

bool Contains(const std::string& text, std::string_view line) {
  return text.find(line) != std::string::npos;
}

}  // namespace

TEST_CASE("the metrics text contains all observations") {
  const auto metrics = Metrics::Create();
  metrics->Observe(SearchObservation{"lookup", Verdict::kRan, std::nullopt,
                                     std::chrono::milliseconds(80), 0.96, 22,
                                     20});
  metrics->Observe(SearchObservation{"", Verdict::kNotRun,
                                     RefusalReason::kUnknownService,
                                     Duration::zero(), std::nullopt, 0, 0});
  metrics->Observe(ServiceObservation{"lookup", 3, 4});
  metrics->Observe(ControlObservation{7, std::chrono::milliseconds(1500), true,
                                      true, false, 9});
  metrics->SetConnections(ConnectionKind::kLeaf, 40);
  metrics->CountStoreCall(StoreOutcome::kOk);
  metrics->CountForward(ForwardResult::kLost);
  const std::string text = metrics->Text();
  CAPTURE(text);

  for (
      const char* line :
      {R"(bramleyspoke_searches_total{reason="none",service="lookup",verdict="ran"} 1)",
       R"(bramleyspoke_searches_total{reason="unknown_service",service="unknown",verdict="not_run"} 1)",
       R"(bramleyspoke_search_seconds_bucket{service="lookup",le="0.075"} 0)",
       R"(bramleyspoke_search_seconds_bucket{service="lookup",le="0.091"} 1)",
       R"(bramleyspoke_search_coverage_sum{service="lookup"} 0.96)",
       R"(bramleyspoke_search_attempts_per_needed_bucket{service="lookup",le="1.1"} 1)",
       R"(bramleyspoke_attempts_total{service="lookup"} 22)",
       R"(bramleyspoke_waiting_attempts{service="lookup"} 3)",
       R"(bramleyspoke_in_flight_searches{service="lookup"} 4)",
       R"(bramleyspoke_connections{kind="leaf"} 40)",
       "bramleyspoke_manifest_generation 7",
       "bramleyspoke_manifest_age_seconds 1.5", "bramleyspoke_ready 1",
       "bramleyspoke_members 9",
       R"(bramleyspoke_store_calls_total{outcome="ok"} 1)",
       R"(bramleyspoke_forwards_total{outcome="lost"} 1)"}) {
    CAPTURE(line);
    CHECK(Contains(text, line));
  }
}

}  // namespace bramleyspoke
