#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fake_store.h"
#include "process/manifest_follower.h"

namespace bramleyspoke {

/// Peer endpoint of the daemon with that number.
inline Endpoint PeerOf(int number) {
  return {"10.0." + std::to_string(number / 250) + "." +
              std::to_string(number % 250 + 1),
          9000};
}

/// A manifest of two services; `caller_limit` makes its content differ.
inline Manifest MakeTwoServices(std::uint32_t caller_limit) {
  Manifest manifest;
  manifest.services = {MakeService("catalogue"), MakeService("roster")};
  manifest.callers = {{"desk", caller_limit}};
  return manifest;
}

/// Simulation of followers in one thread, with random exchanges that may be
/// lost, and one store, which follower 0 watches.
class FollowerFleet {
 public:
  FollowerFleet(int size, std::uint64_t seed) : m_size(size), m_random(seed) {
    for (int i = 0; i < size; ++i) {
      m_numbers[PeerOf(i)] = i;
      Restart(i);
    }
  }

  void Restart(int number) {
    nodes[number] =
        std::make_unique<ManifestFollower>(FollowerOptions{}, m_random(), now);
    highest[number] = 0;
    ++m_incarnations[number];
    Execute(number, nodes[number]->OnFleetChange(number == 0, Size(), now));
  }

  std::size_t Size() const { return m_size; }

  /// Publishes a new manifest; `invalid_root`, if not empty, replaces its root
  /// part.
  void Publish(const std::string& invalid_root = "") {
    ManifestParts parts = SplitManifest(
        MakeTwoServices(static_cast<std::uint32_t>(head.generation + 1)));
    if (!invalid_root.empty()) {
      parts.root = PartHash(invalid_root);
      parts.parts[parts.root] =
          std::make_shared<const std::string>(invalid_root);
    }
    for (const auto& [hash, content] : parts.parts) {
      m_store[PartKey(hash)] = {*content, 1};
    }
    head = head.Next("p", parts.root);
    m_store[std::string(kHeadKey)] = {
        ToJson(head), static_cast<std::int64_t>(head.generation)};
    if (m_is_watching && is_store_up) {
      Execute(0, nodes[0]->OnWatchChange(m_store[std::string(kHeadKey)], now));
    }
  }

  void Run(Duration duration) {
    constexpr Duration kTick = std::chrono::milliseconds(100);
    for (const TimePoint end = now + duration; now < end; now += kTick) {
      while (!m_events.empty() && m_events.begin()->first <= now) {
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
      }
      for (auto& [number, node] : nodes) {
        Execute(number, node->OnTick(now));
        // Same rate as the probes of membership: one per second on average.
        if (m_random() % 10 == 0) {
          Exchange(number, static_cast<int>(m_random() % m_size));
        }
      }
    }
  }

  /// Number of daemons that have the generation in force.
  int CountAt(std::uint64_t generation) const {
    int count = 0;
    for (const auto& [number, node] : nodes) {
      count += node->Status(now).generation == generation ? 1 : 0;
    }
    return count;
  }

  std::map<int, std::unique_ptr<ManifestFollower>> nodes;
  std::map<int, std::uint64_t> highest;
  bool has_reverted = false;
  ManifestHead head;
  bool is_store_up = true;
  int loss_percent = 0;
  std::size_t store_calls = 0;
  TimePoint now{std::chrono::hours(1)};

 private:
  void Schedule(Duration delay, std::function<void()> event) {
    m_events.emplace(now + delay, std::move(event));
  }
  Duration Latency() { return std::chrono::milliseconds(1 + m_random() % 200); }
  /// Long enough that a response may be older than what peers reported
  /// meanwhile.
  Duration StoreLatency() {
    return std::chrono::milliseconds(1 + m_random() % 1500);
  }
  bool IsLost() { return static_cast<int>(m_random() % 100) < loss_percent; }
  /// Runs `event` on the node after `delay` unless it was restarted meanwhile.
  void ScheduleOnNode(int number,
                      Duration delay,
                      std::function<FollowerActions(ManifestFollower&)> event) {
    Schedule(delay,
             [this, number, incarnation = m_incarnations[number], event] {
               if (m_incarnations[number] == incarnation) {
                 Execute(number, event(*nodes[number]));
               }
             });
  }

  void Execute(int number, const FollowerActions& actions) {
    for (const FetchAction& fetch : actions.fetches) {
      std::optional<std::vector<std::string>> parts;
      if (!IsLost()) {
        parts = nodes.at(m_numbers.at(fetch.peer))->Parts(fetch.hashes);
      }
      ScheduleOnNode(number, Latency(),
                     [this, fetch, parts](ManifestFollower& node) {
                       return node.OnPeerParts(fetch.fetch, parts, now);
                     });
    }
    for (const ReadPartAction& read : actions.reads) {
      ScheduleOnNode(
          number, Latency(),
          [this, read,
           result = ReadStore(PartKey(read.hash))](ManifestFollower& node) {
            return node.OnStorePart(read.fetch, read.hash, result, now);
          });
    }
    if (actions.read_head) {
      ScheduleOnNode(
          number, StoreLatency(),
          [this, requested_at = now,
           result = ReadStore(std::string(kHeadKey))](ManifestFollower& node) {
            return node.OnStoreHead(result, requested_at, now);
          });
    }
    m_is_watching = m_is_watching || (number == 0 && actions.watch);
    const std::uint64_t generation = nodes[number]->Status(now).generation;
    has_reverted = has_reverted || generation < highest[number];
    highest[number] = generation;
    if (actions.is_changed) {
      for (int i = 0; i < 4; ++i) {
        Exchange(number, static_cast<int>(m_random() % m_size));
      }
    }
  }

  StoreRead ReadStore(const std::string& key) {
    ++store_calls;
    if (!is_store_up) {
      return {StoreOutcome::kUnknown, {}};
    }
    return {StoreOutcome::kOk, m_store[key]};
  }

  void Exchange(int from, int to) {
    if (from == to || IsLost()) {
      return;
    }
    const ManifestStatus status = nodes[from]->Status(now);
    ScheduleOnNode(
        to, Latency(),
        [this, from, to, status, requested_at = now](ManifestFollower& node) {
          const ManifestStatus reply = node.Status(now);
          ScheduleOnNode(
              from, Latency(),
              [this, to, reply, requested_at](ManifestFollower& asker) {
                return asker.OnPeerStatus(PeerOf(to), reply, requested_at, now);
              });
          return node.OnPeerStatus(PeerOf(from), status, {}, now);
        });
  }

  std::size_t m_size;
  std::mt19937_64 m_random;
  std::map<std::string, StoreValue> m_store;
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::map<Endpoint, int> m_numbers;
  std::map<int, int> m_incarnations;
  bool m_is_watching = false;
};

}  // namespace bramleyspoke
