#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bramleyspoke {

/// What a daemon asks of another with a forwarded request.
enum class ForwardMode {
  /// Run it: the receiver holds the service.
  kRun,
  /// Decide on its id: the receiver issued it.
  kDecide,
};

/// A caller's request on its way between two daemons.
struct ForwardMessage {
  ForwardMode mode = ForwardMode::kRun;
  /// The search as the caller protocol has it.
  std::string search;
};

std::string ToJson(const ForwardMessage& message);
/// Empty when malformed.
std::optional<ForwardMessage> ParseForwardMessage(std::string_view text);

}  // namespace bramleyspoke
