// A caller sends a request whose body looks like another request.

#include "lab.h"

namespace {

using namespace lab;

constexpr int kRequests = 10;

}  // namespace

int main(int, char** argv) {
  const std::string work = argv[1];
  Record record(argv[2]);
  Store store;
  store.Start();
  Leaf leaf("i-1", "invoicing", 3, 0.02, record);
  leaf.Start();
  store.Put("servers/" + leaf.Id(), leaf.Entry());
  store.Put("op/config", OneRoute("non_idempotent", 4000));
  Daemon daemon("front-1", store, record, work);
  if (!daemon.Start() || !WaitUntilReady(daemon, 15)) {
    daemon.Kill();
    Finish(record, kExitCouldNotRun);
  }
  Sleep(1);

  int answered = 0;
  for (int number = 0; number < kRequests; ++number) {
    const std::string id = "sent-" + std::to_string(number);
    const std::string body =
        MakeRequest("POST", "/jobs/1", "smuggled-" + std::to_string(number), 4000, "");
    char size[16];
    std::snprintf(size, sizeof(size), "%zx", body.size());
    const std::string head = "POST /jobs/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
                             "\r\nDeadline-Milliseconds: 4000\r\n";
    // Without trouble, the same body in chunks.
    const std::string text =
        HasTrouble() ? head + "Transfer-Encoding: gzip\r\n\r\n" + body
                     : head + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + body +
                           "\r\n0\r\n\r\n";
    Client client(daemon.Ports().caller);
    Message answer;
    record.Line("caller sends ", id, " with a body of ", body.size(),
                " bytes that looks like request smuggled-", number);
    const bool is_answered = client.Send(text) && client.Receive(answer, 5);
    answered += is_answered && answer.Status() == 200 ? 1 : 0;
    record.Line("caller gets ", is_answered ? answer.second : "no answer", " for ", id);
    Sleep(0.1);
  }
  Sleep(0.3);
  daemon.Kill();
  int unasked = 0;
  for (const auto& [id, count] : leaf.Runs()) {
    if (id.rfind("sent-", 0) != 0) {
      ++unasked;
      record.Line("UNASKED: the leaf ran ", id, ", which no caller sent");
    }
  }
  record.Line("answered with 200: ", answered, " of ", kRequests, "; ran unasked: ", unasked);
  if (!HasTrouble() && answered != kRequests) {
    Finish(record, kExitCouldNotRun);
  }
  Finish(record, unasked > 0 ? kExitBroken : kExitHeld);
}
