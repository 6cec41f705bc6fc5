#include "process/relay_control.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "held_store.h"
#include "manual_loop.h"
#include "platform/store_entries.h"
#include "process/store_follower.h"
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

const Endpoint kSeed{"127.0.0.8", 2};

/// Peers that all have the same routes.
class PeersWithRoutes final : public FakePeers {
 public:
  void Gossip(const Endpoint& /*peer*/,
              const GossipMessage& /*message*/,
              Duration /*timeout*/,
              std::function<void(std::optional<GossipMessage>)> done) override {
    GossipMessage reply;
    reply.generation = version;
    done(reply);
  }
  void FetchKnowledge(
      const Endpoint& /*peer*/,
      Duration /*timeout*/,
      std::function<void(std::optional<StoreKnowledge>)> done) override {
    ++fetches;
    StoreKnowledge knowledge;
    knowledge.routes = Routes(version);
    knowledge.leafs = leafs;
    done(knowledge);
  }

  int version = 0;
  std::vector<LeafRegistration> leafs;
  int fetches = 0;
};

/// The control part of a relay whose store is answered by the test.
class ControlFixture final : public RelayControlListener {
 public:
  explicit ControlFixture(int peers_version = 0)
      : control(RelayControl::Create(
            loop,
            store,
            schema,
            {"self",
             {{"127.0.0.9", 1}, {"127.0.0.9", 2}, "z", "r"},
             std::chrono::seconds(3),
             {kSeed}},
            peers,
            *this)) {
    peers.version = peers_version;
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

  /// Runs timers and answers grants and puts for a while; returns how often
  /// `key` was put.
  std::ptrdiff_t CountPuts(const std::string& key) {
    constexpr int kTimers = 20;
    for (int i = 0; i < kTimers; ++i) {
      loop.RunNextTimer();
      for (const auto& grant : std::exchange(store.grants, {})) {
        grant.done({KeyValueStatus::kOk, i + 1, {}});
      }
      for (const auto& put : std::exchange(store.puts, {})) {
        put(KeyValueStatus::kOk);
      }
    }
    return std::count(store.put_keys.begin(), store.put_keys.end(), key);
  }

  /// Runs timers until a short watch waits or a peer is asked for what it
  /// knows; returns false if neither happens.
  bool RunUntilAsked() {
    constexpr int kTimers = 20;
    for (int i = 0; i < kTimers; ++i) {
      const bool is_store_asked =
          !store.watches.empty() &&
          store.watches.front().wait == StoreFollower::kProbeWait;
      if (is_store_asked || peers.fetches > 0) {
        return true;
      }
      loop.RunNextTimer();
    }
    return false;
  }

  /// Runs timers until the keys are read, and answers the read. After the first
  /// one nothing has changed.
  void AnswerRead(std::vector<KeyValueItem> items) {
    while (store.ranges.empty()) {
      REQUIRE(loop.RunNextTimer());
    }
    const bool is_old = store.read_ages.back() == ReadAge::kMayBeOld;
    store.AnswerRange(std::move(items));
    if (is_old) {
      store.AnswerWatch(KeyValueStatus::kOk);
      while (store.watches.empty()) {
        REQUIRE(loop.RunNextTimer());
      }
    }
  }

  ManualLoop loop;
  HeldStore store;
  PeersWithRoutes peers;
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
    "a daemon that starts takes newer routes than the store's from a peer") {
  using Versions = std::vector<std::uint64_t>;
  SUBCASE("after it has read the store") {
    ControlFixture fixture(5);
    fixture.loop.RunAll();
    CHECK(fixture.peers.fetches == 0);
    fixture.AnswerRead({{"op/config", Routes(4)}});
    fixture.loop.RunAll();
    CHECK(fixture.versions == Versions{4, 5});
    CHECK(fixture.peers.fetches == 1);
  }
  SUBCASE("not if no peer has any") {
    ControlFixture fixture(4);
    fixture.AnswerRead({{"op/config", Routes(4)}});
    fixture.loop.RunAll();
    CHECK(fixture.versions == Versions{4});
    CHECK(fixture.peers.fetches == 0);
  }
}

TEST_CASE(
    "requests that crash leafs are written again in a new era of the store") {
  ControlFixture fixture;
  const CrashSuspect suspect{42, ""};
  const std::string key = fixture.schema.CrashSuspectKey(suspect);
  const KeyValueItem entry{key, fixture.schema.WriteCrashSuspect(suspect)};
  fixture.AnswerRead({entry});
  fixture.store.on_era_change({1, 2});
  SUBCASE("if the store has lost them") {
    fixture.AnswerRead({});
    CHECK(fixture.CountPuts(key) == 1);
  }
  SUBCASE("not if it still has them") {
    fixture.AnswerRead({entry});
    CHECK(fixture.CountPuts(key) == 0);
  }
  SUBCASE("not if another daemon was first") {
    fixture.AnswerRead({});
    fixture.AnswerWatch({KeyValueStatus::kOk, {{entry.key, entry.value}}, 8});
    CHECK(fixture.CountPuts(key) == 0);
  }
}

TEST_CASE("a daemon takes newer routes from a peer in a new era of the store") {
  ControlFixture fixture(4);
  fixture.AnswerRead({{"op/config", Routes(4)}});
  fixture.loop.RunAll();
  fixture.peers.version = 5;
  fixture.store.on_era_change({1, 2});
  fixture.loop.RunAll();
  CHECK(fixture.versions == std::vector<std::uint64_t>{4, 5});
}

TEST_CASE(
    "a daemon that does not get routes which a peer has asks the store, and "
    "then the peer") {
  ControlFixture fixture;
  fixture.AnswerRead(
      {{"op/config", Routes(4)}, {"servers/a", Leaf(1, "ready")}});
  fixture.peers.version = 5;
  LeafRegistration unknown;
  unknown.id = "b";
  unknown.address = {"127.0.0.1", 2};
  fixture.peers.leafs = {unknown};
  SUBCASE("not if they arrive from the store") {
    fixture.control->OnNewerRoutesAtPeer(kSeed, 5);
    fixture.AnswerWatch({KeyValueStatus::kOk, {{"op/config", Routes(5)}}, 8});
    CHECK_FALSE(fixture.RunUntilAsked());
  }
  SUBCASE("the store, if its watch does not answer") {
    fixture.control->OnNewerRoutesAtPeer(kSeed, 5);
    REQUIRE(fixture.RunUntilAsked());
    CHECK(fixture.peers.fetches == 0);
    fixture.AnswerWatch({KeyValueStatus::kOk, {{"op/config", Routes(5)}}, 8});
    CHECK(fixture.versions == std::vector<std::uint64_t>{4, 5});
    CHECK_FALSE(fixture.RunUntilAsked());
  }
  SUBCASE("the peer, if the store is unavailable") {
    fixture.AnswerWatch({KeyValueStatus::kRefused, {}, 0});
    fixture.control->OnNewerRoutesAtPeer(kSeed, 5);
    while (fixture.peers.fetches == 0) {
      REQUIRE(fixture.loop.RunNextTimer());
    }
    fixture.loop.RunAll();
    CHECK(fixture.versions == std::vector<std::uint64_t>{4, 5});
    CHECK(fixture.leafs.size() == 2);
    SUBCASE("and reads all keys once it is available") {
      fixture.AnswerRead({{"op/config", Routes(5)}});
      CHECK(fixture.peers.fetches == 1);
    }
  }
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

// Guards against an entry that stays as an earlier put left it, which the store
// executed after a later one.
TEST_CASE("a put that is executed late does not stay in the daemon's entry") {
  ControlFixture fixture;
  const std::string key = fixture.schema.DaemonKey("self");
  fixture.store.AnswerGrant(1);
  const std::string in_contact = fixture.store.last_put_value;
  fixture.store.AnswerPut(KeyValueStatus::kOk);
  fixture.AnswerRead({{key, in_contact}});
  fixture.control->SetCutOff(true);
  const std::string cut_off = fixture.store.last_put_value;
  REQUIRE(cut_off != in_contact);
  fixture.store.AnswerPut(KeyValueStatus::kUnknown);
  fixture.control->SetCutOff(false);
  while (fixture.store.puts.empty()) {
    REQUIRE(fixture.loop.RunNextTimer());
  }
  REQUIRE(fixture.store.last_put_value == in_contact);
  fixture.store.AnswerPut(KeyValueStatus::kOk);
  fixture.AnswerWatch({KeyValueStatus::kOk, {{key, in_contact}}, 8});
  CHECK(fixture.store.puts.empty());

  SUBCASE("if a watch shows it") {
    fixture.AnswerWatch({KeyValueStatus::kOk, {{key, cut_off}}, 9});
  }
  SUBCASE("if a read shows it") {
    fixture.AnswerWatch({KeyValueStatus::kHistoryGone, {}, 0});
    fixture.AnswerRead({{key, cut_off}});
  }
  REQUIRE(fixture.store.puts.size() == 1);
  CHECK(fixture.store.last_put_value == in_contact);
}

// While a fleet starts, each daemon is a holder until the leafs are known.
TEST_CASE("a daemon that is a holder for a moment keeps its lease") {
  ControlFixture fixture;
  constexpr int kTimers = 30;
  fixture.store.AnswerGrant(1);
  fixture.store.AnswerPut(KeyValueStatus::kOk);
  fixture.control->SetIsHolder(true);
  SUBCASE("if it is a standby soon after") {
    fixture.control->SetIsHolder(false);
    for (int i = 0; i < kTimers; ++i) {
      fixture.loop.RunNextTimer();
    }
    CHECK(fixture.store.grants.empty());
  }
  SUBCASE("unless it stays one") {
    for (int i = 0; i < kTimers && fixture.store.grants.empty(); ++i) {
      fixture.loop.RunNextTimer();
    }
    REQUIRE(fixture.store.grants.size() == 1);
    CHECK(fixture.store.grants.front().time_to_live ==
          kHolderTimings.time_to_live);
  }
}

}  // namespace bramleyspoke
