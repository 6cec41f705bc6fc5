#include "process/peer_watches.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "manual_loop.h"

namespace bramleyspoke {
namespace {

constexpr std::uint64_t kEra = 3;

KeyValueChanges Changes(std::int64_t revision, const std::string& key) {
  KeyValueChanges changes;
  changes.status = KeyValueStatus::kOk;
  changes.revision = revision;
  changes.events = {{key, "value"}};
  return changes;
}

/// Watches at a daemon that knows the changes after revision 10, up to 30.
class WatchesFixture {
 public:
  WatchesFixture() : watches(loop) {
    watches.Append(kEra, 10, Changes(20, "a"));
    watches.Append(kEra, 20, Changes(30, "b"));
  }

  /// Watches from `revision`; the reply is put into `reply`.
  void Watch(std::int64_t revision, std::uint64_t era = kEra) {
    reply.reset();
    watches.Watch({era, revision, std::chrono::seconds(1)},
                  [this](const KeyValueChanges& changes) { reply = changes; });
  }

  ManualLoop loop;
  PeerWatches watches;
  std::optional<KeyValueChanges> reply;
};

}  // namespace

TEST_CASE("a peer's watch gets the changes after its revision") {
  WatchesFixture fixture;
  SUBCASE("that are known") {
    fixture.Watch(20);
    REQUIRE(fixture.reply);
    REQUIRE(fixture.reply->events.size() == 1);
    CHECK(fixture.reply->events.front().key == "b");
    CHECK(fixture.reply->revision == 30);
  }
  SUBCASE("from the beginning of the history") {
    fixture.Watch(10);
    REQUIRE(fixture.reply);
    CHECK(fixture.reply->events.size() == 2);
  }
  SUBCASE("as soon as there are any") {
    fixture.Watch(30);
    CHECK_FALSE(fixture.reply);
    fixture.watches.Append(kEra, 30, Changes(40, "c"));
    REQUIRE(fixture.reply);
    CHECK(fixture.reply->events.front().key == "c");
  }
  SUBCASE("once this daemon is no longer behind the peer") {
    fixture.Watch(35);
    fixture.watches.Append(kEra, 30, Changes(35, "c"));
    CHECK_FALSE(fixture.reply);
    fixture.watches.Append(kEra, 35, Changes(50, "d"));
    REQUIRE(fixture.reply);
    CHECK(fixture.reply->revision == 50);
  }
}

TEST_CASE("a peer's watch ends without changes after its wait") {
  WatchesFixture fixture;
  fixture.Watch(30);
  fixture.loop.RunTimersUntil(std::chrono::steady_clock::now() +
                              std::chrono::seconds(2));
  REQUIRE(fixture.reply);
  CHECK(fixture.reply->status == KeyValueStatus::kOk);
  CHECK(fixture.reply->events.empty());
  CHECK(fixture.reply->revision == 30);
}

TEST_CASE("a peer's watch ends at once if changes may be missing") {
  WatchesFixture fixture;
  KeyValueStatus expected = KeyValueStatus::kHistoryGone;
  SUBCASE("from before the history") {
    fixture.Watch(9);
  }
  SUBCASE("of another era of the store") {
    fixture.Watch(20, kEra + 1);
  }
  SUBCASE("in a gap of the history") {
    fixture.watches.Append(kEra, 50, Changes(60, "c"));
    fixture.Watch(30);
  }
  SUBCASE("when this daemon no longer follows the store") {
    fixture.Watch(30);
    CHECK_FALSE(fixture.reply);
    fixture.watches.Interrupt();
    expected = KeyValueStatus::kRefused;
  }
  SUBCASE("when the store begins a new era") {
    fixture.Watch(30);
    fixture.watches.Append(kEra + 1, 5, Changes(6, "c"));
    expected = KeyValueStatus::kRefused;
  }
  SUBCASE("when this daemon stops") {
    fixture.Watch(30);
    fixture.watches.BeginLeaving();
    expected = KeyValueStatus::kRefused;
  }
  SUBCASE("after this daemon has begun to stop") {
    fixture.watches.BeginLeaving();
    fixture.watches.Append(kEra, 30, Changes(40, "c"));
    fixture.Watch(30);
    expected = KeyValueStatus::kRefused;
  }
  SUBCASE("if too many are waiting") {
    for (std::size_t i = 0; i < PeerWatches::kMaxWatches; ++i) {
      fixture.Watch(30);
    }
    CHECK_FALSE(fixture.reply);
    fixture.Watch(30);
  }
  REQUIRE(fixture.reply);
  CHECK(fixture.reply->status == expected);
}

TEST_CASE("the history of changes is bounded") {
  WatchesFixture fixture;
  const std::string large(StoreHistory::kMaxBytes / 4, 'x');
  std::int64_t revision = 30;
  for (int i = 0; i < 8; ++i) {
    KeyValueChanges changes = Changes(revision + 1, "large");
    changes.events.front().value = large;
    fixture.watches.Append(kEra, revision, changes);
    ++revision;
  }
  fixture.Watch(30);
  CHECK(fixture.reply->status == KeyValueStatus::kHistoryGone);
  fixture.Watch(revision - 2);
  REQUIRE(fixture.reply->status == KeyValueStatus::kOk);
  CHECK(fixture.reply->has_more);
  CHECK(fixture.reply->revision == revision - 1);
  fixture.Watch(revision - 1);
  CHECK_FALSE(fixture.reply->has_more);
  CHECK(fixture.reply->revision == revision);
}

}  // namespace bramleyspoke
