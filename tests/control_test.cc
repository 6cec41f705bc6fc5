#include "process/control.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fake_store.h"
#include "process/control_runtime.h"
#include "version/manifest_publisher.h"

namespace bramleyspoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EmptyVmList final : public VmList {
 public:
  void Fetch(
      std::function<void(std::optional<std::vector<VmRecord>>)> done) override {
    done(std::nullopt);
  }
};

class RecordingListener final : public ControlListener {
 public:
  void OnRoutingTable(std::shared_ptr<const RoutingTable> next) override {
    has_reverted =
        has_reverted || (table && next->generation < table->generation);
    table = std::move(next);
  }
  void OnEvidence(const EvidenceNotice& notice) override {
    evidence.push_back(notice);
  }
  void OnDrain(const DrainNotice& notice) override { drains.push_back(notice); }
  void OnHeartbeat(TimePoint /*now*/) override { ++heartbeats; }

  std::shared_ptr<const RoutingTable> table;
  std::vector<EvidenceNotice> evidence;
  std::vector<DrainNotice> drains;
  int heartbeats = 0;
  bool has_reverted = false;
};

/// Peer network in memory: passes each call to the control of the called
/// daemon.
class FakePeerNetwork final : public PeerNetwork {
 public:
  void Gossip(const Endpoint& peer,
              const GossipMessage& message,
              Duration /*timeout*/,
              std::function<void(std::optional<GossipMessage>)> done) override {
    if (!is_up || !controls.contains(peer)) {
      done(std::nullopt);
      return;
    }
    controls[peer]->OnGossip(message, done);
  }
  void PingVia(const Endpoint& peer,
               const Endpoint& target,
               Duration /*timeout*/,
               std::function<void(bool)> done) override {
    if (!is_up || !controls.contains(peer)) {
      done(false);
      return;
    }
    controls[peer]->OnPingVia(target, done);
  }
  void Forward(const Endpoint& /*peer*/,
               const std::string& /*body*/,
               Duration /*timeout*/,
               std::function<void(ForwardOutcome)> done) override {
    done({});
  }
  void FetchParts(const Endpoint& peer,
                  const std::vector<std::string>& hashes,
                  Duration /*timeout*/,
                  std::function<void(std::optional<std::vector<std::string>>)>
                      done) override {
    if (!is_up || !controls.contains(peer)) {
      done(std::nullopt);
      return;
    }
    controls[peer]->OnFetchParts(hashes, done);
  }

  std::map<Endpoint, Control*> controls;
  bool is_up = true;
};

/// Controls of several daemons on one manual clock.
class ControlFleet {
 public:
  explicit ControlFleet(int size)
      : m_runtime(ControlRuntime::CreateWithManualClock()) {
    for (int i = 0; i < size; ++i) {
      ControlOptions options;
      options.self = AddressOf(i);
      options.seeds = {AddressOf(0).peer};
      options.seed = static_cast<std::uint64_t>(i) + 1;
      nodes.push_back(std::make_unique<Node>());
      nodes[i]->control = Control::Create(options, *m_runtime, store, m_vm_list,
                                          network, nodes[i]->listener)
                              .value();
      network.controls[AddressOf(i).peer] = nodes[i]->control.get();
      nodes[i]->control->Start();
    }
  }
  ~ControlFleet() {
    for (auto& node : nodes) {
      node->control->Stop();
    }
  }

  static DaemonAddress AddressOf(int i) {
    const std::string host = "127.0.1." + std::to_string(i + 1);
    const std::string region(1, static_cast<char>('a' + i % 2));
    return {{host, 8080}, {host, 9000}, 7, region + "1", region};
  }

  void Run(Duration duration) {
    for (Duration done{0}; done < duration; done += milliseconds(100)) {
      m_runtime->Advance(milliseconds(100));
      if (is_store_up) {
        store.RunAll();
      } else {
        store.RunAll(StoreFault::kRefused);
      }
    }
  }
  void Jump(Duration duration) { m_runtime->Jump(duration); }

  void Publish(const Manifest& manifest, const std::string& id) {
    ManifestPublisher::Publish(store, manifest, {id, {}},
                               [](const PublishOutcome&) {});
    store.RunAll();
  }

  struct Node {
    RecordingListener listener;
    std::unique_ptr<Control> control;
  };
  FakeStore store;
  bool is_store_up = true;
  FakePeerNetwork network;
  std::vector<std::unique_ptr<Node>> nodes;

 private:
  std::unique_ptr<ControlRuntime> m_runtime;
  EmptyVmList m_vm_list;
};

Manifest MakeManifest(int services) {
  Manifest manifest;
  for (int i = 0; i < services; ++i) {
    manifest.services.push_back(MakeService("s" + std::to_string(i)));
  }
  return manifest;
}

}  // namespace

TEST_CASE("daemons with one seed agree on members, manifest and holders") {
  ControlFleet fleet(6);
  fleet.Run(seconds(5));
  fleet.Publish(MakeManifest(5), "p1");
  fleet.Run(seconds(8));
  const auto first_table = fleet.nodes[0]->listener.table;
  const RoutingTable& first = *first_table;
  CHECK(first.services.size() == 5);
  for (const auto& node : fleet.nodes) {
    const RoutingTable& table = *node->listener.table;
    CHECK(table.generation == 1);
    CHECK(table.is_confirmed);
    CHECK(table.members == first.members);
    CHECK(table.members.size() == 6);
    for (const auto& [name, route] : table.services) {
      CHECK(route->holders == first.services.at(name)->holders);
    }
  }

  SUBCASE("a changed service gets a new route, the others keep theirs") {
    const auto before = fleet.nodes[3]->listener.table;
    Manifest manifest = MakeManifest(5);
    manifest.services[2].max_hits = 7;
    fleet.Publish(manifest, "p2");
    fleet.Run(seconds(8));
    const auto after = fleet.nodes[3]->listener.table;
    CHECK(after->generation == 2);
    for (const auto& [name, route] : after->services) {
      CHECK((route == before->services.at(name)) == (name != "s2"));
    }
  }
  SUBCASE("a leaving daemon is removed by the others but keeps its services") {
    fleet.nodes[2]->control->BeginLeaving();
    fleet.Run(seconds(4));
    const Endpoint gone = ControlFleet::AddressOf(2).peer;
    for (const auto& node : fleet.nodes) {
      CHECK(node->listener.table->members.size() == 5);
      for (const auto& [name, route] : node->listener.table->services) {
        for (const DaemonAddress& holder : route->holders) {
          CHECK(holder.peer != gone);
        }
      }
    }
    const auto& own = *fleet.nodes[2]->listener.table;
    for (const auto& [name, route] : first.services) {
      const bool was_holder =
          std::any_of(route->holders.begin(), route->holders.end(),
                      [&](const auto& holder) { return holder.peer == gone; });
      CHECK(own.services.at(name)->is_held_here == was_holder);
    }
  }
  SUBCASE("notices reach only the service's other holders, and once") {
    const auto& holders = first.services.at("s1")->holders;
    REQUIRE(holders.size() == 2);
    for (const auto& node : fleet.nodes) {
      if (node->listener.table->services.at("s1")->is_held_here) {
        node->control->PublishEvidence({"s1", 42, 1});
        node->control->PublishDrain({{"127.1.0.1", 7000}, "x"});
        break;
      }
    }
    fleet.Run(seconds(5));
    for (int i = 0; i < 6; ++i) {
      const RecordingListener& listener = fleet.nodes[i]->listener;
      CHECK(listener.evidence.size() <= 1);
      CHECK(listener.drains.size() <= 1);
      if (holders[0].peer != ControlFleet::AddressOf(i).peer &&
          holders[1].peer != ControlFleet::AddressOf(i).peer) {
        CHECK(listener.evidence.empty());
      }
    }
    std::size_t received = 0;
    for (const auto& node : fleet.nodes) {
      received += node->listener.evidence.size();
    }
    CHECK(received == 1);
  }
  SUBCASE("evidence of two holders about the same request counts twice") {
    for (const auto& node : fleet.nodes) {
      if (node->listener.table->services.at("s1")->is_held_here) {
        node->control->PublishEvidence({"s1", 42, 1});
      }
    }
    fleet.Run(seconds(5));
    std::size_t received = 0;
    for (const auto& node : fleet.nodes) {
      received += node->listener.evidence.size();
    }
    CHECK(received == 2);
  }
  SUBCASE("after a pause there is no heartbeat before a refresh") {
    fleet.network.is_up = false;
    fleet.is_store_up = false;
    fleet.Jump(seconds(60));
    const int before = fleet.nodes[1]->listener.heartbeats;
    fleet.Run(seconds(2));
    CHECK(fleet.nodes[1]->listener.heartbeats == before);
    fleet.network.is_up = true;
    fleet.Run(seconds(4));
    CHECK(fleet.nodes[1]->listener.heartbeats > before);
    CHECK_FALSE(fleet.nodes[1]->listener.has_reverted);
  }
}

}  // namespace bramleyspoke
