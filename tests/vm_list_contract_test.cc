#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <thread>

#include "connection/http_client.h"
#include "connection/http_vm_list.h"
#include "loop_runner.h"
#include "stand_in/vm_list_server.h"

namespace bramleyspoke {
namespace {

using StandIn::CallFault;
using StandIn::CallFaultMode;
using StandIn::VmListServer;

using Records = std::optional<std::vector<VmRecord>>;

const Endpoint kAnyPort{"127.0.0.1", 0};

class VmListFixture {
 public:
  explicit VmListFixture(Duration lag = Duration::zero())
      : m_server(VmListServer::Create(m_server_loop.Loop(),
                                      {kAnyPort, kAnyPort},
                                      lag)
                     .value()),
        m_list(HttpVmList::Create(m_client_loop.Loop(), m_server->Address())) {}

  ~VmListFixture() {
    m_client_loop.Run([this] { m_list = nullptr; });
    m_server_loop.Run([this] { m_server = nullptr; });
  }

  void Put(const std::string& body) {
    HttpCallAndWait(m_server->Control(), HttpRequest{"PUT", "/vms", {}, body},
                    std::chrono::seconds(5));
  }

  void Apply(const CallFault& fault) {
    m_server_loop.Run([&] { m_server->Apply(fault); });
  }

  Records Fetch() {
    return m_client_loop.Await<Records>(
        [this](auto done) { m_list->Fetch(done); });
  }

 private:
  LoopRunner m_server_loop;
  LoopRunner m_client_loop;
  std::unique_ptr<VmListServer> m_server;
  std::unique_ptr<HttpVmList> m_list;
};

struct ListCase {
  std::string name;
  const char* body;
  CallFaultMode fault;
  /// Number of records fetched; -1 if there is no list.
  int count;
};

const ListCase kCases[] = {
    {"empty list", "[]", CallFaultMode::kNone, 0},
    {"two VMs",
     R"([{"address":"127.0.1.1:9000","state":"live"},
         {"address":"127.0.1.2:9000","state":"leaving"}])",
     CallFaultMode::kNone, 2},
    {"unknown state", R"([{"address":"127.0.1.1:9000","state":"asleep"}])",
     CallFaultMode::kNone, -1},
    {"malformed address", R"([{"address":"here","state":"live"}])",
     CallFaultMode::kNone, -1},
    {"not an array", "{}", CallFaultMode::kNone, -1},
    {"not listening", "[]", CallFaultMode::kDown, -1},
    {"response lost", "[]", CallFaultMode::kLoseAnswers, -1},
    {"error response", "[]", CallFaultMode::kUnavailable, -1},
    {"response that is not JSON", "[]", CallFaultMode::kGarbage, -1},
};

}  // namespace

TEST_CASE("the VM list is fetched whole or not at all") {
  for (const ListCase& row : kCases) {
    CAPTURE(row.name);
    VmListFixture fixture;
    fixture.Put(row.body);
    fixture.Apply({row.fault, {}, 0, {}});
    const Records records = fixture.Fetch();
    CHECK((records ? static_cast<int>(records->size()) : -1) == row.count);
  }
}

TEST_CASE("a leaving VM is reported as leaving after the list's lag") {
  VmListFixture fixture(std::chrono::milliseconds(30));
  fixture.Put(R"([{"address":"127.0.1.2:9000","state":"leaving"}])");
  Records records = fixture.Fetch();
  while (records && records->empty()) {
    std::this_thread::yield();
    records = fixture.Fetch();
  }
  REQUIRE(records);
  CHECK(records->front().address == Endpoint{"127.0.1.2", 9000});
  CHECK(records->front().state == VmState::kLeaving);
}

}  // namespace bramleyspoke
