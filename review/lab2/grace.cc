// Case: a daemon that was told of a shorter grace period keeps to the old one
// and is killed with requests that wait in it.
#include "lab.h"

using namespace lab;

namespace {

constexpr std::int64_t kLossSlackMs = 200;
constexpr int kOldGraceS = 6;
constexpr int kNewGraceS = 3;
constexpr int kRequests = 184;
// The sheet's 22.5 job-cards a second, rounded.
constexpr std::int64_t kPeriodMs = 43;
// Mean time of a job-card.
constexpr std::int64_t kWorkMs = 220;
constexpr std::int64_t kDeadlineMs = 15000;

std::string Config() {
  return json::serialize(json::object{
      {"version", 10},
      {"routes", json::array{json::object{{"name", "job-card"},
                                          {"host", "shop.example"},
                                          {"prefix", "/job/"},
                                          {"service", "invoicing"},
                                          {"route_kind", "idempotent"},
                                          {"timeout_ms", kDeadlineMs},
                                          {"target_latency_ms", 1000},
                                          {"max_attempts", 2},
                                          {"priority", 1}}}},
      {"services",
       json::array{json::object{{"name", "invoicing"},
                                {"health_path", "/health"},
                                {"connection_limit", 41}}}},
      {"limits", json::object{{"header_bytes", 16384},
                              {"body_bytes", 262144},
                              {"header_timeout_ms", 5000},
                              {"idle_timeout_ms", 20000}}}});
}

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv);
  const int grace_s = IsTroubleOn() ? kNewGraceS : kOldGraceS;
  Store store;
  store.Put("op/config", Config());
  Leaf leaf(store, "i-1", "invoicing", "aktau-north", 3, kWorkMs);
  std::list<Machine> machines;
  // The 9 machines of the tengiz-moor sheet.
  const std::map<std::string, std::pair<std::string, int>> counts{
      {"aktau-north", {"aktau", 4}},
      {"kuryk-ferry", {"kuryk", 3}},
      {"atyrau-quay", {"atyrau", 2}}};
  for (const auto& [zone, row] : counts) {
    for (int i = 1; i <= row.second; ++i) {
      machines.push_back(
          {"front-" + zone + "-" + std::to_string(i), zone, row.first});
    }
  }
  Machine& stopped = machines.front();
  std::vector<Machine*> all;
  std::vector<int> seeds;
  for (Machine& machine : machines) {
    all.push_back(&machine);
    if (seeds.size() < 3) {
      seeds.push_back(machine.control);
    }
  }
  for (Machine* machine : all) {
    WriteSettings(*machine, machine->Fields(store.Port(), Bounds(), seeds));
    StartDaemon(*machine);
  }
  AwaitReady(all, 10000);
  SleepMs(4000);

  json::object bounds = Bounds();
  bounds["grace_s"] = grace_s;
  for (Machine* machine : all) {
    WriteSettings(*machine, machine->Fields(store.Port(), bounds, seeds));
    ::kill(machine->pid, SIGHUP);
  }
  TheRecord()->Line("settings files written, grace_s is %d; SIGHUP to all",
                    grace_s);
  // Requests while the daemon learns how long one takes.
  for (int i = 0; i < 20; ++i) {
    const std::string id = "before-" + std::to_string(i);
    Call(stopped.front, "/job/" + id, id, kDeadlineMs);
  }
  SleepMs(1000);

  std::vector<Answer> answers(kRequests);
  std::vector<std::thread> callers;
  for (int i = 0; i < kRequests; ++i) {
    callers.emplace_back([&answers, &stopped, i] {
      const std::string id = "job-" + std::to_string(i);
      answers[i] = Call(stopped.front, "/job/" + id, id, kDeadlineMs);
    });
    SleepMs(kPeriodMs);
  }
  SleepMs(100);
  const std::int64_t signalled = NowMs();
  ::kill(stopped.pid, SIGTERM);
  TheRecord()->Line("SIGTERM to %s", stopped.name.c_str());
  int status = 0;
  while (NowMs() < signalled + grace_s * 1000 && !HasEnded(stopped, &status)) {
    SleepMs(5);
  }
  if (stopped.pid != 0) {
    ::kill(stopped.pid, SIGKILL);
    TheRecord()->Line("SIGKILL to %s", stopped.name.c_str());
    ::waitpid(stopped.pid, nullptr, 0);
    Children().erase(stopped.pid);
    stopped.pid = 0;
  } else {
    TheRecord()->Line("%s has ended", stopped.name.c_str());
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  SleepMs(500);

  std::map<std::string, Leaf::Run> runs;
  for (const Leaf::Run& run : leaf.Runs()) {
    runs[run.request_id] = run;
  }
  const std::int64_t last_sixth =
      signalled + grace_s * 1000 - grace_s * 1000 / 6;
  int lost = 0;
  int excused = 0;
  std::map<int, int> by_status;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "job-" + std::to_string(i);
    const Answer& answer = answers[i];
    ++by_status[answer.status];
    TheRecord()->Line("%s sent %lld ms before SIGTERM: status %d after %lld ms",
                      id.c_str(),
                      static_cast<long long>(signalled - answer.sent_ms),
                      answer.status,
                      static_cast<long long>(answer.ended_ms - answer.sent_ms));
    const bool has_no_answer =
        answer.status == 0 &&
        answer.ended_ms - answer.sent_ms > kLossSlackMs &&
        answer.ended_ms - answer.sent_ms < kDeadlineMs;
    const auto run = runs.find(id);
    const bool was_at_work =
        run != runs.end() &&
        (run->second.ended_ms == 0 || run->second.ended_ms >= last_sixth);
    excused += has_no_answer && was_at_work ? 1 : 0;
    lost += has_no_answer && !was_at_work ? 1 : 0;
  }
  const std::string text =
      std::to_string(by_status[200]) + " of " + std::to_string(kRequests) +
      " served, " + std::to_string(by_status[503]) + " answered 503, " +
      std::to_string(lost) + " ended without an answer while no leaf was at "
      "work on them, " + std::to_string(excused) + " while one was";
  Stop(lost > 0 ? kBroken : kHeld, text);
}
