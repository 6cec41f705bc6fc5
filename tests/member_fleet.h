#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "process/membership.h"

namespace bramleyspoke {

/// Simulation of many `Membership` objects in one thread, with messages that
/// are delayed, reordered and lost.
class MemberFleet {
 public:
  MemberFleet(int size, MembershipOptions options, std::uint64_t seed)
      : m_options(options), m_random(seed) {
    for (int i = 0; i < size; ++i) {
      Start(i, 1);
    }
  }

  static DaemonAddress AddressOf(int number, std::uint64_t incarnation) {
    const std::string host = "127.0.1." + std::to_string(number + 1);
    const std::string region(1, static_cast<char>('a' + number % 2));
    return {{host, 8080}, {host, 9000}, incarnation, region + "1", region};
  }

  void Start(int number, std::uint64_t incarnation) {
    const DaemonAddress self = AddressOf(number, incarnation);
    auto member = std::make_unique<Membership>(m_options, self, m_random());
    member->SetContacts({AddressOf(0, 0).peer, AddressOf(1, 0).peer});
    nodes[self.peer] = std::move(member);
  }
  void Kill(int number) { nodes.erase(AddressOf(number, 0).peer); }
  /// Suspends the node; `Resume` reports the pause to it.
  void Pause(int number) { paused.insert(AddressOf(number, 0).peer); }
  void Resume(int number) {
    const Endpoint peer = AddressOf(number, 0).peer;
    paused.erase(peer);
    if (nodes.contains(peer)) {
      Execute(peer, nodes[peer]->OnPause(now));
    }
  }
  Membership& Node(int number) { return *nodes.at(AddressOf(number, 0).peer); }

  void Run(Duration duration) {
    constexpr Duration kTick = std::chrono::milliseconds(100);
    for (const TimePoint end = now + duration; now < end; now += kTick) {
      while (!m_events.empty() && m_events.begin()->first <= now) {
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
      }
      for (auto& [peer, node] : nodes) {
        if (!paused.contains(peer)) {
          Execute(peer, node->OnTick(now));
        }
      }
    }
  }

  /// All nodes, including paused ones; each node should list these as live.
  std::set<Endpoint> Running() const {
    std::set<Endpoint> running;
    for (const auto& [peer, node] : nodes) {
      running.insert(peer);
    }
    return running;
  }

  std::map<Endpoint, std::unique_ptr<Membership>> nodes;
  std::set<Endpoint> paused;
  /// Whether a message from the first node can reach the second.
  std::function<bool(const Endpoint&, const Endpoint&)> is_linked =
      [](const Endpoint&, const Endpoint&) { return true; };
  int loss_percent = 0;
  TimePoint now{std::chrono::hours(1)};
  std::size_t max_updates_seen = 0;

 private:
  void Schedule(Duration delay, std::function<void()> event) {
    m_events.emplace(now + delay, std::move(event));
  }
  Duration Latency() { return std::chrono::milliseconds(1 + m_random() % 300); }
  bool IsDelivered(const Endpoint& from, const Endpoint& to) {
    return is_linked(from, to) && nodes.contains(to) && !paused.contains(to) &&
           static_cast<int>(m_random() % 100) >= loss_percent;
  }
  bool IsRunning(const Endpoint& peer) const {
    return nodes.contains(peer) && !paused.contains(peer);
  }

  /// Runs `event` once the node is not paused; drops it if the node was
  /// killed.
  void RunWhenResumed(const Endpoint& peer,
                      const std::function<void()>& event) {
    if (paused.contains(peer)) {
      Schedule(std::chrono::milliseconds(100),
               [this, peer, event] { RunWhenResumed(peer, event); });
    } else if (nodes.contains(peer)) {
      event();
    }
  }

  void Execute(const Endpoint& from, const MembershipActions& actions) {
    for (const GossipAction& action : actions.gossips) {
      Exchange(from, action, [](bool) {});
    }
    for (const PingViaAction& ping : actions.pings) {
      const auto answer = [this, from, ping](bool is_alive) {
        RunWhenResumed(from, [this, from, ping, is_alive] {
          Execute(from,
                  nodes[from]->OnPingViaReply(ping.exchange, is_alive, now));
        });
      };
      if (!IsDelivered(from, ping.peer)) {
        Schedule(ping.timeout, [answer] { answer(false); });
        continue;
      }
      Exchange(ping.peer, nodes[ping.peer]->MakeGossip(ping.target), answer);
    }
  }

  void Exchange(const Endpoint& from,
                const GossipAction& action,
                const std::function<void(bool)>& answer) {
    max_updates_seen =
        std::max(max_updates_seen, action.message.members.size());
    const auto end = [this, from, action,
                      answer](std::optional<GossipMessage> reply) {
      RunWhenResumed(from, [this, from, action, reply] {
        Execute(from, nodes[from]->OnReply(action.exchange, reply, now));
      });
      answer(reply.has_value());
    };
    if (!IsDelivered(from, action.peer)) {
      Schedule(action.timeout, [end] { end({}); });
      return;
    }
    Schedule(Latency(), [this, from, action, end] {
      if (!IsRunning(action.peer)) {
        Schedule(action.timeout, [end] { end({}); });
        return;
      }
      const GossipMessage reply =
          nodes[action.peer]->OnGossip(action.message, now);
      if (!IsDelivered(action.peer, from)) {
        Schedule(action.timeout, [end] { end({}); });
        return;
      }
      Schedule(Latency(), [end, reply] { end(reply); });
    });
  }

  MembershipOptions m_options;
  std::mt19937_64 m_random;
  std::multimap<TimePoint, std::function<void()>> m_events;
};

}  // namespace bramleyspoke
