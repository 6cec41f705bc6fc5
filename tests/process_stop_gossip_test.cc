#include <doctest/doctest.h>

#include <atomic>
#include <cstdlib>
#include <memory>
#include <thread>
#include <vector>

#include "child_process.h"
#include "connection/capnp_peers.h"
#include "fleet.h"
#include "history.h"

namespace bramleyspoke {
namespace {

constexpr int kRounds = 10;
constexpr std::size_t kCallers = 4;
constexpr std::uint16_t kPeerPort = 9000;
constexpr std::chrono::milliseconds kCallTimeout{200};

/// A peer that only calls others.
class NullHandler final : public PeerHandler {
 public:
  void OnGossip(GossipMessage, std::function<void(GossipMessage)>) override {}
  void OnPingVia(const Endpoint&, std::function<void(bool)>) override {}
  void OnForward(std::string,
                 Duration,
                 std::function<void(ForwardReply)>) override {}
  void OnFetchParts(std::vector<std::string>,
                    std::function<void(std::vector<std::string>)>) override {}
};

/// Sends gossip to a daemon without a pause.
class GossipFlood {
 public:
  explicit GossipFlood(const Endpoint& peer) {
    for (std::size_t i = 0; i < kCallers; ++i) {
      m_peers.push_back(
          CapnpPeers::Create({"127.0.0.1", 0}, m_handler).value());
      m_threads.emplace_back(
          [this, &network = m_peers.back()->Network(), peer] {
            while (!m_is_done) {
              network.Gossip(peer, GossipMessage(), kCallTimeout,
                             [](const std::optional<GossipMessage>&) {});
              std::this_thread::sleep_for(std::chrono::microseconds(50));
            }
          });
    }
  }
  ~GossipFlood() {
    m_is_done = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

 private:
  NullHandler m_handler;
  std::atomic<bool> m_is_done = false;
  std::vector<std::unique_ptr<CapnpPeers>> m_peers;
  std::vector<std::thread> m_threads;
};

}  // namespace

TEST_CASE("a planned stop does not crash while peers send gossip") {
  const char* programs = std::getenv("BRAMLEYSPOKE_BIN");
  REQUIRE(programs != nullptr);
  Harness::FleetOptions options;
  options.programs = programs;
  options.daemons = 1;
  options.deployment = Harness::MakeSmallDeployment();
  options.keep_serving = std::chrono::milliseconds(100);
  options.stop_bound = std::chrono::seconds(2);
  const auto fleet = Harness::Fleet::Start(options).value();
  for (int round = 0; round < kRounds; ++round) {
    fleet->StartDaemon(0);
    REQUIRE(fleet->WaitReady(0));
    const GossipFlood flood({fleet->CallerAddress(0).host, kPeerPort});
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(fleet->Stop(0).exit_status == 0);
  }
}

}  // namespace bramleyspoke
