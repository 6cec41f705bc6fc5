// A daemon is stopped as planned while a leaf is full and requests wait in the
// daemon.

#include "lab.h"

namespace {

using namespace lab;

constexpr int kRequests = 240;
constexpr double kInterval = 0.044;
constexpr int kDeadlineMs = 15000;
constexpr double kGrace = 6;
constexpr double kLossSlack = 0.2;

struct Outcome {
  double sent_at = 0;
  double ended_at = 0;
  int status = 0;
  bool is_sent = false;
};

}  // namespace

int main(int, char** argv) {
  const std::string work = argv[1];
  Record record(argv[2]);
  Store store;
  store.Start();
  Leaf leaf("i-1", "invoicing", 3, 0.22, record);
  leaf.SetQueue(12);
  leaf.Start();
  store.Put("servers/" + leaf.Id(), leaf.Entry());
  store.Put("op/config", OneRoute("idempotent", kDeadlineMs));
  Daemon daemon("front-1", store, record, work);
  Daemon other("front-2", store, record, work);
  if (!daemon.Start() || !other.Start() || !WaitUntilReady(daemon, 15) ||
      !WaitUntilReady(other, 15)) {
    daemon.Kill();
    other.Kill();
    Finish(record, kExitCouldNotRun);
  }
  Sleep(4);

  // 23 requests a second, which is what the site has.
  const auto begin = Clock::now();
  std::vector<Outcome> outcomes(kRequests);
  std::vector<std::thread> callers;
  for (int number = 0; number < kRequests; ++number) {
    callers.emplace_back([&, number] {
      Outcome& outcome = outcomes[static_cast<std::size_t>(number)];
      SleepUntil(begin, number * kInterval);
      const std::string id = "r" + std::to_string(number);
      Client client(daemon.Ports().caller);
      Message answer;
      outcome.sent_at = SecondsSince(begin);
      outcome.is_sent = client.Send(MakeRequest("GET", "/jobs/" + id, id, kDeadlineMs, ""));
      if (outcome.is_sent && client.Receive(answer, 20)) {
        outcome.status = answer.Status();
      }
      outcome.ended_at = SecondsSince(begin);
      record.Line("caller sent ", id, " at ", outcome.sent_at, " and got ",
                  outcome.status > 0 ? std::to_string(outcome.status)
                                     : "no answer, the connection ended",
                  " at ", outcome.ended_at);
    });
  }
  // The last request is sent before the stop.
  const double stop_at = kRequests * kInterval + 0.1;
  SleepUntil(begin, stop_at);
  if (HasTrouble()) {
    daemon.Signal(SIGTERM);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const auto last_held = leaf.LastHeld();
  daemon.Kill();
  other.Kill();

  int lost = 0;
  int answered = 0;
  for (int number = 0; number < kRequests; ++number) {
    const Outcome& outcome = outcomes[static_cast<std::size_t>(number)];
    answered += outcome.status > 0 ? 1 : 0;
    if (!outcome.is_sent || outcome.status > 0 ||
        outcome.ended_at < outcome.sent_at + kLossSlack ||
        outcome.ended_at > outcome.sent_at + kDeadlineMs / 1000.0 - 0.1) {
      continue;
    }
    // Excused: the leaf was at work in the last sixth of the grace period.
    const std::string id = "r" + std::to_string(number);
    const auto held = last_held.find(id);
    const bool is_excused =
        held != last_held.end() &&
        std::chrono::duration<double>(held->second - begin).count() >=
            stop_at + kGrace * 5 / 6;
    lost += is_excused ? 0 : 1;
    record.Line(is_excused ? "excused, the leaf was at work: " : "LOST: ", id);
  }
  record.Line("requests ", kRequests, ", answered ", answered, ", lost ", lost);
  Finish(record, lost > 0 ? kExitBroken : kExitHeld);
}
