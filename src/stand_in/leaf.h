#pragma once

#include <memory>
#include <string>

#include "base/result.h"
#include "stand_in/execution_log.h"
#include "stand_in/leaf_config.h"
#include "stand_in/leaf_fault.h"

namespace bramleyspoke {
class EventLoop;
}

namespace bramleyspoke::StandIn {

/// Counters of a leaf, which crashes do not reset.
struct LeafCounts {
  Endpoint leaf;
  std::uint64_t received = 0;
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t refused = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t crashes = 0;
  std::uint32_t concurrent_max = 0;
  std::uint32_t connections = 0;
  std::uint32_t connections_max = 0;
};

/// Backend server that generates its responses from its configuration.
class Leaf {
 public:
  /// The leaf listens on return; `loop` and `log` must outlive it.
  static Result<std::unique_ptr<Leaf>> Create(EventLoop& loop,
                                              ExecutionLog& log,
                                              LeafConfig config);
  virtual ~Leaf() = default;

  /// Address that the leaf listens on; has the actual port if 0 is configured.
  virtual Endpoint Address() const = 0;
  /// Must be called on the loop's thread.
  virtual void Apply(const LeafFault& fault) = 0;
  /// Must be called on the loop's thread.
  virtual LeafCounts Counts() const = 0;
};

}  // namespace bramleyspoke::StandIn
