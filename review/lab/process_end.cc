// Callers wait on kept connections for a sound leaf that works on their
// requests, while another caller sends a TRACE request with a body.

#include "lab.h"

namespace {

using namespace lab;

constexpr int kCallers = 8;
constexpr int kDeadlineMs = 15000;

struct Outcome {
  bool is_first_answered = false;
  bool is_answered = false;
  int status = 0;
};

}  // namespace

int main(int, char** argv) {
  const std::string work = argv[1];
  Record record(argv[2]);
  Store store;
  store.Start();
  Leaf leaf("i-1", "invoicing", 12, 1.2, record);
  leaf.Start();
  store.Put("servers/" + leaf.Id(), leaf.Entry());
  store.Put("op/config", OneRoute("non_idempotent", kDeadlineMs));
  Daemon daemon("front-1", store, record, work);
  if (!daemon.Start() || !WaitUntilReady(daemon, 15)) {
    daemon.Kill();
    Finish(record, kExitCouldNotRun);
  }
  Sleep(1);

  // Each caller's first request makes its connection a kept one.
  std::vector<Outcome> outcomes(kCallers);
  std::vector<std::thread> callers;
  const auto begin = Clock::now();
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      Client client(daemon.Ports().caller);
      Message answer;
      Outcome& outcome = outcomes[static_cast<std::size_t>(caller)];
      const std::string name = "c" + std::to_string(caller);
      outcome.is_first_answered =
          client.Send(MakeRequest("POST", "/jobs/1", name + "-first", kDeadlineMs, "x")) &&
          client.Receive(answer, 16) && answer.Status() == 200;
      SleepUntil(begin, 4);
      record.Line("caller sends ", name, "-second on its kept connection");
      outcome.is_answered =
          client.IsOpen() &&
          client.Send(MakeRequest("POST", "/jobs/1", name + "-second", kDeadlineMs, "x")) &&
          client.Receive(answer, 16);
      outcome.status = outcome.is_answered ? answer.Status() : 0;
      record.Line("caller gets ", outcome.is_answered ? answer.second : "no answer, the connection ended", " for ",
                  name, "-second");
    });
  }
  SleepUntil(begin, 4.5);
  const std::string method = HasTrouble() ? "TRACE" : "POST";
  {
    Client client(daemon.Ports().caller);
    Message answer;
    record.Line("another caller sends a ", method, " request with a body of 3 bytes");
    const bool is_answered =
        client.Send(MakeRequest(method, "/jobs/1", "other", kDeadlineMs, "abc")) &&
        client.Receive(answer, 16);
    record.Line("the other caller gets ", is_answered ? answer.second : "no answer");
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  Sleep(0.3);
  const bool has_ended = daemon.HasEnded();
  daemon.Kill();
  std::map<std::string, int> runs = leaf.Runs();
  int lost = 0;
  for (int caller = 0; caller < kCallers; ++caller) {
    const Outcome& outcome = outcomes[static_cast<std::size_t>(caller)];
    if (!outcome.is_first_answered) {
      Finish(record, kExitCouldNotRun);
    }
    const std::string id = "c" + std::to_string(caller) + "-second";
    if (!outcome.is_answered && runs[id] > 0) {
      ++lost;
      record.Line("LOST: ", id, " was passed on to the sound leaf and got no answer");
    }
  }
  record.Line("daemon ended by itself: ", has_ended ? "yes" : "no", "; lost: ", lost, " of ",
              kCallers);
  Finish(record, lost > 3 ? kExitBroken : kExitHeld);
}
