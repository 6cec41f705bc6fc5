#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "request/relay_engine.h"

namespace bramleyspoke {

using std::chrono::milliseconds;

/// What happens to a connection that is tried to find out whether the daemon
/// reaches the leafs.
enum class ProbeAnswer {
  kAccepted,
  kRefused,
  /// It hangs.
  kNone,
};

/// A relay engine with simulated time, its leafs and the actions it returned.
///
/// Each of the services "s0", "s1", ... is a shard; `AddLeaf` adds its leafs.
class RelayFixture {
 public:
  explicit RelayFixture(RetryAllowance allowance = {1, 100},
                        const std::string& region = "r1")
      : engine(
            Locality{"d" + region.substr(1),
                     region,
                     {{"d1", "r1"}, {"d1b", "r1"}, {"d2", "r2"}, {"d3", "r3"}}},
            allowance) {
    engine.SetDaemons({{region, 1}});
  }

  void AddLeaf(const std::string& service,
               const std::string& name,
               const std::string& domain = "d1",
               bool is_draining = false) {
    LeafRegistration leaf;
    leaf.id = name;
    leaf.service = service;
    leaf.address = {"127.0.0.1", m_next_port++};
    leaf.failure_domain = domain;
    leaf.slots = slots;
    leaf.is_draining = is_draining;
    leafs.push_back(leaf);
    CollectActions(engine.SetLeafs(leafs, now));
  }

  void RemoveLeaf(const std::string& name) {
    std::erase_if(leafs, [&](const auto& leaf) { return leaf.id == name; });
    CollectActions(engine.SetLeafs(leafs, now));
  }

  /// Submits a request on a route to `single_service` if `shards` is 0, else to
  /// that number of shards.
  RelayNumber Submit(std::size_t shards,
                     RequestKind kind = RequestKind::kIdempotent,
                     std::uint32_t max_attempts = 2) {
    Route route;
    route.name = route_name;
    route.kind = kind;
    route.max_attempts = max_attempts;
    route.timeout = milliseconds(2000);
    route.target_latency = milliseconds(200);
    route.min_coverage = 0.75;
    route.result_limit = 10;
    if (shards == 0) {
      route.services = {{single_service, 1}};
    }
    for (std::size_t shard = 0; shard < shards; ++shard) {
      route.shards.push_back("s" + std::to_string(shard));
    }
    std::vector<RoutedService> services;
    for (const LeafRegistration& leaf : leafs) {
      services.push_back({leaf.service, "/health", 100});
    }
    const auto table = std::make_shared<const RouteTable>(
        1, std::vector{route}, services, CallerLimits());
    CollectActions(engine.SetTable(table, now));
    RelayRequest request;
    request.request_id = "id";
    request.fingerprint = fingerprint;
    request.resource = resource;
    request.table = table;
    request.route = &table->Routes().front();
    request.deadline = now + time_left;
    request.answer_by = now + milliseconds(190);
    request.is_for_peer = is_for_peer;
    request.bypassable = bypassable;
    request.credited = credited;
    CollectActions(engine.Submit(++last_number, std::move(request), now));
    return last_number;
  }

  void Reply(const std::string& leaf, LeafReplyKind kind) {
    const auto found =
        std::find_if(sends.begin(), sends.end(),
                     [&](const auto& send) { return send.leaf_id == leaf; });
    REQUIRE(found != sends.end());
    const RelayAttempt attempt = *found;
    sends.erase(found);
    ReplyTo(attempt, kind);
  }

  /// Replies to an attempt that was taken from `sends`.
  void ReplyTo(const RelayAttempt& attempt, LeafReplyKind kind) {
    LeafReply reply;
    reply.kind = kind;
    reply.response.body = attempt.leaf_id;
    reply.round_trip = milliseconds(1);
    const bool has_response = kind == LeafReplyKind::kSucceeded ||
                              kind == LeafReplyKind::kFailed ||
                              kind == LeafReplyKind::kRefused;
    if (has_response) {
      const auto named = named_rates.find(attempt.leaf_id);
      reply.announcement.emplace();
      if (named != named_rates.end()) {
        reply.announcement->request_rate = named->second;
      }
      reply.announcement->is_leaving = leaving.contains(attempt.leaf_id);
      const auto pause = pauses.find(attempt.leaf_id);
      if (pause != pauses.end() && kind == LeafReplyKind::kRefused) {
        reply.announcement->pause = pause->second;
      }
    }
    CollectActions(engine.OnReply(attempt.number, std::move(reply), now));
  }

  /// Advances the time in steps of a millisecond and fires due timers.
  void Advance(Duration duration) {
    const TimePoint end = now + duration;
    while (now < end) {
      now += milliseconds(1);
      if (engine.NextTimer() && *engine.NextTimer() <= now) {
        CollectActions(engine.OnTimer(now));
      }
    }
  }

  bool IsSentTo(const std::string& leaf) const {
    return std::any_of(sends.begin(), sends.end(),
                       [&](const auto& send) { return send.leaf_id == leaf; });
  }

  const RelayOutcome& Outcome(RelayNumber number) {
    REQUIRE(outcomes.contains(number));
    return outcomes.at(number);
  }

  void CollectActions(RelayActions actions) {
    std::move(actions.sends.begin(), actions.sends.end(),
              std::back_inserter(sends));
    std::move(actions.delegations.begin(), actions.delegations.end(),
              std::back_inserter(delegations));
    cancellations.insert(cancellations.end(), actions.cancellations.begin(),
                         actions.cancellations.end());
    for (RelayFinish& finish : actions.finishes) {
      outcomes[finish.request] = std::move(finish.outcome);
    }
    if (actions.close_unused_before) {
      closed_before = actions.close_unused_before;
    }
    for (const Endpoint& leaf : actions.probes) {
      AnswerProbe(leaf);
    }
  }

  TimePoint now{std::chrono::hours(1)};
  RelayEngine engine;
  std::vector<LeafRegistration> leafs;
  /// Outstanding attempts.
  std::vector<RelayAttempt> sends;
  std::vector<RelayDelegation> delegations;
  std::vector<RelayAttemptNumber> cancellations;
  std::map<RelayNumber, RelayOutcome> outcomes;
  /// Time before which connections were to have been opened when unused ones
  /// were last closed.
  std::optional<TimePoint> closed_before;
  RelayNumber last_number = 0;
  /// Slots of leafs that are added.
  std::uint32_t slots = 2;
  /// Time until the deadline of subsequent requests.
  Duration time_left = milliseconds(2000);
  bool is_for_peer = false;
  std::vector<bool> bypassable;
  std::vector<bool> credited;
  /// Request rates that leafs name in their responses, by leaf.
  std::map<std::string, double> named_rates;
  /// Pauses that leafs ask for with each refusal, by leaf.
  std::map<std::string, Duration> pauses;
  /// Leafs that say in their responses that they are leaving.
  std::set<std::string> leaving;
  ProbeAnswer probes = ProbeAnswer::kAccepted;
  std::string route_name = "route";
  /// Service of routes without shards.
  std::string single_service = "s0";
  /// Fingerprint of subsequent requests.
  std::uint64_t fingerprint = 0;
  /// Fingerprint of subsequent requests and those that differ from them in
  /// their query only; 0 if not known.
  std::uint64_t resource = 0;

 private:
  void AnswerProbe(const Endpoint& leaf) {
    if (probes == ProbeAnswer::kNone) {
      return;
    }
    const bool is_accepted = probes == ProbeAnswer::kAccepted;
    CollectActions(engine.OnReachable(leaf, is_accepted, now));
  }

  std::uint16_t m_next_port = 1;
};

}  // namespace bramleyspoke
