#pragma once

#include <cstdint>
#include <string_view>

#include "base/result.h"
#include "base/time.h"

namespace bramleyspoke::StandIn {

/// Fault that a stand-in service applies to the calls it receives.
enum class CallFaultMode {
  kNone,
  /// The service does not listen; open connections and watches are closed.
  kDown,
  /// Each call is handled after `delay`.
  kSlow,
  /// Calls take effect, then their connection is closed without a response.
  kLoseAnswers,
  /// Calls get status 503 and have no effect.
  kUnavailable,
  /// Open watches are closed, once.
  kBreakWatches,
  /// Calls get a response body that is not JSON, and have no effect.
  kGarbage,
};

std::string_view ToString(CallFaultMode mode);

/// Body of POST /fault.
struct CallFault {
  CallFaultMode mode = CallFaultMode::kNone;
  Duration delay = Duration::zero();
  /// Number of calls affected; 0 for all.
  std::uint32_t count = 0;
  /// Time after which the fault ends; 0 for no end.
  Duration duration = Duration::zero();
};

Result<CallFault> ParseCallFault(std::string_view json);

}  // namespace bramleyspoke::StandIn
