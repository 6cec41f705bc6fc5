#include "stand_in/backend_server_host.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <utility>
#include <vector>

#include "connection/event_loop.h"
#include "connection/http_server.h"
#include "stand_in/execution_log.h"
#include "stand_in/json_response.h"
#include "stand_in/leaf.h"
#include "stand_in/leaf_fault.h"

namespace bramleyspoke::StandIn {
namespace {

namespace json = boost::json;

constexpr std::string_view kLogTarget = "/log";
constexpr std::string_view kSinceParameter = "/log?since=";

struct HostedLeaf {
  EventLoop* loop = nullptr;
  std::unique_ptr<Leaf> leaf;
};

json::object EncodeCounts(const LeafCounts& counts) {
  return json::object{{"leaf", ToString(counts.leaf)},
                      {"received", counts.received},
                      {"started", counts.started},
                      {"finished", counts.finished},
                      {"refused", counts.refused},
                      {"cancelled", counts.cancelled},
                      {"crashes", counts.crashes},
                      {"concurrent_max", counts.concurrent_max},
                      {"connections", counts.connections},
                      {"connections_max", counts.connections_max}};
}

std::uint64_t ParseSince(std::string_view target) {
  std::uint64_t since = 0;
  if (target.substr(0, kSinceParameter.size()) == kSinceParameter) {
    target.remove_prefix(kSinceParameter.size());
    std::from_chars(target.data(), target.data() + target.size(), since);
  }
  return since;
}

// A GET /counts in progress: leafs are read one after the other, each on its
// own event loop.
struct CountsQuery {
  std::shared_ptr<HttpExchange> exchange;
  json::array counts;
};

class HostImpl final : public BackendServerHost, public HttpHandler {
 public:
  explicit HostImpl(std::size_t threads) : m_control(EventLoop::Create()) {
    for (std::size_t i = 0; i < threads; ++i) {
      m_loops.push_back(EventLoop::Create());
    }
  }

  ~HostImpl() override {
    m_control->Stop();
    for (const auto& loop : m_loops) {
      loop->Stop();
    }
  }

  Result<void> Listen(const BackendServerConfig& config) {
    for (std::size_t i = 0; i < config.leafs.size(); ++i) {
      EventLoop& loop = *m_loops[i % m_loops.size()];
      LeafConfig leaf_config = config.leafs[i];
      leaf_config.seed += i;
      BOOST_LEAF_AUTO(leaf, Leaf::Create(loop, m_log, std::move(leaf_config)));
      m_leafs.push_back(HostedLeaf{&loop, std::move(leaf)});
    }
    BOOST_LEAF_ASSIGN(
        m_server, HttpServer::Create(*m_control, config.control, {}, *this));
    m_control->Start();
    for (const auto& loop : m_loops) {
      loop->Start();
    }
    return {};
  }

  Endpoint Control() const override { return m_server->Address(); }

  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    const HttpRequest& request = exchange->Request();
    if (request.target == "/fault") {
      HandleFault(*exchange);
    } else if (request.target == "/counts") {
      GatherCounts(std::make_shared<CountsQuery>(CountsQuery{exchange, {}}), 0);
    } else if (request.target.compare(0, kLogTarget.size(), kLogTarget) == 0) {
      exchange->Respond(
          JsonResponse(200, m_log.LinesSince(ParseSince(request.target))));
    } else {
      exchange->Respond(JsonResponse(404));
    }
  }

 private:
  void HandleFault(HttpExchange& exchange) {
    const auto fault_request = ParseLeafFaultRequest(exchange.Request().body);
    if (!fault_request) {
      exchange.Respond(JsonResponse(400));
      return;
    }
    std::size_t matches = 0;
    for (const HostedLeaf& hosted : m_leafs) {
      if (!fault_request->leaf ||
          *fault_request->leaf == hosted.leaf->Address()) {
        ++matches;
        hosted.loop->Post(
            [leaf = hosted.leaf.get(), fault = fault_request->fault] {
              leaf->Apply(fault);
            });
      }
    }
    exchange.Respond(JsonResponse(matches > 0 ? 200 : 404));
  }

  void GatherCounts(const std::shared_ptr<CountsQuery>& query,
                    std::size_t index) {
    if (index == m_leafs.size()) {
      query->exchange->Respond(
          JsonResponse(200, json::serialize(query->counts)));
      return;
    }
    m_leafs[index].loop->Post([this, query, index] {
      query->counts.push_back(EncodeCounts(m_leafs[index].leaf->Counts()));
      m_control->Post([this, query, index] { GatherCounts(query, index + 1); });
    });
  }

  ExecutionLog m_log;
  std::unique_ptr<EventLoop> m_control;
  std::vector<std::unique_ptr<EventLoop>> m_loops;
  std::vector<HostedLeaf> m_leafs;
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace

Result<std::unique_ptr<BackendServerHost>> BackendServerHost::Create(
    const BackendServerConfig& config,
    std::size_t threads) {
  auto host = std::make_unique<HostImpl>(threads);
  BOOST_LEAF_CHECK(host->Listen(config));
  return std::unique_ptr<BackendServerHost>(std::move(host));
}

}  // namespace bramleyspoke::StandIn
