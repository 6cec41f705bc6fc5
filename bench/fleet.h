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

/// Processor time that the processes have used since their start.
struct FleetUsage {
  Duration daemons = Duration::zero();
  Duration stand_ins = Duration::zero();
};

struct FleetOptions {
  /// Where the programs are.
  std::string programs;
  std::size_t daemons = 3;
  /// Processes that the leafs are spread over.
  std::size_t leaf_processes = 1;
  Deployment deployment;
  /// Given to the daemons' settings.
  Duration keep_serving = std::chrono::seconds(12);
  Duration stop_bound = std::chrono::seconds(30);
};

/// The platform's stand-ins and a number of daemons, as processes on
/// addresses of their own; all end with this object.
class Fleet {
 public:
  /// Starts all but the daemons; then publishes the deployment's manifest.
  static Result<std::unique_ptr<Fleet>> Start(FleetOptions options);
  virtual ~Fleet() = default;

  virtual const std::vector<LeafPlan>& Leafs() const = 0;
  virtual const Deployment& Plan() const = 0;
  virtual Endpoint Store() const = 0;
  virtual Endpoint CallerAddress(std::size_t daemon) const = 0;
  virtual std::vector<Endpoint> CallerAddresses() const = 0;
  virtual ChildProcess& Daemon(std::size_t daemon) = 0;
  /// Of the processes that run now.
  virtual FleetUsage Usage() const = 0;
  /// Directory with each process's settings and output.
  virtual const std::string& Directory() const = 0;

  /// Starts a daemon, or starts it again after its end.
  virtual void StartDaemon(std::size_t daemon) = 0;
  virtual void StartAllDaemons() = 0;
  virtual bool WaitReady(std::size_t daemon) = 0;
  virtual bool WaitAllReady() = 0;
  virtual void Signal(std::size_t daemon, int signal) = 0;
  /// SIGKILL, and waits for the end.
  virtual void Kill(std::size_t daemon) = 0;
  /// SIGTERM, and waits for the end.
  virtual StopEvent Stop(std::size_t daemon) = 0;

  /// Publishes under an id of its own; replaces any generation unless one is
  /// expected.
  virtual PublishEvent Publish(
      const Manifest& manifest,
      std::optional<std::uint64_t> expected = std::nullopt) = 0;
  /// `value` is a JSON value or empty; `leaf` may be "*".
  virtual void LeafFault(std::string_view leaf,
                         std::string_view fault,
                         std::string_view value) = 0;
  /// Body of the store's fault endpoint.
  virtual void StoreFault(std::string_view body) = 0;
  /// Reads what the leafs logged since the last call.
  virtual std::vector<LeafEvent> TakeLeafLog() = 0;
  /// Writes of the manifest's head since the store's start.
  virtual std::vector<StoreEvent> ReadStoreHistory() = 0;
};

/// One call from the harness; status 0 if it failed.
HttpResponse Call(const Endpoint& server,
                  std::string_view method,
                  std::string_view target,
                  std::string_view body = "",
                  Duration timeout = std::chrono::seconds(2));

/// Time between two looks for an event.
void SleepBriefly();

/// Waits for an event; false if it did not come within `timeout`.
template <typename Predicate>
bool WaitUntil(Predicate predicate, Duration timeout) {
  const TimePoint end = std::chrono::steady_clock::now() + timeout;
  while (!predicate()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    SleepBriefly();
  }
  return true;
}

}  // namespace bramleyspoke::Harness
