// Case: after a change of the settings that makes a bound a fraction, no daemon
// starts again.
#include "lab.h"

using namespace lab;

namespace {

constexpr std::int64_t kRecoveryMs = 12000;
// Time for which killed processes are down; that of the site's `kill_all`.
constexpr std::int64_t kDownMs = 900;
// Delay after which the platform restarts a process that has ended by itself.
constexpr std::int64_t kRestartDelayMs = 500;

std::string Config() {
  return json::serialize(json::object{
      {"version", 10},
      {"routes", json::array{json::object{{"name", "job-card"},
                                          {"host", "shop.example"},
                                          {"prefix", "/job/"},
                                          {"service", "invoicing"},
                                          {"route_kind", "idempotent"},
                                          {"timeout_ms", 15000},
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

// Sends 20 requests a second, in turn to all machines, and returns how many of
// how many were served.
std::pair<int, int> Serve(const std::vector<Machine*>& machines,
                          const std::string& phase, std::int64_t until_ms) {
  std::atomic<int> served = 0;
  int sent = 0;
  std::vector<std::thread> callers;
  while (NowMs() < until_ms) {
    const Machine* machine = machines[sent % machines.size()];
    const std::string id = phase + "-" + std::to_string(sent);
    ++sent;
    callers.emplace_back([machine, id, &served] {
      const Answer answer = Call(machine->front, "/job/" + id, id, 4000);
      TheRecord()->Line("%s sent to %s: status %d", id.c_str(),
                        machine->name.c_str(), answer.status);
      served += answer.status == 200 ? 1 : 0;
    });
    SleepMs(50);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  return {served, sent};
}

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv);
  Store store;
  store.Put("op/config", Config());
  std::list<Leaf> leafs;
  for (const std::string zone : {"aktau-north", "kuryk-ferry", "atyrau-quay"}) {
    leafs.emplace_back(store, "i-" + zone, "invoicing", zone, 3, 20);
  }
  std::list<Machine> machines;
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
  std::vector<Machine*> all;
  for (Machine& machine : machines) {
    all.push_back(&machine);
  }
  const std::vector<int> seeds{all[0]->control, all[1]->control,
                               all[2]->control};
  for (Machine* machine : all) {
    WriteSettings(*machine, machine->Fields(store.Port(), Bounds(), seeds));
    StartDaemon(*machine);
  }
  AwaitReady(all, 10000);
  SleepMs(2000);
  const auto before = Serve(all, "before", NowMs() + 4000);

  json::object bounds = Bounds();
  if (IsTroubleOn()) {
    bounds["grace_s"] = 6.5;
  }
  for (Machine* machine : all) {
    WriteSettings(*machine, machine->Fields(store.Port(), bounds, seeds));
    ::kill(machine->pid, SIGHUP);
  }
  TheRecord()->Line("settings files changed: grace_s is %s; SIGHUP to all",
                    IsTroubleOn() ? "6.5" : "6, as before");
  const auto changed = Serve(all, "changed", NowMs() + 3000);

  for (Machine* machine : all) {
    ::kill(machine->pid, SIGKILL);
    ::waitpid(machine->pid, nullptr, 0);
    Children().erase(machine->pid);
    machine->pid = 0;
  }
  TheRecord()->Line("all processes killed");
  SleepMs(kDownMs);
  for (Machine* machine : all) {
    StartDaemon(*machine);
  }
  const std::int64_t back = NowMs();
  TheRecord()->Line("all machines are back");
  // The platform restarts what has ended.
  int ends = 0;
  std::atomic<bool> is_over = false;
  std::thread platform([&] {
    std::map<Machine*, std::int64_t> restart_at;
    while (!is_over) {
      for (Machine* machine : all) {
        int status = 0;
        if (machine->pid != 0 && HasEnded(*machine, &status)) {
          ++ends;
          TheRecord()->Line("%s ended by itself with exit code %d",
                            machine->name.c_str(), WEXITSTATUS(status));
          restart_at[machine] = NowMs() + kRestartDelayMs;
        } else if (machine->pid == 0 && NowMs() >= restart_at[machine]) {
          StartDaemon(*machine);
        }
      }
      SleepMs(20);
    }
  });
  SleepUntil(back + kRecoveryMs);
  const auto after = Serve(all, "after", NowMs() + 5000);
  is_over = true;
  platform.join();

  if (before.first * 4 < before.second || changed.first * 4 < changed.second) {
    Stop(kCouldNotRun, "less than a quarter was served before the fault");
  }
  const std::string text =
      std::to_string(before.first) + " of " + std::to_string(before.second) +
      " requests served before, " + std::to_string(changed.first) + " of " +
      std::to_string(changed.second) + " after the change of the settings, " +
      std::to_string(after.first) + " of " + std::to_string(after.second) +
      " sent later than 12 s after the machines were back; " +
      std::to_string(ends) + " processes ended by themselves";
  Stop(after.first * 4 < after.second ? kBroken : kHeld, text);
}
