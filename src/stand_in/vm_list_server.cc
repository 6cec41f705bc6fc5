#include "stand_in/vm_list_server.h"

#include <deque>
#include <string>
#include <utility>

#include "stand_in/json_response.h"

namespace bramleyspoke::StandIn {
namespace {

struct PutList {
  TimePoint visible_at;
  std::string body;
};

class VmListServerImpl final : public VmListServer {
 public:
  explicit VmListServerImpl(Duration lag) : m_lag(lag) {}

  Result<void> Listen(EventLoop& loop, ServicePorts ports) {
    BOOST_LEAF_ASSIGN(m_server, FaultyServer::Create(
                                    loop, std::move(ports),
                                    [this](std::shared_ptr<HttpExchange> call) {
                                      Handle(*call);
                                    }));
    m_server->OnBreakWatches([] {});
    return {};
  }

  Endpoint Address() const override { return m_server->Address(); }
  Endpoint Control() const override { return m_server->Control(); }
  void Apply(const CallFault& fault) override { m_server->Apply(fault); }

 private:
  void Handle(HttpExchange& call) {
    const HttpRequest& request = call.Request();
    if (request.target != "/vms") {
      call.Respond(JsonResponse(404));
    } else if (request.method == "PUT") {
      const TimePoint now = std::chrono::steady_clock::now();
      m_pending.push_back(PutList{now + m_lag, request.body});
      call.Respond(JsonResponse(200));
    } else {
      call.Respond(JsonResponse(200, VisibleList()));
    }
  }

  const std::string& VisibleList() {
    const TimePoint now = std::chrono::steady_clock::now();
    while (!m_pending.empty() && m_pending.front().visible_at <= now) {
      m_visible = std::move(m_pending.front().body);
      m_pending.pop_front();
    }
    return m_visible;
  }

  Duration m_lag;
  std::deque<PutList> m_pending;
  std::string m_visible = "[]";
  std::unique_ptr<FaultyServer> m_server;
};

}  // namespace

Result<std::unique_ptr<VmListServer>> VmListServer::Create(EventLoop& loop,
                                                           ServicePorts ports,
                                                           Duration lag) {
  auto server = std::make_unique<VmListServerImpl>(lag);
  BOOST_LEAF_CHECK(server->Listen(loop, std::move(ports)));
  return std::unique_ptr<VmListServer>(std::move(server));
}

}  // namespace bramleyspoke::StandIn
