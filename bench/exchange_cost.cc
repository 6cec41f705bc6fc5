#include "exchange_cost.h"

#include <ctime>
#include <future>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "connection/capnp_peers.h"

namespace bramleyspoke {
namespace {

constexpr int kServers = 60;
constexpr int kRounds = 3;
constexpr Duration kTimeout = std::chrono::seconds(5);

class EchoHandler final : public PeerHandler {
 public:
  void OnGossip(GossipMessage message,
                std::function<void(GossipMessage)> reply) override {
    reply(std::move(message));
  }
  void OnPingVia(const Endpoint& /*target*/,
                 std::function<void(bool)> reply) override {
    reply(true);
  }
  void OnForward(std::string body,
                 Duration /*time_left*/,
                 std::function<void(ForwardReply)> reply) override {
    reply({200, std::move(body)});
  }
  void OnFetchParts(
      std::vector<std::string> /*hashes*/,
      std::function<void(std::vector<std::string>)> reply) override {
    reply({});
  }
};

double ProcessSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

GossipMessage MakeMessage() {
  GossipMessage message;
  message.sender.address = {
      {"10.1.1.1", 8080}, {"10.1.1.1", 9000}, 1, "domain-1", "region-1"};
  message.members.assign(4, message.sender);
  message.root = std::string(32, 'x');
  return message;
}

}  // namespace

void BenchExchangeCost(std::ostream& out) {
  EchoHandler handler;
  std::vector<std::unique_ptr<CapnpPeers>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(CapnpPeers::Create({"127.0.0.1", 0}, handler).value());
    servers.back()->Start();
  }
  double seconds = 0;
  int completed = 0;
  for (int round = 0; round < kRounds; ++round) {
    // A new client has no connections yet.
    const auto client = CapnpPeers::Create({"127.0.0.1", 0}, handler).value();
    const double start = ProcessSeconds();
    for (const auto& server : servers) {
      std::promise<bool> is_done;
      client->Network().Gossip(
          server->Address(), MakeMessage(), kTimeout,
          [&](const auto& reply) { is_done.set_value(reply.has_value()); });
      completed += is_done.get_future().get() ? 1 : 0;
    }
    seconds += ProcessSeconds() - start;
  }
  out << R"({"bench":"exchange_cost","exchanges":)" << completed
      << R"(,"microseconds_each":)" << seconds / completed * 1e6 << "}\n";
}

}  // namespace bramleyspoke
