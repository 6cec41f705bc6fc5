#include "process/relay_control.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "held_store.h"
#include "manual_loop.h"
#include "platform/store_entries.h"
#include "router_fakes.h"

namespace bramleyspoke {
namespace {

std::string Routes(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[],"limits":{"header_bytes":16384,)"
         R"("body_bytes":262144,"header_timeout_ms":3000,)"
         R"("idle_timeout_ms":15000}})";
}

std::string Leaf(int port, const std::string& state) {
  return R"({"service":"s","address":"127.0.0.1:)" + std::to_string(port) +
         R"(","zone":"z","version":"v1","slots":2,"state":")" + state +
         R"(","cold_remaining_ms":0,"seq":1,"born":5})";
}

/// The control part of a relay whose store is answered by the test.
class ControlFixture final : public RelayControlListener {
 public:
  ControlFixture()
      : control(RelayControl::Create(
            loop,
            store,
            schema,
            {"self",
             {{"127.0.0.9", 1}, {"127.0.0.9", 2}, "z", "r"},
             std::chrono::seconds(3)},
            SeedReader::Create(loop, peers, {}),
            *this)) {
    control->Start();
  }

  void OnTable(std::shared_ptr<const RouteTable> table) override {
    versions.push_back(table->Version());
  }
  void OnLeafs(std::vector<LeafRegistration> registered) override {
    leafs = std::move(registered);
  }
  void OnDaemons(std::vector<DaemonEntry> /*daemons*/) override {}
  void OnCrashSuspect(const CrashSuspect& /*suspect*/) override {}
  void OnStoreEra(const StoreEraChange& change) override {
    eras.push_back(change.after);
  }
  void OnStoreConfirmed(TimePoint /*at*/) override {}
  void OnStoreReachability(bool /*is_reachable*/) override {}

  void AnswerWatch(const KeyValueChanges& changes) {
    while (store.watches.empty()) {
      REQUIRE(loop.RunNextTimer());
    }
    std::exchange(store.watches, {}).front().done(changes);
  }

  /// Runs timers until the keys are read, and answers the read.
  void AnswerRead(std::vector<KeyValueItem> items) {
    while (store.ranges.empty()) {
      REQUIRE(loop.RunNextTimer());
    }
    store.AnswerRange(std::move(items));
  }

  ManualLoop loop;
  HeldStore store;
  FakePeers peers;
  Platform::StoreEntries schema;
  std::vector<std::uint64_t> versions;
  std::vector<LeafRegistration> leafs;
  std::vector<std::uint64_t> eras;
  std::unique_ptr<RelayControl> control;
};

}  // namespace

TEST_CASE("a store that comes back from an older copy takes nothing away") {
  ControlFixture fixture;
  fixture.AnswerRead({{"op/config", Routes(4)},
                      {"servers/a", Leaf(1, "draining")},
                      {"servers/b", Leaf(2, "ready")}});
  CHECK(fixture.versions == std::vector<std::uint64_t>{4});
  REQUIRE(fixture.leafs.size() == 2);

  fixture.store.on_era_change({1, 2});
  CHECK(fixture.eras == std::vector<std::uint64_t>{2});
  CHECK(fixture.store.watches.empty());
  fixture.AnswerRead(
      {{"op/config", Routes(3)}, {"servers/a", Leaf(1, "ready")}});
  CHECK(fixture.versions == std::vector<std::uint64_t>{4});
  REQUIRE(fixture.leafs.size() == 2);
  CHECK(fixture.leafs[0].is_draining);
  CHECK(fixture.store.watches.size() == 1);

  std::exchange(fixture.store.watches, {})
      .front()
      .done({KeyValueStatus::kOk, {{"op/config", Routes(5)}}, 8});
  CHECK(fixture.versions == std::vector<std::uint64_t>{4, 5});
  CHECK(fixture.store.revoked.empty());
}

TEST_CASE(
    "a leaf that is removed while a connection to the store is broken gets no "
    "more requests") {
  ControlFixture fixture;
  fixture.AnswerRead({{"servers/a", Leaf(1, "ready")}});
  REQUIRE(fixture.leafs.size() == 1);
  const KeyValueChanges unanswered;
  const KeyValueChanges removed{
      KeyValueStatus::kOk, {{"servers/a", std::nullopt}}, 8};
  SUBCASE("at once if the store answers the next watch") {
    fixture.AnswerWatch(unanswered);
    fixture.AnswerWatch(removed);
    CHECK(fixture.leafs.empty());
  }
  SUBCASE("after a grace period if the store was unavailable") {
    fixture.AnswerWatch(unanswered);
    fixture.AnswerWatch(unanswered);
    fixture.AnswerWatch(removed);
    CHECK(fixture.leafs.size() == 1);
  }
}

TEST_CASE(
    "a leaf that started again in a new era of the store is not draining") {
  ControlFixture fixture;
  fixture.AnswerRead({{"servers/a", Leaf(1, "draining")}});
  fixture.store.on_era_change({1, 2});
  std::string restarted = Leaf(1, "ready");
  restarted.replace(restarted.find("\"born\":5"), 8, "\"born\":6");
  fixture.AnswerRead({{"servers/a", restarted}});
  REQUIRE(fixture.leafs.size() == 1);
  CHECK_FALSE(fixture.leafs[0].is_draining);
}

}  // namespace bramleyspoke
