#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "process/crash_reports.h"
#include "request/crash_ledger.h"

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;

const RequestPart kPart{1, "s0", 5};
constexpr std::uint64_t kLosses = 3;

std::shared_ptr<RelayLeaf> MakeLeaf(std::uint16_t port) {
  LeafRegistration registration;
  registration.id = "leaf-" + std::to_string(port);
  registration.service = kPart.service;
  registration.address = {"127.0.0.1", port};
  return std::make_shared<RelayLeaf>(RelayLeaf{
      registration,
      LeafLoad(2, milliseconds(1), std::make_shared<FleetStatistics>())});
}

/// A ledger whose leaf closes connections and refuses others.
class ClosedConnections {
 public:
  /// Loses a request on a connection, new or not; another one is refused.
  void Lose(std::uint64_t connection, bool is_new = true) {
    now += milliseconds(500);
    ledger.OnUnanswered(kPart, leaf,
                        is_new ? std::optional(connection) : std::nullopt, now);
    ledger.OnUnreachable(leaf->registration.address, now);
    lost_at = now;
    now += milliseconds(500);
  }

  void Answer(const RelayLeaf& by, std::uint64_t connection, TimePoint sent) {
    ledger.OnAnswered(by, connection, sent, now);
  }

  CrashLedger ledger;
  TimePoint now{std::chrono::hours(1)};
  TimePoint lost_at;
  std::shared_ptr<RelayLeaf> leaf = MakeLeaf(1);
  std::shared_ptr<RelayLeaf> other = MakeLeaf(2);
};

}  // namespace

// A leaf that counts the connections of before a daemon's restart closed new
// ones, and requests were refused though no leaf had crashed.
TEST_CASE("a leaf that answers on an older connection has not crashed") {
  ClosedConnections f;
  for (std::uint64_t loss = 1; loss <= kLosses; ++loss) {
    f.Lose(10 * loss);
    CHECK(f.ledger.CrashCount(kPart, f.now) == 1);
    f.Answer(*f.leaf, 9, f.lost_at + milliseconds(1));
    CHECK(f.ledger.CrashCount(kPart, f.now) == 0);
    CHECK_FALSE(f.ledger.IsDoubtful(kPart, f.now));
  }
  CHECK_FALSE(f.ledger.IsSuspect(kPart, f.now));
  CHECK(f.ledger.TakeEvents().back().step == CrashEvidenceStep::kTakenBack);
}

TEST_CASE("what does not prove that the leaf ran on takes no crash back") {
  ClosedConnections f;
  for (std::uint64_t loss = 1; loss <= kLosses; ++loss) {
    const std::uint64_t connection = 10 * loss;
    f.Lose(connection, loss != kLosses);
    // Perhaps of the leaf's next run.
    f.Answer(*f.leaf, connection + 1, f.lost_at + milliseconds(1));
    // Perhaps sent by the leaf before the loss.
    f.Answer(*f.leaf, connection - 1, f.lost_at - milliseconds(1));
    f.Answer(*f.other, connection - 1, f.lost_at + milliseconds(1));
    CHECK(f.ledger.CrashCount(kPart, f.now) == loss);
  }
  // The last one was lost on a connection that was in use.
  CHECK(f.ledger.IsSuspect(kPart, f.now));
  f.Answer(*f.leaf, 1, f.lost_at + milliseconds(1));
  CHECK(f.ledger.CrashCount(kPart, f.now) == 1);
  // A request that is refused stays so.
  CHECK(f.ledger.IsSuspect(kPart, f.now));
}

TEST_CASE("peers take back what the daemon that reported it takes back") {
  bool is_in_order = true;
  SUBCASE("reported in order") {}
  SUBCASE("reported out of order") {
    is_in_order = false;
  }
  ClosedConnections f;
  CrashLedger peer;
  for (std::uint64_t loss = 1; loss <= kLosses; ++loss) {
    f.Lose(10 * loss);
    f.Answer(*f.leaf, 1, f.lost_at + milliseconds(1));
    std::vector<LeafCrash> reports = f.ledger.TakeCrashes();
    REQUIRE(reports.size() == 2);
    CHECK_FALSE(reports.front().is_taken_back);
    CHECK(reports.back().is_taken_back);
    if (!is_in_order) {
      std::swap(reports.front(), reports.back());
    }
    for (const LeafCrash& crash : reports) {
      peer.OnPeerCrash(
          ReadEvidenceNotice(MakeEvidenceNotice(crash, f.now), f.now), f.now);
    }
    CHECK(peer.CrashCount(kPart, f.now) == 0);
  }
  CHECK_FALSE(peer.IsSuspect(kPart, f.now));
}

TEST_CASE("of crashes that count as one, each has to be taken back") {
  constexpr std::uint64_t kFingerprint = 7;
  const TimePoint now{std::chrono::hours(1)};
  CrashTable crashes;
  CHECK(crashes.Add(kFingerprint, 1, now));
  CHECK_FALSE(crashes.Add(kFingerprint, 2, now + milliseconds(10)));
  CHECK_FALSE(crashes.TakeBack(kFingerprint, 1));
  CHECK(crashes.Count(kFingerprint, now) == 1);
  CHECK(crashes.TakeBack(kFingerprint, 2));
  CHECK(crashes.Count(kFingerprint, now) == 0);
}

}  // namespace bramleyspoke
