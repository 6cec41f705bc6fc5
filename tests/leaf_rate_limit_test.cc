#include "request/leaf_rate_limit.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Sends as many requests as the limit permits, one try a millisecond.
std::vector<TimePoint> SendAllPermitted(LeafRateLimit& limit,
                                        TimePoint from,
                                        Duration duration) {
  std::vector<TimePoint> sent;
  for (TimePoint now = from; now < from + duration; now += milliseconds(1)) {
    if (!limit.IsUsedUp(now)) {
      limit.OnSent(now);
      sent.push_back(now);
    }
  }
  return sent;
}

}  // namespace

TEST_CASE("a leaf that names no rate gets any number of requests") {
  LeafRateLimit limit;
  CHECK(SendAllPermitted(limit, kStart, seconds(1)).size() == 1000);
  CHECK_FALSE(limit.OnAnnounced(std::nullopt, kStart, kStart));
}

TEST_CASE("a daemon sends its fraction of the rate that a leaf names") {
  LeafRateLimit limit;
  limit.SetFraction(0.25);
  CHECK(limit.OnAnnounced(40, kStart, kStart));
  CHECK_FALSE(limit.OnAnnounced(40, kStart, kStart));
  const auto sent = SendAllPermitted(limit, kStart, seconds(10)).size();
  CHECK(sent >= 99);
  CHECK(sent <= 100);
}

TEST_CASE("the first request after a limit is named waits for its turn") {
  LeafRateLimit limit;
  limit.OnAnnounced(10, kStart, kStart);
  CHECK(limit.IsUsedUp(kStart));
  CHECK(limit.NextAt(kStart) == kStart + milliseconds(100));
  CHECK_FALSE(limit.IsUsedUp(kStart + milliseconds(100)));
}

TEST_CASE("unused requests are saved up for a short time only") {
  LeafRateLimit limit;
  limit.OnAnnounced(100, kStart, kStart);
  const TimePoint later = kStart + std::chrono::minutes(10);
  CHECK(SendAllPermitted(limit, later, milliseconds(50)).size() <= 25 + 5);
}

TEST_CASE("a limit follows the rate that the leaf names") {
  LeafRateLimit limit;
  limit.OnAnnounced(10, kStart, kStart);
  const TimePoint changed = kStart + seconds(2);
  CHECK(limit.OnAnnounced(40, changed, changed));
  const auto faster = SendAllPermitted(limit, changed, seconds(5)).size();
  CHECK(faster >= 198);
  CHECK(faster <= 202);
  const TimePoint ended = changed + seconds(5);
  CHECK(limit.OnAnnounced(std::nullopt, ended, ended));
  CHECK(SendAllPermitted(limit, ended, seconds(1)).size() == 1000);
}

TEST_CASE(
    "an answer to an attempt sent before the leaf named a rate keeps it") {
  LeafRateLimit limit;
  const TimePoint named = kStart + milliseconds(50);
  limit.OnAnnounced(10, kStart, named);
  CHECK_FALSE(limit.OnAnnounced(std::nullopt, kStart + milliseconds(20),
                                named + milliseconds(10)));
  CHECK(limit.Rate() == 10);
  CHECK(limit.OnAnnounced(std::nullopt, named, named + milliseconds(20)));
}

TEST_CASE("a leaf that accepts no request is asked now and then") {
  LeafRateLimit limit;
  limit.OnAnnounced(0, kStart, kStart);
  const auto sent = SendAllPermitted(limit, kStart, seconds(20)).size();
  CHECK(sent >= 9);
  CHECK(sent <= 11);
}

// The platform allows one and a half times the rate and five requests more in
// any four seconds.
TEST_CASE("daemons that share a rate stay within it together") {
  rc::check([] {
    const double rate = *rc::gen::inRange(1, 2000) / 10.0;
    // Each may have saved up one request, however small its part.
    const auto most_daemons = static_cast<std::size_t>(1.75 * rate + 5);
    const auto daemons = *rc::gen::inRange<std::size_t>(
        1, std::min<std::size_t>(most_daemons, 25) + 1);
    std::vector<LeafRateLimit> limits(daemons);
    std::vector<TimePoint> sent;
    for (LeafRateLimit& limit : limits) {
      limit.SetFraction(1.0 / static_cast<double>(daemons));
      limit.OnAnnounced(rate, kStart, kStart);
      // Each is idle for a time of its own, and then sends all that it may.
      const TimePoint from = kStart + milliseconds(*rc::gen::inRange(0, 3000));
      for (const TimePoint at : SendAllPermitted(limit, from, seconds(6))) {
        sent.push_back(at);
      }
    }
    std::sort(sent.begin(), sent.end());
    for (auto first = sent.begin(); first != sent.end(); ++first) {
      const auto end = std::lower_bound(first, sent.end(), *first + seconds(4));
      RC_ASSERT(static_cast<double>(end - first) <= 1.5 * rate * 4 + 5);
    }
  });
}

}  // namespace bramleyspoke
