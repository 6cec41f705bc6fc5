// A daemon is stopped as planned. It goes on to accept requests, on which a leaf
// then works for longer than the daemon runs.

#include "lab.h"

namespace {

using namespace lab;

constexpr int kDeadlineMs = 15000;
constexpr double kWork = 1.25;
// A request sent later than this after the signal is not excused.
constexpr double kExcusedUntil = 3;

struct Outcome {
  double sent_at = 0;
  double ended_at = 0;
  int status = 0;
  bool is_sent = false;
};

// Whether an answer to a caller that asks for addresses has the daemon's.
bool IsNamed(Daemon& daemon, Record& record) {
  Client client(daemon.Ports().address);
  Message answer;
  const bool is_answered =
      client.Send("GET /-/resolve?name=h.example&region=region-a&zone=zone-a HTTP/1.1\r\n"
                  "Host: x\r\n\r\n") &&
      client.Receive(answer, 1);
  record.Line("callers ask for addresses: ", is_answered ? answer.body : "no answer");
  return is_answered &&
         answer.body.find(AddressOf(daemon.Ports().caller)) != std::string::npos;
}

}  // namespace

int main(int, char** argv) {
  const std::string work = argv[1];
  Record record(argv[2]);
  Store store;
  store.Start();
  Leaf leaf("i-1", "invoicing", 3, kWork, record);
  leaf.Start();
  store.Put("servers/" + leaf.Id(), leaf.Entry());
  store.Put("op/config", OneRoute("non_idempotent", kDeadlineMs));
  Daemon daemon("front-1", store, record, work);
  if (!daemon.Start() || !WaitUntilReady(daemon, 15)) {
    daemon.Kill();
    Finish(record, kExitCouldNotRun);
  }
  Sleep(4);

  // Nine requests in 0.7 s; the site has 22 a second of these.
  const std::vector<double> times{2.5, 2.55, 2.6, 2.65, 2.7, 2.75, 3.05, 3.12, 3.19};
  std::vector<Outcome> outcomes(times.size());
  std::vector<std::thread> callers;
  if (!IsNamed(daemon, record)) {
    daemon.Kill();
    Finish(record, kExitCouldNotRun);
  }
  const auto begin = Clock::now();
  if (HasTrouble()) {
    daemon.Signal(SIGTERM);
  }
  // Callers that get no addresses keep those that they have.
  SleepUntil(begin, 2.4);
  IsNamed(daemon, record);
  for (std::size_t number = 0; number < times.size(); ++number) {
    callers.emplace_back([&, number] {
      Outcome& outcome = outcomes[number];
      SleepUntil(begin, times[number]);
      const std::string id = "r" + std::to_string(number);
      Client client(daemon.Ports().caller);
      Message answer;
      outcome.sent_at = SecondsSince(begin);
      outcome.is_sent = client.Send(MakeRequest("POST", "/jobs/1", id, kDeadlineMs, "booking"));
      if (outcome.is_sent && client.Receive(answer, 20)) {
        outcome.status = answer.Status();
      }
      outcome.ended_at = SecondsSince(begin);
      record.Line("caller sent ", id, " ", outcome.sent_at, " s after the signal and got ",
                  !outcome.is_sent       ? "no connection"
                  : outcome.status > 0 ? std::to_string(outcome.status)
                                       : "no answer, the connection ended",
                  " at ", outcome.ended_at);
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  Sleep(0.3);
  daemon.Kill();
  Sleep(1.5);
  std::map<std::string, int> runs = leaf.Runs();
  int lost = 0;
  int answered = 0;
  for (std::size_t number = 0; number < times.size(); ++number) {
    const Outcome& outcome = outcomes[number];
    const std::string id = "r" + std::to_string(number);
    answered += outcome.status == 200 ? 1 : 0;
    const bool is_lost = outcome.is_sent && outcome.status == 0 &&
                         outcome.sent_at > kExcusedUntil && runs[id] > 0;
    lost += is_lost ? 1 : 0;
    if (is_lost) {
      record.Line("LOST: ", id, ", which was passed on to the leaf");
    }
  }
  record.Line("requests ", times.size(), ", answered with 200: ", answered, ", lost ", lost);
  if (!HasTrouble() && answered != static_cast<int>(times.size())) {
    Finish(record, kExitCouldNotRun);
  }
  Finish(record, lost > 0 ? kExitBroken : kExitHeld);
}
