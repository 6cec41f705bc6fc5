#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "connection/backend_server.h"

namespace bramleyspoke::StandIn {

/// Faults and changes that can be applied to a leaf at run time.
enum class LeafFaultKind {
  /// Ends all faults but a crash or a drain; changed versions and shards stay.
  kNone,
  /// Multiplies service times by `number`.
  kSlow,
  /// Freezes for `number` ms; 0 means until `kNone` or a crash.
  kFreeze,
  /// Closes all sockets and drops all attempts; restarts after `number` ms, or
  /// not at all if 0.
  kCrash,
  /// Restarts the leaf, which is then cold; a running leaf crashes first.
  kRestart,
  /// A query that contains `text` crashes the leaf, as `kCrash` does.
  kCrashOn,
  /// Refuses all attempts with the reason `text`.
  kRefuse,
  /// Refuses the share `number` of the attempts as shed.
  kShed,
  /// Reports `number` as its load.
  kLieLoad,
  /// Responds to GET /status with `text`.
  kLieStatus,
  /// Runs attempts and closes the connection instead of responding.
  kDropAnswer,
  /// Runs attempts and closes the connection after half of the response.
  kHalfAnswer,
  /// Responds with a wrong attempt id.
  kWrongId,
  /// Responds with a wrong shard, version or layout; `text` names the field.
  kWrongEcho,
  /// Runs attempts and responds `number` ms later.
  kLateAnswer,
  /// Searches the share `number` of the shard.
  kPartial,
  /// Reports that it is draining; refuses attempts if `number` is 1.
  kDrain,
  kUndrain,
  kSetVersions,
  kSetShards,
};

std::string_view ToString(LeafFaultKind kind);

/// A fault with its parameters; its kind determines which ones apply.
struct LeafFault {
  LeafFaultKind kind = LeafFaultKind::kNone;
  double number = 0;
  std::string text;
  std::vector<IndexVersion> versions;
  std::vector<std::uint32_t> shards;
  /// Number of responses affected by a fault of responses; 0 for all, until
  /// another such fault or `kNone` replaces it.
  std::uint32_t count = 0;
};

/// Body of POST /fault at the control endpoint.
struct LeafFaultRequest {
  /// Empty for all leafs.
  std::optional<Endpoint> leaf;
  LeafFault fault;
};

Result<LeafFaultRequest> ParseLeafFaultRequest(std::string_view json);

}  // namespace bramleyspoke::StandIn
