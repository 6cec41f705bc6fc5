#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "connection/capnp_peers.h"
#include "connection/socket_address.h"
#include "fleet.h"
#include "silent_proxy.h"

namespace bramleyspoke {
namespace {

constexpr Duration kShortTimeout = std::chrono::milliseconds(300);
constexpr Duration kLongTimeout = std::chrono::seconds(30);
/// How long a query that is named "busy" occupies the peer.
constexpr std::chrono::milliseconds kBusyTime{1500};
/// By how much a query's deadline at the peer may be off.
constexpr std::chrono::milliseconds kLongestTransit{500};
constexpr std::uint64_t kWatchedEra = 5;

MemberUpdate MakeMember(std::uint16_t port) {
  MemberUpdate member;
  member.address = {{"127.0.1.1", 8080}, {"127.0.1.1", port}, 7, "a1", "a"};
  member.state = MemberState::kLeaving;
  member.version = 9;
  return member;
}

GossipMessage MakeGossip(std::uint64_t generation) {
  GossipMessage message;
  message.sender = MakeMember(9000);
  message.members = {MakeMember(9001), MakeMember(9002)};
  message.generation = generation;
  message.root = "root";
  message.confirmed_ago = std::chrono::milliseconds(1500);
  message.evidence = {
      {"catalogue", 42, 2, 77, std::chrono::milliseconds(1200), true, 43}};
  message.drains = {{{"127.0.2.1", 7000}, "x"}};
  message.want_all = true;
  message.bucket = {8, 3, 99};
  return message;
}

StoreKnowledge MakeKnowledge() {
  StoreKnowledge knowledge;
  knowledge.routes = std::string("routes\0", 7);
  LeafRegistration leaf;
  leaf.id = "leaf";
  leaf.started_at_ms = 1234567890123;
  leaf.service = "service";
  leaf.address = {"127.0.2.1", 7000};
  leaf.failure_domain = "domain";
  leaf.slots = 4;
  leaf.is_draining = true;
  leaf.cold_remaining = std::chrono::milliseconds(1500);
  knowledge.leafs = {leaf};
  knowledge.daemons = {{"key",
                        {{"127.0.1.1", 8104},
                         {"127.0.1.1", 8106},
                         "domain",
                         "region",
                         250,
                         true}}};
  knowledge.suspects = {{42, ""}, {43, "service"}};
  return knowledge;
}

/// Echoes gossip. Forwards that start with "hold" are answered by
/// `ReplyToHeld`, "silent" ones never.
class TestHandler final : public PeerHandler {
 public:
  void OnGossip(GossipMessage message,
                std::function<void(GossipMessage)> reply) override {
    reply(std::move(message));
  }
  void OnPingVia(const Endpoint& target,
                 std::function<void(bool)> reply) override {
    reply(target.port == 1);
  }
  void OnForward(std::string body,
                 Duration /*time_left*/,
                 std::function<void(ForwardReply)> reply) override {
    if (body == "silent") {
      return;
    }
    if (body.starts_with("hold")) {
      m_held.emplace_back(body, std::move(reply));
      ++held;
      return;
    }
    reply({200, body});
  }
  void OnFetchParts(
      std::vector<std::string> hashes,
      std::function<void(std::vector<std::string>)> reply) override {
    if (hashes == std::vector<std::string>{"huge"}) {
      reply({std::string(20 << 20, 'x')});
      return;
    }
    reply(std::vector<std::string>(hashes.size(), std::string("\0x", 2)));
  }

  void OnWatchStore(const PeerWatch& watch,
                    std::function<void(KeyValueChanges)> reply) override {
    KeyValueChanges changes;
    changes.status = watch.era == kWatchedEra ? KeyValueStatus::kOk
                                              : KeyValueStatus::kHistoryGone;
    changes.revision = watch.revision + 2;
    changes.has_more = watch.wait == std::chrono::seconds(4);
    changes.events = {{"written", std::string("\0value", 6)},
                      {"removed", std::nullopt}};
    reply(std::move(changes));
  }

  void OnFetchKnowledge(std::function<void(StoreKnowledge)> reply) override {
    reply(MakeKnowledge());
  }

  std::function<void()> OnQueryShards(
      ShardQuery query,
      std::function<void(ShardAnswer)> reply) override {
    m_query = std::move(query);
    if (m_query.request_id == "busy") {
      std::this_thread::sleep_for(kBusyTime);
    }
    if (m_query.request_id == "hold") {
      m_held_query = std::move(reply);
      ++held;
      return [this] { ++cancelled; };
    }
    ShardAnswer answer;
    answer.covered = {1};
    answer.uncovered = {{0, 2, true, true}};
    answer.version = 12;
    answer.response.status = 404;
    answer.response.headers = {{"Content-Type", "text/csv"}};
    answer.is_cut_off = true;
    reply(std::move(answer));
    return [] {};
  }

  /// The last shard query; to be read after its answer has arrived.
  const ShardQuery& Query() const { return m_query; }

  /// Replies to the held forwards in reverse order, on the calling thread.
  void ReplyToHeld() {
    while (!m_held.empty()) {
      m_held.back().second({200, m_held.back().first});
      m_held.pop_back();
    }
  }

  std::atomic<int> held = 0;
  std::atomic<int> cancelled = 0;

 private:
  std::function<void(ShardAnswer)> m_held_query;
  std::vector<std::pair<std::string, std::function<void(ForwardReply)>>> m_held;
  ShardQuery m_query;
};

/// A listening socket that passes each accepted connection to `on_accept`.
class RawListener {
 public:
  explicit RawListener(std::function<void(int)> on_accept)
      : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    const SocketAddress any = ToSocketAddress({"127.0.0.1", 0});
    REQUIRE(bind(m_socket, reinterpret_cast<const sockaddr*>(&any.storage),
                 any.length) == 0);
    REQUIRE(listen(m_socket, 8) == 0);
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&bound), &length);
    address = {"127.0.0.1", ntohs(bound.sin_port)};
    m_thread = std::thread([this, on_accept = std::move(on_accept)] {
      for (;;) {
        const int connection = accept(m_socket, nullptr, nullptr);
        if (connection < 0) {
          return;
        }
        on_accept(connection);
      }
    });
  }
  ~RawListener() {
    shutdown(m_socket, SHUT_RDWR);
    m_thread.join();
    close(m_socket);
  }

  Endpoint address;

 private:
  int m_socket;
  std::thread m_thread;
};

void ReadSome(int connection) {
  char buffer[64];
  [[maybe_unused]] const ssize_t count = read(connection, buffer, 64);
}

std::unique_ptr<CapnpPeers> MakePeers(PeerHandler& handler) {
  auto peers = CapnpPeers::Create({"127.0.0.1", 0}, handler).value();
  peers->Start();
  return peers;
}

ForwardOutcome Forward(PeerNetwork& network,
                       const Endpoint& peer,
                       const std::string& body,
                       Duration timeout) {
  std::promise<ForwardOutcome> outcome;
  network.Forward(peer, body, timeout, [&](ForwardOutcome result) {
    outcome.set_value(std::move(result));
  });
  return outcome.get_future().get();
}

std::optional<GossipMessage> Gossip(PeerNetwork& network,
                                    const Endpoint& peer,
                                    Duration timeout) {
  std::promise<std::optional<GossipMessage>> outcome;
  network.Gossip(peer, MakeGossip(5), timeout,
                 [&](std::optional<GossipMessage> reply) {
                   outcome.set_value(std::move(reply));
                 });
  return outcome.get_future().get();
}

}  // namespace

TEST_CASE("a peer answers a watch of the store") {
  TestHandler handler;
  const auto server = MakePeers(handler);
  const auto client = MakePeers(handler);
  const auto watch = [&](std::uint64_t era) {
    std::promise<KeyValueChanges> answer;
    client->Network().WatchStore(
        server->Address(), {era, 40, std::chrono::seconds(4)}, kLongTimeout,
        [&](KeyValueChanges changes) { answer.set_value(std::move(changes)); });
    return answer.get_future().get();
  };
  const KeyValueChanges changes = watch(kWatchedEra);
  CHECK(changes.status == KeyValueStatus::kOk);
  CHECK(changes.revision == 42);
  CHECK(changes.has_more);
  REQUIRE(changes.events.size() == 2);
  CHECK(changes.events[0].key == "written");
  CHECK(changes.events[0].value == std::string("\0value", 6));
  CHECK(changes.events[1].key == "removed");
  CHECK_FALSE(changes.events[1].value);
  CHECK(watch(kWatchedEra + 1).status == KeyValueStatus::kHistoryGone);
}

TEST_CASE("a peer returns its knowledge from the store") {
  TestHandler handler;
  const auto server = MakePeers(handler);
  const auto client = MakePeers(handler);
  std::promise<std::optional<StoreKnowledge>> answer;
  client->Network().FetchKnowledge(
      server->Address(), std::chrono::seconds(5),
      [&](std::optional<StoreKnowledge> knowledge) {
        answer.set_value(std::move(knowledge));
      });
  CHECK(answer.get_future().get() == MakeKnowledge());
}

TEST_CASE(
    "all fields of gossip and the results of pings and part fetches are "
    "transmitted") {
  TestHandler handler;
  const auto server = MakePeers(handler);
  const auto client = MakePeers(handler);
  const auto gossip =
      Gossip(client->Network(), server->Address(), kLongTimeout);
  REQUIRE(gossip);
  const GossipMessage sent = MakeGossip(5);
  CHECK(gossip->sender == sent.sender);
  CHECK(gossip->members == sent.members);
  CHECK(gossip->generation == sent.generation);
  CHECK(gossip->root == sent.root);
  CHECK(gossip->confirmed_ago == sent.confirmed_ago);
  CHECK(gossip->evidence == sent.evidence);
  CHECK(gossip->drains == sent.drains);
  CHECK(gossip->want_all);
  CHECK(gossip->bucket == sent.bucket);

  for (const std::uint16_t port : {1, 2}) {
    std::promise<bool> alive;
    client->Network().PingVia(server->Address(), {"127.0.0.1", port},
                              kLongTimeout,
                              [&](bool result) { alive.set_value(result); });
    CHECK(alive.get_future().get() == (port == 1));
  }
  std::promise<std::optional<std::vector<std::string>>> parts;
  client->Network().FetchParts(
      server->Address(), {"a", "b"}, kLongTimeout,
      [&](auto result) { parts.set_value(std::move(result)); });
  CHECK(parts.get_future().get() ==
        std::vector<std::string>(2, std::string("\0x", 2)));
}

TEST_CASE("a shard query and its answer are transmitted") {
  TestHandler handler;
  const auto server = MakePeers(handler);
  const auto client = MakePeers(handler);
  ShardQuery query;
  query.request_id = "id";
  query.request = {"POST", "/sweep?x", {{"Host", "h"}}, std::string("\0b", 2)};
  query.route = "sweep";
  query.shards = {"s0", "s1"};
  query.bypassable = {true, false};
  query.credited = {false, true};
  query.service = "one";
  query.is_idempotent = false;
  query.delegation = 7;
  query.max_attempts = 2;
  query.deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(1900);
  std::promise<ShardOutcome> done;
  const auto call = client->Network().QueryShards(
      server->Address(), query,
      [&](ShardOutcome outcome) { done.set_value(std::move(outcome)); });
  const ShardOutcome outcome = done.get_future().get();
  REQUIRE(outcome.result == ForwardResult::kReplied);
  CHECK(outcome.answer.covered == std::vector<std::size_t>{1});
  REQUIRE(outcome.answer.uncovered.size() == 1);
  CHECK(outcome.answer.uncovered.front().possible_runs == 2);
  CHECK(outcome.answer.uncovered.front().is_pending);
  CHECK(outcome.answer.uncovered.front().is_sent);
  CHECK(outcome.answer.version == 12);
  CHECK(outcome.answer.response.status == 404);
  CHECK(outcome.answer.response.content_type == "text/csv");
  CHECK(outcome.answer.is_cut_off);
  const ShardQuery& received = handler.Query();
  CHECK(received.request_id == query.request_id);
  CHECK(received.request.target == query.request.target);
  CHECK(received.request.body == query.request.body);
  CHECK(received.shards == query.shards);
  CHECK(received.bypassable == query.bypassable);
  CHECK(received.credited == query.credited);
  CHECK(received.max_attempts == query.max_attempts);
  CHECK(received.service == "one");
  CHECK_FALSE(received.is_idempotent);
  CHECK(received.delegation == 7);
  CHECK(received.deadline <= query.deadline + kLongestTransit);
  CHECK(received.deadline > query.deadline - kLongestTransit);
}

TEST_CASE(
    "a call to a failing peer reports whether it was sent; other calls "
    "succeed") {
  struct Row {
    const char* name;
    std::function<void(int)> on_accept;
    ForwardResult expected;
  };
  std::vector<int> open_connections;
  const std::vector<Row> rows = {
      {"peer that does not respond",
       [&](int connection) { open_connections.push_back(connection); },
       ForwardResult::kLost},
      {"peer that closes the connection during the call",
       [](int connection) {
         ReadSome(connection);
         close(connection);
       },
       ForwardResult::kLost},
      {"peer that responds with invalid data",
       [&](int connection) {
         ReadSome(connection);
         const std::string invalid_data(4096, '\xff');
         send(connection, invalid_data.data(), invalid_data.size(),
              MSG_NOSIGNAL);
         open_connections.push_back(connection);
       },
       ForwardResult::kLost},
      {"refused connection", nullptr, ForwardResult::kNotSent},
  };
  TestHandler handler;
  const auto server = MakePeers(handler);
  const auto client = MakePeers(handler);
  PeerNetwork& network = client->Network();
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Endpoint address{"127.0.0.1", 1};
    std::unique_ptr<RawListener> listener;
    if (row.on_accept) {
      listener = std::make_unique<RawListener>(row.on_accept);
      address = listener->address;
    }
    CHECK(Forward(network, address, "x", kShortTimeout).result == row.expected);
    CHECK_FALSE(Gossip(network, address, kShortTimeout));
    // Calls to other peers still succeed.
    CHECK(Forward(network, server->Address(), "y", kLongTimeout).reply.body ==
          "y");
  }
  for (const int connection : open_connections) {
    close(connection);
  }
}

TEST_CASE(
    "queries reach a peer again soon after a connection to it has gone "
    "silent") {
  // As an engine does that answers its caller without the peer's shards.
  constexpr std::chrono::milliseconds kCancelAfter{200};
  constexpr std::chrono::seconds kBound{4};
  TestHandler handler;
  const auto server = MakePeers(handler);
  const auto client = MakePeers(handler);
  const auto proxy = SilentProxy::Create(server->Address());
  const auto is_answered = [&] {
    ShardQuery query;
    query.request_id = "id";
    query.shards = {"s0", "s1"};
    query.deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    auto done = std::make_shared<std::promise<void>>();
    const auto call = client->Network().QueryShards(
        proxy->Address(), query,
        [done](const ShardOutcome&) { done->set_value(); });
    return done->get_future().wait_for(kCancelAfter) ==
           std::future_status::ready;
  };
  REQUIRE(is_answered());
  SUBCASE("whose data is acknowledged") {
    REQUIRE(proxy->SilenceOpen(SilenceKind::kAcknowledged) == 1);
  }
  SUBCASE("whose data is not acknowledged") {
    REQUIRE(proxy->SilenceOpen(SilenceKind::kUnacknowledged) == 1);
  }
  CHECK(Harness::WaitUntil(is_answered, kBound));
}

// Leafs got more time than the caller had left when a peer was too busy to read
// its socket.
TEST_CASE("a query that waits to be read keeps its deadline") {
  TestHandler handler;
  const auto server = MakePeers(handler);
  const auto client = MakePeers(handler);
  const auto ask = [&](const char* id, std::promise<void>& done) {
    ShardQuery query;
    query.request_id = id;
    query.shards = {"s0", "s1"};
    query.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    auto call = client->Network().QueryShards(
        server->Address(), query,
        [&done](const ShardOutcome&) { done.set_value(); });
    return std::pair(query.deadline, std::move(call));
  };
  std::promise<void> first;
  const auto first_call = ask("id", first);
  first.get_future().get();
  std::promise<void> busy;
  const auto busy_call = ask("busy", busy);
  std::promise<void> waiting;
  const auto waiting_call = ask("id", waiting);
  busy.get_future().get();
  waiting.get_future().get();
  CHECK(handler.Query().deadline <= waiting_call.first + kLongestTransit);
}

// Guards against work at a peer for callers that have left.
TEST_CASE("a query that is cancelled is cancelled at the peer") {
  constexpr std::chrono::milliseconds kBound{500};
  TestHandler handler;
  const auto server = MakePeers(handler);
  const auto client = MakePeers(handler);
  ShardQuery query;
  query.request_id = "hold";
  query.shards = {"s0"};
  query.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  auto call = client->Network().QueryShards(server->Address(), query,
                                            [](const ShardOutcome&) {});
  REQUIRE(Harness::WaitUntil([&] { return handler.held == 1; }, kLongTimeout));
  CHECK(handler.cancelled == 0);
  call.reset();
  CHECK(Harness::WaitUntil([&] { return handler.cancelled == 1; }, kBound));
}

TEST_CASE("a missing reply or an oversized response fails only its own call") {
  TestHandler handler;
  const auto server = MakePeers(handler);
  const auto client = MakePeers(handler);
  PeerNetwork& network = client->Network();
  CHECK(Forward(network, server->Address(), "silent", kShortTimeout).result ==
        ForwardResult::kLost);
  std::promise<bool> has_parts;
  network.FetchParts(
      server->Address(), {"huge"}, kLongTimeout,
      [&](auto parts) { has_parts.set_value(parts.has_value()); });
  CHECK_FALSE(has_parts.get_future().get());
  CHECK(Forward(network, server->Address(), "y", kLongTimeout).reply.body ==
        "y");
}

TEST_CASE("replies sent in reverse order reach their own calls") {
  TestHandler handler;
  const auto server = MakePeers(handler);
  const auto client = MakePeers(handler);
  constexpr int kCalls = 8;
  std::vector<std::promise<ForwardOutcome>> outcomes(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    client->Network().Forward(server->Address(), "hold" + std::to_string(i),
                              kLongTimeout,
                              [&outcomes, i](ForwardOutcome outcome) {
                                outcomes[i].set_value(std::move(outcome));
                              });
  }
  while (handler.held < kCalls) {
    std::this_thread::yield();
  }
  handler.ReplyToHeld();
  for (int i = 0; i < kCalls; ++i) {
    CHECK(outcomes[i].get_future().get().reply.body ==
          "hold" + std::to_string(i));
  }
}

// Guards against losing the answer to a peer that was made as the stop ended.
TEST_CASE("a reply that was made before the peer stops reaches its call") {
  constexpr int kCalls = 8;
  TestHandler handler;
  const auto server = MakePeers(handler);
  const auto client = MakePeers(handler);
  std::vector<std::promise<ForwardOutcome>> outcomes(kCalls);
  for (std::promise<ForwardOutcome>& outcome : outcomes) {
    client->Network().Forward(server->Address(), "hold", kLongTimeout,
                              [&outcome](ForwardOutcome result) {
                                outcome.set_value(std::move(result));
                              });
  }
  while (handler.held < kCalls) {
    std::this_thread::yield();
  }
  handler.ReplyToHeld();
  server->Stop();
  for (std::promise<ForwardOutcome>& outcome : outcomes) {
    CHECK(outcome.get_future().get().result == ForwardResult::kReplied);
  }
}

TEST_CASE("a call in flight is reported as lost when the peer stops") {
  TestHandler handler;
  const auto server = MakePeers(handler);
  const auto client = MakePeers(handler);
  std::promise<ForwardOutcome> outcome;
  client->Network().Forward(
      server->Address(), "hold", kLongTimeout,
      [&](ForwardOutcome result) { outcome.set_value(std::move(result)); });
  while (handler.held < 1) {
    std::this_thread::yield();
  }
  server->Stop();
  CHECK(outcome.get_future().get().result == ForwardResult::kLost);
  handler.ReplyToHeld();
}

}  // namespace bramleyspoke
