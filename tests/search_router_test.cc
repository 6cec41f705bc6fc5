#include "process/search_router.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "manual_loop.h"
#include "process/freshness_lease.h"
#include "router_fakes.h"

namespace bramleyspoke {
namespace {

const std::string kLookup = "lookup";
const std::string kBooking = "booking";

DaemonAddress Daemon(int number, std::uint64_t incarnation = 1) {
  const std::string host = "127.0.1." + std::to_string(number);
  DaemonAddress daemon;
  daemon.caller = Endpoint{host, 8080};
  daemon.peer = Endpoint{host, 9000};
  daemon.incarnation = incarnation;
  return daemon;
}

std::string MakeRequestId(const DaemonAddress& issuer,
                          const std::string& suffix) {
  return ToString(issuer.peer) + "~" + std::to_string(issuer.incarnation) +
         "~0~" + suffix;
}

class FakeExecutor final : public SearchExecutor {
 public:
  void Execute(QueryNumber, SearchRequest, Done done) override {
    runs.push_back(std::move(done));
  }
  void OnCallerDisconnected(const std::string&, QueryNumber) override {
    ++disconnects;
  }

  std::vector<Done> runs;
  int disconnects = 0;
};

SearchOutcome RanOutcome() {
  SearchOutcome outcome;
  outcome.answer = SearchAnswer{};
  outcome.verdict = Verdict::kRan;
  return outcome;
}

SearchOutcome RefusedOutcome(Verdict verdict) {
  SearchOutcome outcome;
  outcome.refusal =
      Refusal{RefusalReason::kOverloaded, verdict, "", std::nullopt};
  outcome.verdict = verdict;
  return outcome;
}

class RouterFixture {
 public:
  RouterFixture() {
    lease.Renew(clock.Now());
    table.generation = 1;
    table.is_confirmed = true;
    table.members = {Daemon(1), Daemon(2), Daemon(3)};
    AddService(kLookup, true, {Daemon(1)});
    AddService(kBooking, false, {Daemon(1)});
    SetTable();
  }

  void AddService(const std::string& name,
                  bool idempotent,
                  std::vector<DaemonAddress> holders) {
    auto route = std::make_shared<ServiceRoute>();
    route->spec.name = name;
    route->spec.idempotent = idempotent;
    route->is_held_here = holders.front() == Daemon(1);
    route->holders = std::move(holders);
    table.services[name] = route;
  }

  void SetTable() { router.SetTable(std::make_shared<RoutingTable>(table)); }

  QueryNumber Search(const std::string& service,
                     const std::string& id = "",
                     const std::string& query = "") {
    CallerSearch search;
    search.service = service;
    search.request_id = id;
    search.query = query;
    return router.Search(std::move(search), [this](CallerReply reply) {
      replies.push_back(std::move(reply));
    });
  }

  void EndRun(std::size_t index, SearchOutcome outcome) {
    executor.runs.at(index)(std::move(outcome));
    loop.RunAll();
  }

  void EndForward(std::size_t index,
                  ForwardResult result,
                  int status = 0,
                  std::string body = "") {
    peers.calls.at(index).done(
        ForwardOutcome{result, ForwardReply{status, std::move(body)}});
    loop.RunAll();
  }

  ManualLoop loop;
  ManualClock clock;
  FreshnessLease lease;
  FakePeers peers;
  FakeExecutor executor;
  NullObserver observer;
  RoutingTable table;
  SearchRouter router{RouterContext{loop, clock, lease, peers, executor,
                                    observer, Daemon(1), 10, 0}};
  std::vector<CallerReply> replies;
};

}  // namespace

TEST_CASE("a request runs once at its id's issuer, however often it is sent") {
  RouterFixture fixture;
  const std::string id = MakeRequestId(Daemon(1), "a");
  fixture.Search(kBooking, id);
  fixture.Search(kBooking, id);
  REQUIRE(fixture.executor.runs.size() == 1);
  fixture.EndRun(0, RanOutcome());
  fixture.Search(kBooking, id);
  REQUIRE(fixture.replies.size() == 3);
  for (const CallerReply& reply : fixture.replies) {
    CHECK(reply.verdict == Verdict::kRan);
  }
  CHECK(fixture.executor.runs.size() == 1);
}

TEST_CASE(
    "a request with the same id runs again only if it did not run before") {
  struct Row {
    Verdict verdict;
    std::size_t runs;
  };
  for (const Row& row : {Row{Verdict::kNotRun, 2}, Row{Verdict::kMayHaveRun, 1},
                         Row{Verdict::kRan, 1}}) {
    CAPTURE(std::string(ToString(row.verdict)));
    RouterFixture fixture;
    const std::string id = MakeRequestId(Daemon(1), "a");
    fixture.Search(kBooking, id);
    fixture.EndRun(0, RefusedOutcome(row.verdict));
    fixture.Search(kBooking, id);
    CHECK(fixture.executor.runs.size() == row.runs);
  }
}

TEST_CASE(
    "a refusal before the id is checked has the verdict known for the id") {
  struct Row {
    std::string name;
    std::string id;
    Verdict verdict;
  };
  struct RefusalCause {
    std::string name;
    std::function<void(RouterFixture&)> prepare;
  };
  const std::vector<Row> rows = {
      {"never seen", MakeRequestId(Daemon(1), "new"), Verdict::kNotRun},
      {"running", MakeRequestId(Daemon(1), "running"), Verdict::kMayHaveRun},
      {"ran", MakeRequestId(Daemon(1), "ran"), Verdict::kRan},
      {"another daemon's", MakeRequestId(Daemon(2), "a"), Verdict::kMayHaveRun},
      {"an earlier process's", MakeRequestId(Daemon(1, 0), "a"),
       Verdict::kMayHaveRun},
      {"not issued by a daemon", "a", Verdict::kNotRun},
  };
  const std::vector<RefusalCause> causes = {
      {"the daemon was paused",
       [](RouterFixture& fixture) {
         fixture.clock.Advance(FreshnessLease::kLength);
       }},
      {"the service was withdrawn",
       [](RouterFixture& fixture) {
         fixture.table.services.erase(kBooking);
         fixture.SetTable();
       }},
      {"the caller is at its limit",
       [](RouterFixture& fixture) {
         fixture.table.callers = {CallerSpec{"", 1}};
         fixture.SetTable();
       }},
  };
  for (const RefusalCause& cause : causes) {
    for (const Row& row : rows) {
      CAPTURE(cause.name);
      CAPTURE(row.name);
      RouterFixture fixture;
      fixture.Search(kBooking, MakeRequestId(Daemon(1), "ran"));
      fixture.EndRun(0, RanOutcome());
      fixture.Search(kBooking, MakeRequestId(Daemon(1), "running"));
      cause.prepare(fixture);
      fixture.Search(kBooking, row.id);
      CHECK(fixture.replies.back().verdict == row.verdict);
    }
  }
}

TEST_CASE(
    "a request whose id another daemon issued is handled only by that "
    "process") {
  struct Row {
    std::string name;
    DaemonAddress issuer;
    bool is_forwarded;
    RefusalReason reason;
  };
  const std::vector<Row> rows = {
      {"a member", Daemon(2), true, RefusalReason::kLost},
      {"a member in its planned stop", Daemon(4), true, RefusalReason::kLost},
      {"an earlier process at a member's address", Daemon(3, 0), false,
       RefusalReason::kHolderGone},
      {"no member", Daemon(9), false, RefusalReason::kHolderGone},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RouterFixture fixture;
    fixture.table.stopping = {Daemon(4)};
    fixture.SetTable();
    fixture.Search(kBooking, MakeRequestId(row.issuer, "a"));
    CHECK(fixture.executor.runs.empty());
    REQUIRE(fixture.peers.calls.size() == (row.is_forwarded ? 1 : 0));
    if (row.is_forwarded) {
      CHECK(fixture.peers.calls[0].peer == row.issuer.peer);
      fixture.EndForward(0, ForwardResult::kLost);
    }
    REQUIRE(fixture.replies.size() == 1);
    CHECK(fixture.replies[0].verdict == Verdict::kMayHaveRun);
    CHECK(fixture.replies[0].reason == row.reason);
  }
}

TEST_CASE(
    "a failed forward goes to a second holder unless a non-idempotent request "
    "may have run") {
  struct Row {
    std::string name;
    bool idempotent;
    ForwardResult result;
    std::size_t forwards;
    Verdict verdict;
  };
  const std::vector<Row> rows = {
      {"not sent", true, ForwardResult::kNotSent, 2, Verdict::kNotRun},
      {"lost", true, ForwardResult::kLost, 2, Verdict::kMayHaveRun},
      {"not sent, at most once", false, ForwardResult::kNotSent, 2,
       Verdict::kNotRun},
      {"lost, at most once", false, ForwardResult::kLost, 1,
       Verdict::kMayHaveRun},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RouterFixture fixture;
    fixture.AddService("far", row.idempotent, {Daemon(2), Daemon(3)});
    fixture.SetTable();
    fixture.Search("far", MakeRequestId(Daemon(1), "a"));
    for (std::size_t call = 0; call < fixture.peers.calls.size(); ++call) {
      fixture.EndForward(call, row.result);
    }
    CHECK(fixture.peers.calls.size() == row.forwards);
    REQUIRE(fixture.replies.size() == 1);
    CHECK(fixture.replies[0].verdict == row.verdict);
  }
}

TEST_CASE(
    "the forward of an idempotent request leaves time for a second holder") {
  RouterFixture fixture;
  fixture.AddService("far", true, {Daemon(2), Daemon(3)});
  fixture.SetTable();
  fixture.Search("far");
  REQUIRE(fixture.peers.calls.size() == 1);
  const Duration time_limit = ServiceSpec{}.default_deadline;
  CHECK(fixture.peers.calls[0].timeout == time_limit / 2);
}

TEST_CASE(
    "a process that was paused refuses requests until its lease is renewed") {
  RouterFixture fixture;
  fixture.clock.Advance(FreshnessLease::kLength);
  fixture.Search(kLookup);
  REQUIRE(fixture.replies.size() == 1);
  CHECK(fixture.replies[0].reason == RefusalReason::kNotReady);
  CHECK(fixture.replies[0].verdict == Verdict::kNotRun);
  fixture.lease.Renew(fixture.clock.Now());
  fixture.Search(kLookup);
  CHECK(fixture.executor.runs.size() == 1);
}

TEST_CASE("a daemon is omitted from its own address answer") {
  RouterFixture fixture;
  fixture.AddService(kLookup, true, {Daemon(1), Daemon(2)});
  SUBCASE("when it stops") {
    fixture.SetTable();
    fixture.router.BeginLeaving(fixture.clock.Now());
  }
  SUBCASE("when its generation is not confirmed") {
    fixture.table.is_confirmed = false;
    fixture.SetTable();
  }
  const AddressAnswer answer = fixture.router.AnswerAddressQuery(kLookup);
  REQUIRE(answer.entries.size() == 1);
  CHECK(answer.entries[0] == Daemon(2));
}

// Guards against closing requests in flight unanswered at a planned stop's end.
TEST_CASE("a router that ends all requests says whether they may have run") {
  RouterFixture fixture;
  SUBCASE("a request that runs here") {
    fixture.Search(kLookup);
    REQUIRE(fixture.executor.runs.size() == 1);
  }
  SUBCASE("a request that another daemon has") {
    fixture.AddService(kLookup, true, {Daemon(2)});
    fixture.SetTable();
    fixture.Search(kLookup);
    REQUIRE(fixture.peers.calls.size() == 1);
  }
  SUBCASE("a resend of a request that runs here") {
    const std::string id = MakeRequestId(Daemon(1), "x");
    fixture.Search(kBooking, id);
    fixture.Search(kBooking, id);
  }
  CHECK(fixture.replies.empty());
  fixture.router.EndAll();
  REQUIRE_FALSE(fixture.replies.empty());
  for (const CallerReply& reply : fixture.replies) {
    CHECK(reply.verdict == Verdict::kMayHaveRun);
    CHECK(reply.reason == RefusalReason::kShuttingDown);
  }
  CHECK(fixture.router.InFlight() == 0);
}

TEST_CASE("a request in a planned stop has no time after the stop's end") {
  RouterFixture fixture;
  fixture.AddService(kLookup, true, {Daemon(2)});
  fixture.SetTable();
  constexpr std::chrono::milliseconds kLeft{100};
  fixture.router.BeginLeaving(fixture.clock.Now() + kLeft);
  fixture.Search(kLookup);
  REQUIRE(fixture.peers.calls.size() == 1);
  CHECK(fixture.peers.calls.front().timeout <= kLeft);
}

TEST_CASE("a disconnected caller cancels idempotent queries only") {
  RouterFixture fixture;
  fixture.router.OnCallerDisconnected(fixture.Search(kLookup));
  CHECK(fixture.executor.disconnects == 1);
  fixture.router.OnCallerDisconnected(
      fixture.Search(kBooking, MakeRequestId(Daemon(1), "a")));
  CHECK(fixture.executor.disconnects == 1);
}

TEST_CASE("lower service classes leave capacity for urgent requests") {
  AdmissionLimits limits(10);
  while (!limits.Admit(ServiceClass::kBatch, "batch")) {
  }
  CHECK(limits.InFlight() == 5);
  CHECK_FALSE(limits.Admit(ServiceClass::kInteractive, "desk"));
  while (!limits.Admit(ServiceClass::kInteractive, "desk")) {
  }
  CHECK_FALSE(limits.Admit(ServiceClass::kUrgent, "quay"));
}

}  // namespace bramleyspoke
