#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "base/time.h"
#include "connection/http_client.h"
#include "deployment.h"
#include "history.h"
#include "version/manifest.h"

namespace bramleyspoke::Harness {

class ChildProcess;

/// Processor time used by the processes since their start.
struct FleetUsage {
  Duration daemons = Duration::zero();
  Duration stand_ins = Duration::zero();
};

struct FleetOptions {
  /// Directory of the programs.
  std::string programs;
  std::size_t daemons = 3;
  /// Number of processes that the leafs are distributed over.
  std::size_t leaf_processes = 1;
  Deployment deployment;
  /// The daemons' settings `stop.keep_serving_ms` and `stop.bound_ms`.
  Duration keep_serving = std::chrono::seconds(12);
  Duration stop_bound = std::chrono::seconds(30);
};

/// The platform's stand-ins and a number of daemons, as processes on separate
/// loopback addresses; the destructor ends them all.
class Fleet {
 public:
  /// Starts the stand-ins and publishes the deployment's manifest; starts no
  /// daemons.
  static Result<std::unique_ptr<Fleet>> Start(FleetOptions options);
  virtual ~Fleet() = default;

  virtual const std::vector<LeafPlan>& Leafs() const = 0;
  virtual const Deployment& Plan() const = 0;
  virtual Endpoint Store() const = 0;
  virtual Endpoint CallerAddress(std::size_t daemon) const = 0;
  virtual std::vector<Endpoint> CallerAddresses() const = 0;
  virtual ChildProcess& Daemon(std::size_t daemon) = 0;
  /// Usage of the processes that are running.
  virtual FleetUsage Usage() const = 0;
  /// Directory of the processes' settings and output files.
  virtual const std::string& Directory() const = 0;

  /// Starts a daemon, or restarts it after its end.
  virtual void StartDaemon(std::size_t daemon) = 0;
  virtual void StartAllDaemons() = 0;
  virtual bool WaitReady(std::size_t daemon) = 0;
  virtual bool WaitAllReady() = 0;
  virtual void Signal(std::size_t daemon, int signal) = 0;
  /// Sends SIGKILL and waits for the end.
  virtual void Kill(std::size_t daemon) = 0;
  /// Sends SIGTERM and waits for the end.
  virtual StopEvent Stop(std::size_t daemon) = 0;

  /// Publishes with a new publish id; with `expected`, only if that generation
  /// is current.
  virtual PublishEvent Publish(
      const Manifest& manifest,
      std::optional<std::uint64_t> expected = std::nullopt) = 0;
  /// Injects a fault into a leaf, or into all leafs for "*"; `value` is a JSON
  /// value or empty.
  virtual void InjectLeafFault(std::string_view leaf,
                               std::string_view fault,
                               std::string_view value) = 0;
  /// Injects a fault into the store; `body` is the request body for its fault
  /// endpoint.
  virtual void InjectStoreFault(std::string_view body) = 0;
  /// Returns the leafs' log entries since the last call.
  virtual std::vector<LeafEvent> TakeLeafLog() = 0;
  /// Returns the writes of the manifest's head since the store's start.
  virtual std::vector<StoreEvent> ReadStoreHistory() = 0;
};

/// Makes one HTTP call and waits for it; status 0 if it failed.
HttpResponse Call(const Endpoint& server,
                  std::string_view method,
                  std::string_view target,
                  std::string_view body = "",
                  Duration timeout = std::chrono::seconds(2));

/// Sleeps for one poll interval.
void SleepPollInterval();

/// Polls `predicate` until it holds; returns false after `timeout`.
template <typename Predicate>
bool WaitUntil(Predicate predicate, Duration timeout) {
  const TimePoint end = std::chrono::steady_clock::now() + timeout;
  while (!predicate()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    SleepPollInterval();
  }
  return true;
}

}  // namespace bramleyspoke::Harness
