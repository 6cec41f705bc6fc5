#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <vector>

#include "request/coverage_wait.h"
#include "request/leaf_table.h"
#include "request/retry_budget.h"

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow{std::chrono::hours(1)};

}  // namespace

TEST_CASE("all daemons together stay within the retry budget in any window") {
  const RetryAllowance allowance{0.2, 56};
  CHECK(rc::check([&] {
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 20);
    std::vector<RetryBudget> budgets(daemons, RetryBudget(allowance, daemons));
    // Requests, hedges and retries in random order.
    const auto before = *rc::gen::inRange(0, 400);
    for (int i = 0; i < before; ++i) {
      budgets[static_cast<std::size_t>(i) % daemons].OnRequest();
    }
    const auto events = *rc::gen::container<std::vector<std::size_t>>(
        300, rc::gen::inRange<std::size_t>(0, 1000));
    double requests = 0;
    double extra_attempts = 0;
    for (const std::size_t event : events) {
      RetryBudget& budget = budgets[event % daemons];
      if (event % 3 == 0) {
        budget.OnRequest();
        ++requests;
      } else if (event % 3 == 1 ? budget.TakeForHedge()
                                : budget.TakeForRetry()) {
        ++extra_attempts;
      }
    }
    RC_ASSERT(extra_attempts <= allowance.ratio * requests + allowance.slack);
  }));
}

TEST_CASE("retries before and after a restart of all daemons share the slack") {
  const RetryAllowance allowance{0.2, 56};
  CHECK(rc::check([&] {
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 100);
    int extra_attempts = 0;
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
      RetryBudget before(allowance, daemons);
      for (int i = 0; i < 1000; ++i) {
        before.OnRequest();
      }
      while (before.TakeForRetry()) {
        ++extra_attempts;
      }
      RetryBudget after(allowance, daemons);
      while (after.TakeForRetry()) {
        ++extra_attempts;
      }
    }
    // The requests before the restart count in the same window.
    RC_ASSERT(extra_attempts <= allowance.slack + 200.0 * double(daemons));
    RC_ASSERT(daemons > 15 || extra_attempts <= allowance.slack);
  }));
}

// Each daemon that started while the store was away brought half of the slack.
TEST_CASE("daemons that do not know of each other take nothing of the slack") {
  const RetryAllowance allowance{0.2, 630};
  constexpr std::size_t kDaemons = 20;
  std::vector<std::unique_ptr<LeafTable>> tables;
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    tables.push_back(
        std::make_unique<LeafTable>(Locality{"d1", "r1", {}}, allowance));
    tables.back()->SetDaemons({{"r1", 1}}, false);
    CHECK_FALSE(tables.back()->Service("s").budget.TakeForRetry());
  }

  SUBCASE("and their parts of it once they do") {
    double tokens = 0;
    for (const auto& table : tables) {
      table->SetDaemons({{"r1", kDaemons}});
      tokens += table->Service("s").budget.Tokens();
    }
    CHECK(tokens > 0.25 * allowance.slack);
    CHECK(tokens < allowance.slack);
  }
  SUBCASE("and keep what they know if they lose sight of the others") {
    LeafTable& table = *tables.front();
    table.SetDaemons({{"r1", kDaemons}});
    const double tokens = table.Service("s").budget.Tokens();
    table.SetDaemons({{"r1", 1}}, false);
    CHECK(table.Service("s").budget.Tokens() == tokens);
    table.Service("s").budget.OnRequest(1000);
    CHECK(table.Service("s").budget.Tokens() <= allowance.slack / kDaemons);
  }
}

TEST_CASE("a fan-out stops waiting when its answer is due or cannot improve") {
  const CoverageTimes times{kNow + milliseconds(100), kNow + milliseconds(900)};
  struct Row {
    const char* what;
    FanOutProgress progress;
    int at_ms;
    CoverageStep step;
  };
  const std::vector<Row> rows{
      {"all shards have answered", {10, 10, 0}, 5, CoverageStep::kAnswer},
      {"one shard may still answer in time",
       {10, 9, 1},
       50,
       CoverageStep::kWait},
      {"the answer is due", {10, 9, 1}, 100, CoverageStep::kAnswer},
      {"too few shards have answered when it is due",
       {10, 8, 2},
       100,
       CoverageStep::kWait},
      {"when late, a straggler gets a short extra wait",
       {10, 9, 1},
       200,
       CoverageStep::kWait},
      {"the extra wait has ended", {10, 9, 1}, 400, CoverageStep::kAnswer},
      {"the others failed, coverage is sufficient",
       {10, 9, 0},
       5,
       CoverageStep::kAnswer},
      {"sufficient coverage is impossible",
       {10, 5, 3},
       5,
       CoverageStep::kGiveUp},
      {"too few shards have answered at the deadline",
       {10, 8, 2},
       900,
       CoverageStep::kGiveUp},
      {"no shard can answer", {10, 0, 0}, 5, CoverageStep::kGiveUp},
  };
  for (const Row& row : rows) {
    CAPTURE(row.what);
    CHECK(NextCoverageStep(row.progress, 0.9, times,
                           kNow + milliseconds(row.at_ms)) == row.step);
  }
}

TEST_CASE(
    "daemons share a leaf's connections, with larger shares for near ones") {
  const auto table = std::make_shared<const RouteTable>(
      1, std::vector<Route>(), std::vector<RoutedService>{{"s", "/health", 26}},
      CallerLimits());
  LeafRegistration leaf;
  leaf.id = "a";
  leaf.service = "s";
  leaf.failure_domain = "d1";
  const auto share_in = [&](const std::string& region,
                            const std::string& domain) {
    LeafTable leaf_table(Locality{domain, region, {{"d1", "r1"}, {"d2", "r2"}}},
                         RetryAllowance());
    leaf_table.SetRouteTable(table);
    leaf_table.SetDaemons({{"r1", 3}, {"r2", 5}});
    leaf_table.SetLeafs({leaf}, kNow);
    return leaf_table.Service("s").leafs.front()->share;
  };
  const std::uint32_t near = share_in("r1", "d1");
  const std::uint32_t far = share_in("r2", "d2");
  CHECK(near > far);
  CHECK(3 * near + 5 * far <= 26);
}

TEST_CASE("a leaf's load determines its expected cost") {
  const auto fleet = std::make_shared<FleetStatistics>();
  LeafLoad leaf(2, milliseconds(1), fleet);
  for (int i = 0; i < 50; ++i) {
    leaf.OnSent(kNow);
    leaf.OnEnded(kNow);
    leaf.OnAnswered("kind", milliseconds(11), milliseconds(1), std::nullopt,
                    kNow);
  }
  const Duration estimated_cost = leaf.Cost("kind", kNow);
  CHECK(estimated_cost <= milliseconds(13));

  SUBCASE("requests of other daemons occupy its slots") {
    leaf.OnAnswered("kind", milliseconds(11), milliseconds(1),
                    ReportedLoad{2, 4, 2}, kNow);
    CHECK(leaf.Cost("kind", kNow) > estimated_cost + milliseconds(15));
  }
  SUBCASE("a leaf has a high cost while an attempt to it is overdue") {
    leaf.OnSent(kNow);
    const TimePoint later = kNow + milliseconds(60);
    CHECK(leaf.IsSilent(later));
    CHECK(leaf.Cost("kind", later) > estimated_cost + milliseconds(100));
    leaf.OnEnded(later);
    CHECK_FALSE(leaf.IsSilent(later));
  }
  SUBCASE("consecutive failures eject it for a limited time") {
    for (int i = 0; i < 4; ++i) {
      leaf.OnFailure(kNow);
    }
    CHECK_FALSE(leaf.IsUsable(kNow));
    CHECK(leaf.IsUsable(kNow + std::chrono::seconds(5)));
  }
}

}  // namespace bramleyspoke
