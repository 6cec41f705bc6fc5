// Case: a daemon that follows the store through a peer serves an old
// configuration after the peer has lost power.
#include "lab.h"

using namespace lab;

namespace {

constexpr std::int64_t kConfigApplyMs = 3000;
// Age of the store's answers to reads with `allow_stale`.
constexpr std::int64_t kStaleMs = 0;
// How long requests are sent after the acknowledgement.
constexpr std::int64_t kWatchedMs = 9000;

json::object Route(const std::string& name, const std::string& prefix,
                   const std::string& service) {
  return {{"name", name},
          {"host", "shop.example"},
          {"prefix", prefix},
          {"service", service},
          {"route_kind", "idempotent"},
          {"timeout_ms", 4000},
          {"target_latency_ms", 400},
          {"max_attempts", 2},
          {"priority", 1}};
}

json::object Service(const std::string& name, int connection_limit) {
  return {{"name", name},
          {"health_path", "/health"},
          {"connection_limit", connection_limit}};
}

// `moved` is the service of the route /moved/; `has_added` tells whether the
// route /added/ is there.
std::string Config(int version, const std::string& moved, bool has_added) {
  json::array routes{Route("kept", "/kept/", "invoicing"),
                     Route("moved", "/moved/", moved)};
  if (has_added) {
    routes.push_back(Route("added", "/added/", "invoicing"));
  }
  return json::serialize(json::object{
      {"version", version},
      {"routes", routes},
      {"services", json::array{Service("berth-desk", 26),
                               Service("invoicing", 41),
                               Service("crew-roster", 41)}},
      {"limits", json::object{{"header_bytes", 16384},
                              {"body_bytes", 262144},
                              {"header_timeout_ms", 5000},
                              {"idle_timeout_ms", 20000}}}});
}

// Peer address that the daemon last named as its source; empty for none.
std::string SourceOf(const Machine& machine) {
  std::istringstream log(ReadFile(machine.log_path));
  std::string line;
  std::string peer;
  while (std::getline(log, line)) {
    if (line.find("\"event\":\"watch_source\"") == std::string::npos) {
      continue;
    }
    const json::value parsed = json::parse(line);
    peer = parsed.at("peer").as_string().c_str();
  }
  return peer;
}

struct Probe {
  const Machine* machine;
  std::string what;
  Answer answer;
};

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv);
  Store store;
  store.stale_ms = kStaleMs;
  store.Put("op/config", Config(10, "crew-roster", false));
  std::list<Leaf> leafs;
  const std::vector<std::string> zones{"aktau-north", "kuryk-ferry",
                                       "atyrau-quay"};
  for (const std::string& zone : zones) {
    leafs.emplace_back(store, "i-b-" + zone, "berth-desk", zone, 2, 10);
    leafs.emplace_back(store, "i-i-" + zone, "invoicing", zone, 3, 10);
    leafs.emplace_back(store, "i-c-" + zone, "crew-roster", zone, 3, 10);
  }
  SleepMs(2500);

  // The 9 machines of the tengiz-moor sheet.
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
  SleepMs(12000);

  // A daemon that follows a peer, and that peer.
  Machine* follower = nullptr;
  Machine* source = nullptr;
  for (Machine* machine : all) {
    const std::string peer = SourceOf(*machine);
    for (Machine* other : all) {
      if (!peer.empty() && peer == Address(other->control)) {
        follower = machine;
        source = other;
      }
    }
  }
  if (follower == nullptr) {
    Stop(kCouldNotRun, "no daemon follows the store through a peer");
  }
  TheRecord()->Line("%s (callers at %d) follows the store through %s",
                    follower->name.c_str(), follower->front,
                    source->name.c_str());

  store.Put("op/config", Config(13, "crew-roster", false));
  TheRecord()->Line("the store acknowledged version 13");
  SleepMs(1600);
  if (IsTroubleOn()) {
    ::kill(source->pid, SIGSTOP);
    TheRecord()->Line("%s has lost power: it no longer answers",
                      source->name.c_str());
  }
  SleepMs(100);
  store.Put("op/config", Config(17, "invoicing", true));
  const std::int64_t acknowledged = NowMs();
  TheRecord()->Line(
      "the store acknowledged version 17: /moved/ goes from crew-roster to "
      "invoicing, /added/ is new");

  // Requests that show which configuration is in force, sent directly to each
  // daemon that has power: 10 a second on the route that was moved, and 2 a
  // second on the route that was just added.
  std::mutex mutex;
  std::vector<Probe> probes;
  std::vector<std::thread> callers;
  const auto probe = [&](Machine* machine, const std::string& what, int i) {
    const std::string id = machine->name + what + std::to_string(i);
    const Answer answer =
        Call(machine->front, what + std::to_string(i), id, 4000);
    const std::lock_guard lock(mutex);
    probes.push_back({machine, what, answer});
    TheRecord()->Line("%s sent to %s %lld ms after the acknowledgement: %d %s",
                      id.c_str(), machine->name.c_str(),
                      static_cast<long long>(answer.sent_ms - acknowledged),
                      answer.status, answer.body.c_str());
  };
  for (Machine* machine : all) {
    if (machine == source) {
      continue;
    }
    for (const auto& [what, period_ms] :
         {std::pair<std::string, int>{"/moved/", 100}, {"/added/", 500}}) {
      callers.emplace_back([&, machine, what = what, period = period_ms] {
        for (int i = 0; i * period < kWatchedMs; ++i) {
          SleepUntil(acknowledged + i * period);
          probe(machine, what, i);
        }
      });
    }
  }
  for (std::thread& caller : callers) {
    caller.join();
  }

  int old_service = 0;
  int no_route = 0;
  std::map<std::string, std::int64_t> last_old;
  for (const Probe& probe : probes) {
    const bool is_old_service =
        probe.what == "/moved/" && probe.answer.body == "from crew-roster";
    const bool is_no_route =
        probe.what == "/added/" && probe.answer.status == 404;
    if (!is_old_service && !is_no_route) {
      continue;
    }
    const std::int64_t after = probe.answer.sent_ms - acknowledged;
    auto& last = last_old[probe.machine->name];
    last = std::max(last, after);
    if (after <= kConfigApplyMs) {
      continue;
    }
    (is_old_service ? old_service : no_route) += 1;
    TheRecord()->Line("%s: %s sent %lld ms after the acknowledgement %s",
                      probe.machine->name.c_str(), probe.what.c_str(),
                      static_cast<long long>(after),
                      is_old_service ? "was run by crew-roster"
                                     : "was answered 404");
  }
  for (const auto& [name, after] : last_old) {
    TheRecord()->Line("%s last acted on an older version %lld ms after the "
                      "acknowledgement",
                      name.c_str(), static_cast<long long>(after));
  }
  TheRecord()->Line("%zu requests sent", probes.size());
  const std::string counts_text =
      std::to_string(old_service) + " requests run by the old service, " +
      std::to_string(no_route) + " answered 404, sent later than 3000 ms";
  Stop(old_service + no_route > 0 ? kBroken : kHeld, counts_text);
}
