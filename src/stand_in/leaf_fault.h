#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "connection/backend_server.h"

namespace bramleyspoke::StandIn {

/// What can be wrong with a leaf, or changed about it, at run time.
enum class LeafFaultKind {
  /// Ends all faults; versions, shards and crashes stay.
  kNone,
  /// Service times multiplied by `number`.
  kSlow,
  /// Stops for `number` ms, or until the next fault when 0.
  kFreeze,
  /// Closes everything; starts again after `number` ms, or never when 0.
  kCrash,
  /// Starts again after a crash, cold.
  kRestart,
  /// A query with the text `text` crashes the leaf, for `number` ms.
  kCrashOn,
  /// Refuses attempts for the reason named by `text`.
  kRefuse,
  /// Refuses a share of `number` of the attempts as shed.
  kShed,
  /// Reports `number` as its load.
  kLieLoad,
  /// Answers GET /status with `text`.
  kLieStatus,
  /// Runs attempts and closes the connection in place of the answer.
  kDropAnswer,
  /// Runs attempts and closes the connection within the answer.
  kHalfAnswer,
  /// Answers with another attempt's id.
  kWrongId,
  /// Answers with another shard, version or layout, as `text` says.
  kWrongEcho,
  /// Runs attempts and answers `number` ms later.
  kLateAnswer,
  /// Searches a share of `number` of the shard.
  kPartial,
  /// Says that it is leaving; refuses attempts when `number` is 1.
  kDrain,
  kUndrain,
  kSetVersions,
  kSetShards,
};

std::string_view ToString(LeafFaultKind kind);

/// A fault with its value in the form its kind takes.
struct LeafFault {
  LeafFaultKind kind = LeafFaultKind::kNone;
  double number = 0;
  std::string text;
  std::vector<IndexVersion> versions;
  std::vector<std::uint32_t> shards;
  /// Answers to spoil; 0 for all until the next fault of this kind.
  std::uint32_t count = 0;
};

/// Body of POST /fault at the control endpoint.
struct LeafFaultOrder {
  /// Empty for all leafs.
  std::optional<Endpoint> leaf;
  LeafFault fault;
};

Result<LeafFaultOrder> ParseLeafFaultOrder(std::string_view json);

}  // namespace bramleyspoke::StandIn
