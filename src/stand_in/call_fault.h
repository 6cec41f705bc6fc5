#pragma once

#include <cstdint>
#include <string_view>

#include "base/result.h"
#include "base/time.h"

namespace bramleyspoke::StandIn {

/// What a stand-in service does with its calls.
enum class CallFaultMode {
  kNone,
  /// Not listening; open connections and watches are closed.
  kDown,
  /// Each call is handled late, by `delay`.
  kSlow,
  /// Calls take effect, then their connection closes without an answer.
  kLoseAnswers,
  /// Calls are answered 503 and have no effect.
  kUnavailable,
  /// Waiting watches are closed, once.
  kBreakWatches,
  /// Calls are answered with something that is not JSON.
  kGarbage,
};

std::string_view ToString(CallFaultMode mode);

/// Body of POST /fault.
struct CallFault {
  CallFaultMode mode = CallFaultMode::kNone;
  Duration delay = Duration::zero();
  /// Calls that it falls on; 0 for all.
  std::uint32_t count = 0;
  /// Ends by itself after this time; 0 for never.
  Duration lasts = Duration::zero();
};

Result<CallFault> ParseCallFault(std::string_view json);

}  // namespace bramleyspoke::StandIn
