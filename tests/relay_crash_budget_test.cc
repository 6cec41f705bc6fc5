#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "relay_fixture.h"
#include "request/request_fingerprint.h"

namespace bramleyspoke {
namespace {

constexpr std::size_t kLeafsPerService = 4;
constexpr std::size_t kShards = 30;
// Interval at which the caller sends the request again.
constexpr std::chrono::seconds kResendInterval{8};
// Interval at which another caller sends requests for the same path.
constexpr milliseconds kOtherInterval{700};
// Retries that may reach leafs once the request has crashed three of them.
constexpr std::size_t kMaxRetriesAfterThirdCrash = 3;
constexpr int kRequests = 12;

/// When and how the daemon finds out that a leaf has crashed.
struct CrashSigns {
  LeafReplyKind reply = LeafReplyKind::kLost;
  /// Time from the reply to the daemon's failed attempt to connect.
  Duration unreachable_after{0};
  /// Time from the crash to the registration of the leaf's next run; with
  /// `is_unreachable` false it is the only sign.
  Duration restarted_after = std::chrono::seconds(6);
  bool is_unreachable = true;
};

/// A relay whose leafs crash as soon as they begin to run the request.
class CrashingLeafs : public RelayFixture {
 public:
  /// With `shards` 0, the request goes to a single service.
  CrashingLeafs(std::size_t shards, CrashSigns signs)
      : m_shards(shards), m_signs(signs) {
    const std::size_t services = std::max<std::size_t>(shards, 1);
    for (std::size_t service = 0; service < services; ++service) {
      for (std::size_t leaf = 0; leaf < kLeafsPerService; ++leaf) {
        const std::string name = "s" + std::to_string(service);
        AddLeaf(name, name + "-" + std::to_string(leaf));
      }
    }
    fingerprint = 1;
  }

  /// Subsequent requests are this one.
  void SetRequest(const HttpRequest& request) {
    fingerprint = FingerprintOf(request);
    resource = ResourceFingerprintOf(request);
  }

  /// Sends the request and returns the number of leafs that it has crashed.
  std::size_t SendAgain(RequestKind kind = RequestKind::kIdempotent) {
    const TimePoint end = now + Duration(kResendInterval);
    std::size_t crashes = 0;
    Submit(m_shards, kind);
    TimePoint next_other = now + kOtherInterval;
    while (now < end) {
      if (!answered_target.empty() && now >= next_other) {
        next_other = now + kOtherInterval;
        AnswerOther();
      }
      for (const RelayAttempt& send : std::exchange(sends, {})) {
        ++crashes;
        Crash(send);
      }
      ApplySigns();
      Advance(milliseconds(1));
    }
    return crashes;
  }

  /// Sends the request `kRequests` times; returns how many of those sent after
  /// the third crash have reached leafs.
  std::size_t RetriesAfterThirdCrash() {
    std::size_t crashes = 0;
    std::size_t retries = 0;
    for (int request = 0; request < kRequests; ++request) {
      const std::size_t crashed_now = SendAgain();
      retries += crashes >= 3 && crashed_now > 0 ? 1 : 0;
      crashes += crashed_now;
    }
    return retries;
  }

  /// Target of another caller's requests, which leafs answer; empty for none.
  std::string answered_target;
  /// The other caller's requests that were refused as suspect.
  std::size_t refused_others = 0;

 private:
  struct Sign {
    std::string leaf_id;
    Endpoint address;
    TimePoint unreachable_at;
    TimePoint restarted_at;
    bool is_seen_unreachable = false;
  };

  void AnswerOther() {
    const std::uint64_t own_fingerprint = fingerprint;
    const std::uint64_t own_resource = resource;
    HttpRequest other;
    other.method = "GET";
    other.target = answered_target;
    SetRequest(other);
    const RelayNumber number = Submit(m_shards);
    while (!sends.empty()) {
      Reply(sends.front().leaf_id, LeafReplyKind::kSucceeded);
    }
    const auto outcome = outcomes.find(number);
    refused_others +=
        outcome != outcomes.end() && outcome->second.refusal &&
                outcome->second.refusal->reason == RefusalReason::kCrashSuspect
            ? 1
            : 0;
    fingerprint = own_fingerprint;
    resource = own_resource;
  }

  void Crash(const RelayAttempt& send) {
    sends.push_back(send);
    Reply(send.leaf_id, m_signs.reply);
    m_pending.push_back({send.leaf_id, send.address,
                         now + m_signs.unreachable_after,
                         now + m_signs.restarted_after});
  }

  void ApplySigns() {
    for (Sign& sign : m_pending) {
      if (m_signs.is_unreachable && !sign.is_seen_unreachable &&
          now >= sign.unreachable_at) {
        sign.is_seen_unreachable = true;
        CollectActions(engine.OnReachable(sign.address, false, now));
      }
      if (now >= sign.restarted_at) {
        Restart(sign.leaf_id);
        CollectActions(engine.OnReachable(sign.address, true, now));
      }
    }
    std::erase_if(m_pending,
                  [&](const Sign& sign) { return now >= sign.restarted_at; });
  }

  void Restart(const std::string& leaf_id) {
    for (LeafRegistration& leaf : leafs) {
      leaf.started_at_ms += leaf.id == leaf_id ? 1 : 0;
    }
    CollectActions(engine.SetLeafs(leafs, now));
  }

  std::size_t m_shards;
  CrashSigns m_signs;
  std::vector<Sign> m_pending;
};

}  // namespace

// Users saw a request that went on reaching leafs after it had crashed three.
TEST_CASE(
    "a request that has crashed three leafs reaches few more, however the "
    "daemon notices the crashes") {
  CrashSigns signs;
  SUBCASE("connection lost, leaf unreachable at once") {}
  SUBCASE("connection lost, leaf unreachable later") {
    signs.unreachable_after = milliseconds(5500);
  }
  SUBCASE("connection lost, only the leaf's restart is seen") {
    signs.is_unreachable = false;
  }
  SUBCASE("no answer in time") {
    signs.reply = LeafReplyKind::kTimedOut;
  }
  SUBCASE("answer cut off") {
    signs.reply = LeafReplyKind::kMalformed;
  }
  for (const std::size_t shards : {std::size_t{0}, kShards}) {
    CAPTURE(shards);
    CrashingLeafs relay(shards, signs);
    CHECK(relay.RetriesAfterThirdCrash() <= kMaxRetriesAfterThirdCrash);
  }
}

TEST_CASE("a fan-out that has crashed leafs is tried at one leaf at a time") {
  CrashingLeafs relay(kShards, CrashSigns());
  // The first attempt of a request cannot be known to crash leafs; while it
  // runs, one leaf of another shard may be tried.
  CHECK(relay.SendAgain() <= kShards + 1);
  for (int request = 1; request < kRequests; ++request) {
    CHECK(relay.SendAgain() <= 1);
  }
}

// The count began again at 0 when the route moved, and three more leafs
// crashed.
TEST_CASE(
    "a request that crashed one service's leafs does not crash those of the "
    "next one") {
  CrashingLeafs relay(0, CrashSigns());
  for (std::size_t leaf = 0; leaf < kLeafsPerService; ++leaf) {
    relay.AddLeaf("next", "next-" + std::to_string(leaf));
  }
  std::size_t crashes = 0;
  for (int request = 0; request < 3; ++request) {
    crashes += relay.SendAgain();
  }
  REQUIRE(crashes >= 3);
  relay.single_service = "next";
  for (int request = 0; request < kRequests; ++request) {
    CHECK(relay.SendAgain() == 0);
  }
}

TEST_CASE("a request that crashes leafs is recognized with another query") {
  constexpr std::uint64_t kResource = 1000;
  for (const std::size_t shards : {std::size_t{0}, kShards}) {
    CAPTURE(shards);
    CrashingLeafs relay(shards, CrashSigns());
    relay.resource = kResource;
    std::size_t crashes = 0;
    std::size_t retries = 0;
    for (int request = 0; request < kRequests; ++request) {
      ++relay.fingerprint;
      const std::size_t crashed_now = relay.SendAgain();
      retries += crashes >= 3 && crashed_now > 0 ? 1 : 0;
      crashes += crashed_now;
    }
    CHECK(retries <= kMaxRetriesAfterThirdCrash);
  }
}

// An answer to "/job?page=2" once cleared the crashes of "/job".
TEST_CASE(
    "answers to the same path with another query take nothing back of a "
    "request's crashes") {
  HttpRequest crashing;
  crashing.method = "GET";
  SUBCASE("the crashing request has no query") {
    crashing.target = "/job";
  }
  SUBCASE("the crashing request has a query") {
    crashing.target = "/job?page=1";
  }
  for (const std::size_t shards : {std::size_t{0}, kShards}) {
    CAPTURE(shards);
    CrashingLeafs relay(shards, CrashSigns());
    relay.SetRequest(crashing);
    relay.answered_target = "/job?page=2";
    CHECK(relay.SendAgain() <= std::max<std::size_t>(shards, 1) + 1);
    std::size_t crashes_afterwards = 0;
    for (int request = 1; request < kRequests; ++request) {
      crashes_afterwards += relay.SendAgain();
    }
    CHECK(crashes_afterwards <= kMaxRetriesAfterThirdCrash);
    CHECK(relay.refused_others == 0);
  }
}

TEST_CASE(
    "a failure that a leaf answers does not clear a request that crashes "
    "leafs") {
  CrashingLeafs relay(0, CrashSigns());
  std::size_t crashes = 0;
  std::size_t retries = 0;
  for (int request = 0; request < kRequests; ++request) {
    const std::size_t crashed_now = relay.SendAgain();
    retries += crashes >= 3 && crashed_now > 0 ? 1 : 0;
    crashes += crashed_now;
    relay.Submit(0, RequestKind::kIdempotent, 1);
    if (!relay.sends.empty()) {
      relay.Reply(relay.sends.front().leaf_id, LeafReplyKind::kFailed);
    }
  }
  CHECK(retries <= kMaxRetriesAfterThirdCrash);
}

}  // namespace bramleyspoke
