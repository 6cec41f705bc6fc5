#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "fleet.h"
#include "history.h"
#include "load.h"
#include "observer.h"

namespace bramleyspoke {

/// A small fleet of real processes under load, with the history of its events.
class ProcessRun {
 public:
  /// Starts the stand-ins and `daemons` daemons; returns when all are ready.
  explicit ProcessRun(
      std::size_t daemons = 3,
      Harness::Deployment deployment = Harness::MakeSmallDeployment());
  ~ProcessRun();

  Harness::Fleet& GetFleet() { return *m_fleet; }
  History& GetHistory() { return m_history; }
  /// Address of a replica, in the form that leaf faults expect.
  std::string Leaf(const std::string& service,
                   std::uint32_t shard,
                   std::uint32_t replica) const;
  /// Index of the daemon listed first in the service's address answer.
  std::size_t Holder(const std::string& service) const;

  /// Starts a load of `rate` requests per second on each service of the
  /// deployment; callers resend a request with an unknown outcome up to
  /// `resends` times.
  void StartLoad(double rate = 40, std::uint32_t resends = 3);
  void StartLoad(std::vector<Harness::ServiceLoad> loads);
  /// Waits until `count` more requests have ended.
  bool WaitForEnded(std::size_t count);
  /// Waits until `count` more requests have ended with full coverage.
  bool WaitForFullAnswers(std::size_t count);
  /// Ends the load and adds its caller events to the history.
  void StopLoad();

  /// Prefix for request ids that a daemon gives to callers of a service.
  std::string RequestIdPrefix(std::size_t daemon, const std::string& service);
  /// Sends one request, waits for its end and adds it to the history.
  CallerEvent Send(std::size_t daemon,
                   const std::string& service,
                   const std::string& request_id,
                   const std::string& query);

  /// Publishes a manifest and adds the event to the history.
  PublishEvent Publish(const Manifest& manifest);
  Manifest BaseManifest() const;
  /// Waits until all running daemons have at least this generation in force.
  bool WaitForGeneration(std::uint64_t generation);
  /// Waits until a daemon lists exactly `count` members.
  bool WaitForMembers(std::size_t daemon, std::size_t count);

  /// Ends the load and describes the guarantees that the history violates;
  /// empty if none.
  std::string Check();

 private:
  std::unique_ptr<Harness::Fleet> m_fleet;
  std::unique_ptr<Harness::Observer> m_observer;
  std::unique_ptr<Harness::LoadGenerator> m_load;
  std::uint64_t m_load_seed = 1;
  History m_history;
};

/// Number of a service's answers that do not cover all shards.
std::size_t CountPartialAnswers(const History& history,
                                const std::string& service);
/// Number of events of a kind at a leaf; `leaf` "" counts all leafs.
std::size_t CountLeafEvents(const History& history,
                            LeafEventKind kind,
                            const std::string& leaf = "");

}  // namespace bramleyspoke
