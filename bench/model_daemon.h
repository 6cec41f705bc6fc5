#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "request/relay_engine.h"

namespace bramleyspoke::Harness {

class ReplayedFleet;

/// A caller's request, over all of its sends.
struct CallerRequest {
  std::size_t load_class = 0;
  TimePoint arrived;
  TimePoint deadline;
  int sends = 0;
  std::uint64_t id = 0;
};

/// A relay engine with its requests, attempts and delegations.
class ModelDaemon {
 public:
  ModelDaemon(ReplayedFleet& fleet, std::size_t index, std::size_t region);

  void Submit(const CallerRequest& request);
  void SubmitForPeer(const RelayDelegation& delegation,
                     const Route& route,
                     std::uint64_t id,
                     ModelDaemon& from);
  void ContinueForPeer(const RelayDelegation& delegation, ModelDaemon& from);
  void OnDelegationReply(RelayAttemptNumber number, DelegationReply reply);
  RelayEngine& Engine() { return m_engine; }
  std::size_t Region() const { return m_region; }
  Endpoint Address() const {
    return {"127.0.2.1", static_cast<std::uint16_t>(m_index + 1)};
  }

 private:
  struct InFlight {
    /// Set for a caller's request.
    std::optional<CallerRequest> caller;
    /// Set for a peer's.
    ModelDaemon* peer = nullptr;
    RelayAttemptNumber delegation = 0;
    RelayAttemptNumber origin = 0;
    std::vector<std::string> shards;
    TimePoint arrived;
    std::shared_ptr<const RouteTable> table;
    std::uint64_t id = 0;
  };

  void Apply(RelayActions actions);
  void Send(const RelayAttempt& attempt);
  void Cancel(RelayAttemptNumber number);
  void CancelForPeer(RelayAttemptNumber origin, const ModelDaemon& from);
  std::uint64_t KeyOf(RelayAttemptNumber number) const;
  void Delegate(const RelayDelegation& delegation);
  void Finish(RelayFinish finish);
  void AnswerPeer(InFlight& request, const RelayOutcome& outcome);
  void ArmTimer();

  ReplayedFleet& m_fleet;
  std::size_t m_index;
  std::size_t m_region;
  RelayEngine m_engine;
  std::map<RelayNumber, InFlight> m_in_flight;
  RelayNumber m_last_number = 0;
  std::map<RelayAttemptNumber, std::size_t> m_leaf_of_attempt;
  std::map<RelayAttemptNumber, RelayDelegation> m_delegations;
  std::optional<TimePoint> m_armed;
};

}  // namespace bramleyspoke::Harness
