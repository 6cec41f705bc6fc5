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

/// A small fleet of real processes under load, and the history of it.
class ProcessRun {
 public:
  /// Starts the stand-ins and `daemons` daemons, all ready.
  explicit ProcessRun(
      std::size_t daemons = 3,
      Harness::Deployment deployment = Harness::MakeSmallDeployment());
  ~ProcessRun();

  Harness::Fleet& GetFleet() { return *m_fleet; }
  History& GetHistory() { return m_history; }
  /// Address of a replica, as leaf faults take it.
  std::string Leaf(const std::string& service,
                   std::uint32_t shard,
                   std::uint32_t replica) const;
  /// A daemon that callers of the service are told to use.
  std::size_t Holder(const std::string& service) const;

  /// Load on each service of the deployment; callers send again what got lost.
  void StartLoad(double rate = 40, std::uint32_t resends = 3);
  void StartLoad(std::vector<Harness::ServiceLoad> loads);
  /// Waits for that many more requests that ended, or full answers.
  bool WaitForEnded(std::size_t count);
  bool WaitForFullAnswers(std::size_t count);
  /// Ends the load and takes what its callers saw into the history.
  void StopLoad();

  /// Prefix for request ids, as a daemon gives it to callers of a service.
  std::string RequestIdPrefix(std::size_t daemon, const std::string& service);
  /// Sends one request and waits for its end; into the history.
  CallerEvent Send(std::size_t daemon,
                   const std::string& service,
                   const std::string& request_id,
                   const std::string& query);

  /// Publishes, into the history.
  PublishEvent Publish(const Manifest& manifest);
  Manifest BaseManifest() const;
  /// Waits until all daemons that run have the generation in force.
  bool WaitForGeneration(std::uint64_t generation);
  /// Waits until a daemon lists that many members.
  bool WaitForMembers(std::size_t daemon, std::size_t count);

  /// Ends the load and says what the history breaks; empty if nothing.
  std::string Check();

 private:
  std::unique_ptr<Harness::Fleet> m_fleet;
  std::unique_ptr<Harness::Observer> m_observer;
  std::unique_ptr<Harness::LoadGenerator> m_load;
  std::uint64_t m_load_seed = 1;
  History m_history;
};

/// Answers to a service's requests that don't cover all shards.
std::size_t CountPartialAnswers(const History& history,
                                const std::string& service);
/// Events of a kind at a leaf, "" for all.
std::size_t CountLeafEvents(const History& history,
                            LeafEventKind kind,
                            const std::string& leaf = "");

}  // namespace bramleyspoke
