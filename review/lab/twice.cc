// Two leafs, one of which now and then sends more bytes after a complete
// answer. Callers send requests that may run once at most.

#include <atomic>
#include <memory>

#include "lab.h"

namespace {

using namespace lab;

constexpr int kCallers = 8;
constexpr int kRequestsEach = 120;
// One in 33 answers of one of two leafs.
constexpr int kAnswersBetween = 33;
// An answer "400 without an id" that states that nothing ran.
const char* const kExtraBytes =
    "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

bool IsNotRunStatus(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

int main(int, char** argv) {
  const std::string work = argv[1];
  Record record(argv[2]);
  Store store;
  store.Start();
  Leaf sound("i-sound", "invoicing", 3, 0.04, record);
  Leaf faulty("i-faulty", "invoicing", 3, 0.04, record);
  std::atomic<int> answers = 0;
  std::atomic<int> extras = 0;
  if (HasTrouble()) {
    faulty.SetHook([&](Leaf& leaf, const Message& request, Socket& connection) {
      if (request.Header("expected-instance") != leaf.Id()) {
        return false;
      }
      std::string answer = leaf.Run(request);
      if (++answers % kAnswersBetween == 0) {
        record.Line("leaf ", leaf.Id(), " sends bytes that belong to no request after "
                    "the complete answer to ", request.Header("request-id"));
        answer += kExtraBytes;
        ++extras;
      }
      connection.Write(answer);
      return true;
    });
  }
  sound.Start();
  faulty.Start();
  store.Put("servers/" + sound.Id(), sound.Entry());
  store.Put("servers/" + faulty.Id(), faulty.Entry());
  store.Put("op/config", OneRoute("non_idempotent", 4000));
  Daemon daemon("front-1", store, record, work);
  if (!daemon.Start() || !WaitUntilReady(daemon, 15)) {
    daemon.Kill();
    Finish(record, kExitCouldNotRun);
  }
  Sleep(1);

  std::mutex mutex;
  std::map<std::string, int> statuses;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      Client client(daemon.Ports().caller);
      for (int number = 0; number < kRequestsEach; ++number) {
        const std::string id =
            "c" + std::to_string(caller) + "-" + std::to_string(number);
        Message answer;
        record.Line("caller sends ", id);
        const bool is_answered =
            client.Send(MakeRequest("POST", "/jobs/1", id, 4000, "body of " + id)) &&
            client.Receive(answer, 6);
        const int status = is_answered ? answer.Status() : 0;
        record.Line("caller gets ", status, " for ", id);
        {
          const std::lock_guard lock(mutex);
          statuses[id] = status;
        }
        Sleep(0.02);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  Sleep(0.5);
  daemon.Kill();

  std::map<std::string, int> runs = sound.Runs();
  for (const auto& [id, count] : faulty.Runs()) {
    runs[id] += count;
  }
  int twice = 0;
  int refused = 0;
  int unserved = 0;
  for (const auto& [id, status] : statuses) {
    const int count = runs[id];
    unserved += status != 200 ? 1 : 0;
    if (count > 1) {
      ++twice;
      record.Line("TWICE: ", id, " ran ", count, " times; its caller got ", status);
    }
    if (count > 0 && IsNotRunStatus(status)) {
      ++refused;
      record.Line("REFUSED: ", id, " got ", status, " and ran ", count, " times");
    }
  }
  record.Line("requests ", statuses.size(), ", without 200: ", unserved,
              ", leaf's extra bytes: ", extras.load(), ", ran more than once: ", twice,
              ", refused though they ran: ", refused);
  if (!HasTrouble() && unserved > 0) {
    Finish(record, kExitCouldNotRun);
  }
  Finish(record, twice > 0 || refused > 0 ? kExitBroken : kExitHeld);
}
