// Two daemons serve requests that take 1.25 s at sound leafs. Both are killed at
// the same moment and start again. Callers go on as before.

#include <memory>

#include "lab.h"

namespace {

using namespace lab;

constexpr int kLeafs = 13;
constexpr double kWork = 1.25;
constexpr int kDeadlineMs = 15000;
constexpr int kSingles = 8;
// Each caller of a group sends one request at the same time.
constexpr int kCallersPerDaemon = 5;
constexpr double kGroupInterval = 3;
constexpr int kGroupsBefore = 4;
constexpr double kDown = 1;
constexpr double kRecovery = 12;
constexpr double kMeasured = 18;

struct Outcome {
  double sent_at = 0;
  int status = 0;
};

class Callers {
 public:
  explicit Callers(Record& record) : m_record(record) {}
  ~Callers() { Join(); }

  int Call(Daemon& daemon, const std::string& id) {
    Client client(daemon.Ports().caller);
    Message answer;
    Outcome outcome;
    outcome.sent_at = SecondsSince(m_begin);
    if (client.Send(MakeRequest("GET", "/jobs/" + id, id, kDeadlineMs, "")) &&
        client.Receive(answer, 17)) {
      outcome.status = answer.Status();
    }
    m_record.Line("caller sent ", id, " to ", daemon.Name(), " at ", outcome.sent_at, " and got ",
                  outcome.status > 0 ? std::to_string(outcome.status) : "no answer", " at ",
                  SecondsSince(m_begin));
    const std::lock_guard lock(m_mutex);
    m_outcomes.push_back(outcome);
    return outcome.status;
  }
  void SendGroup(std::vector<std::unique_ptr<Daemon>>& daemons) {
    const int group = ++m_groups;
    for (const auto& daemon : daemons) {
      for (int caller = 0; caller < kCallersPerDaemon; ++caller) {
        const std::string id =
            "g" + std::to_string(group) + "-" + daemon->Name() + "-" + std::to_string(caller);
        m_threads.emplace_back([this, id, target = daemon.get()] { Call(*target, id); });
      }
    }
  }
  void Join() {
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }
  double Now() const { return SecondsSince(m_begin); }
  void Wait(double until) const { SleepUntil(m_begin, until); }
  // The served and all requests that were sent in this time.
  std::pair<int, int> Served(double from, double to) {
    const std::lock_guard lock(m_mutex);
    std::pair<int, int> count;
    for (const Outcome& outcome : m_outcomes) {
      if (outcome.sent_at >= from && outcome.sent_at < to) {
        count.first += outcome.status == 200 ? 1 : 0;
        ++count.second;
      }
    }
    return count;
  }

 private:
  Record& m_record;
  const Clock::time_point m_begin = Clock::now();
  std::mutex m_mutex;
  std::vector<Outcome> m_outcomes;
  std::vector<std::thread> m_threads;
  int m_groups = 0;
};

}  // namespace

int main(int, char** argv) {
  const std::string work = argv[1];
  Record record(argv[2]);
  Store store;
  store.Start();
  std::vector<std::unique_ptr<Leaf>> leafs;
  for (int number = 0; number < kLeafs; ++number) {
    leafs.push_back(std::make_unique<Leaf>("i-" + std::to_string(number), "invoicing", 3, kWork, record));
    leafs.back()->Start();
    store.Put("servers/" + leafs.back()->Id(), leafs.back()->Entry());
  }
  store.Put("op/config", OneRoute("idempotent", kDeadlineMs));
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (const char* name : {"front-1", "front-2"}) {
    daemons.push_back(std::make_unique<Daemon>(name, store, record, work));
  }
  const auto start = [&] {
    bool is_ready = true;
    for (const auto& daemon : daemons) {
      is_ready = daemon->Start() && is_ready;
    }
    for (const auto& daemon : daemons) {
      is_ready = WaitUntilReady(*daemon, 15) && is_ready;
    }
    return is_ready;
  };
  const auto end = [&](int code) {
    for (const auto& daemon : daemons) {
      daemon->Kill();
    }
    Finish(record, code);
  };
  if (!start()) {
    end(kExitCouldNotRun);
  }
  Sleep(1);

  Callers callers(record);
  // The day begins calmly: one request at a time at each daemon.
  std::vector<std::thread> singles;
  for (const auto& daemon : daemons) {
    singles.emplace_back([&, target = daemon.get()] {
      for (int number = 0; number < kSingles; ++number) {
        callers.Call(*target, "s" + std::to_string(number) + "-" + target->Name());
      }
    });
  }
  for (std::thread& thread : singles) {
    thread.join();
  }
  const double before = callers.Now();
  double next = before;
  for (int group = 0; group < kGroupsBefore; ++group) {
    callers.SendGroup(daemons);
    next += kGroupInterval;
    callers.Wait(next);
  }
  const double fault = callers.Now();
  if (HasTrouble()) {
    for (const auto& daemon : daemons) {
      daemon->Signal(SIGKILL);
    }
    Sleep(kDown);
    for (const auto& daemon : daemons) {
      daemon->Kill();
    }
    if (!start()) {
      end(kExitCouldNotRun);
    }
    record.Line("all daemons are back and ready");
  }
  const double back = callers.Now();
  next = back;
  while (next < back + kRecovery + kMeasured) {
    callers.SendGroup(daemons);
    next += kGroupInterval;
    callers.Wait(next);
  }
  callers.Join();

  const auto served_before = callers.Served(before, fault);
  const auto served_after = callers.Served(back + kRecovery, 1e9);
  int runs = 0;
  for (const auto& leaf : leafs) {
    for (const auto& [id, count] : leaf->Runs()) {
      runs += count;
    }
  }
  record.Line("served before the fault: ", served_before.first, " of ", served_before.second,
              "; of those sent later than ", kRecovery, " s after the daemons were back: ",
              served_after.first, " of ", served_after.second, "; leafs began ", runs, " runs");
  const bool was_served = served_before.second > 0 && 4 * served_before.first >= served_before.second;
  if (!was_served) {
    end(kExitCouldNotRun);
  }
  end(4 * served_after.first < served_after.second ? kExitBroken : kExitHeld);
}
