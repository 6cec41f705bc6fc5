#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "request/relay_engine.h"

namespace bramleyspoke {

/// What happens in a part of a run of `RetryFleet`. Shares are in percent of
/// the attempts.
struct RetryPhase {
  Duration length{0};
  /// Requests to each daemon.
  int per_second = 0;
  int rejected = 0;
  int failed = 0;
  int lost = 0;
  /// Attempts for which no connection can be opened.
  int unsent = 0;
  /// Attempts that a leaf runs and does not answer.
  int unanswered = 0;
  /// Answers to delegations that are lost, in percent.
  int lost_answers = 0;
  /// Daemon that reaches no leafs, if any.
  std::optional<std::size_t> cut_off;
  /// Daemon that is restarted when the phase begins, if any.
  std::optional<std::size_t> restarted;
  /// Whether each service gets another leaf when the phase begins. Daemons
  /// learn of it within `RetryFleet::kMaxDiscoveryDelay`.
  bool adds_leafs = false;
};

/// Size of a `RetryFleet`.
struct RetryFleetOptions {
  std::size_t leafs_per_service = 2;
  std::uint32_t max_attempts = 2;
  /// Whether there are non-idempotent requests as well, to a service of theirs.
  bool has_non_idempotent = false;
};

// NOLINTBEGIN(readability-identifier-naming): rapidcheck looks them up.
void showValue(const RetryPhase& phase, std::ostream& out);
void showValue(const RetryFleetOptions& options, std::ostream& out);
// NOLINTEND(readability-identifier-naming)

/// The most arrivals beyond the first of each request that a service got above
/// what was allowed in any window; negative while the rule is kept.
struct RetryExcess {
  std::string service;
  std::size_t extra = 0;
  std::size_t requests = 0;
  double above = 0;
};

/// Relay engines of three regions with simulated time. The leafs of each
/// service are in two of the regions; what reaches the leafs is counted.
/// Requests name four shards, or one service.
class RetryFleet {
 public:
  static constexpr std::size_t kDaemons = 3;
  static constexpr std::size_t kShards = 4;
  static constexpr Duration kWindow = std::chrono::seconds(4);
  static constexpr Duration kMaxDiscoveryDelay = std::chrono::seconds(3);

  RetryFleet(const RetryAllowance& allowance,
             std::uint32_t seed,
             const RetryFleetOptions& options = {});

  void Run(const RetryPhase& phase);
  /// The window, of all services, in which the rule is exceeded the most.
  RetryExcess MostExcess() const;
  std::size_t Arrivals() const { return m_arrivals; }
  std::size_t Extra() const;
  std::size_t Delegations() const { return m_delegations; }
  /// Requests that ran on more leafs of a service than their route allows.
  std::size_t RequestsOnTooManyLeafs() const;
  /// The most leafs of a service on which one request ran.
  std::size_t MostLeafs() const;
  /// Non-idempotent requests that ran more than once.
  std::size_t RequestsRunTwice() const;

 private:
  using ClientRequest = std::uint64_t;
  /// A request that a daemon has, as its caller or its peer sent it.
  struct Held {
    ClientRequest request = 0;
    std::optional<std::size_t> delegator;
    RelayAttemptNumber delegation = 0;
    TimePoint since;
  };
  struct Daemon {
    std::unique_ptr<RelayEngine> engine;
    std::uint32_t run = 0;
    std::map<RelayNumber, Held> held;
    /// Requests of peers by delegator and number of the first delegation.
    std::map<std::pair<std::size_t, RelayAttemptNumber>, RelayNumber> by_origin;
  };
  struct Service {
    std::set<ClientRequest> arrived;
    /// By request, the leafs on which it ran.
    std::map<ClientRequest, std::set<std::string>> ran_on;
    std::map<ClientRequest, std::size_t> runs;
    std::vector<TimePoint> requests;
    std::vector<TimePoint> extra;
  };

  void AddLeafs();
  void AddLeaf(const std::string& service);
  void Start(std::size_t daemon);
  void Tick(const RetryPhase& phase);
  const Route& DrawRoute();
  void SubmitFromCaller(std::size_t daemon);
  void Submit(std::size_t daemon, Held held, RelayRequest request);
  void Apply(std::size_t daemon, const RelayActions& actions);
  void Send(std::size_t daemon, const RelayAttempt& attempt);
  void Delegate(std::size_t daemon, const RelayDelegation& delegation);
  void Deliver(std::size_t from,
               std::size_t peer,
               ClientRequest request,
               const RelayDelegation& delegation);
  void AnswerPeer(std::size_t daemon, const RelayFinish& finish);
  void ReplyToDelegation(std::size_t daemon,
                         RelayAttemptNumber number,
                         DelegationReply reply);
  LeafReplyKind DrawReply(std::size_t daemon);
  Duration DrawLatency(LeafReplyKind kind, const RelayAttempt& attempt);
  int Draw(int below);
  /// Carries `action` out unless the daemon is restarted before.
  void After(Duration delay, std::size_t daemon, std::function<void()> action);

  RetryAllowance m_allowance;
  RetryFleetOptions m_options;
  std::mt19937 m_random;
  TimePoint m_now{std::chrono::hours(1)};
  RetryPhase m_phase;
  std::vector<LeafRegistration> m_leafs;
  std::shared_ptr<const RouteTable> m_table;
  std::array<Daemon, kDaemons> m_daemons;
  std::map<std::string, Service> m_services;
  std::map<std::string, std::string> m_service_of;
  std::map<std::string, std::size_t> m_leafs_of;
  std::multimap<TimePoint, std::function<void()>> m_events;
  RelayNumber m_last_number = 0;
  std::size_t m_arrivals = 0;
  std::size_t m_delegations = 0;
};

}  // namespace bramleyspoke
