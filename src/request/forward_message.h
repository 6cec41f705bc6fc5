#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bramleyspoke {

/// What the receiving daemon must do with a forwarded request.
enum class ForwardMode {
  /// Run the request: the receiver holds the service.
  kRun,
  /// Decide on the request's id: the receiver issued it.
  kDecide,
};

/// A caller's request forwarded from one daemon to another.
struct ForwardMessage {
  ForwardMode mode = ForwardMode::kRun;
  /// JSON of the search, as in the caller protocol.
  std::string search;
};

std::string ToJson(const ForwardMessage& message);
/// Parses a message; empty if it is malformed.
std::optional<ForwardMessage> ParseForwardMessage(std::string_view text);

}  // namespace bramleyspoke
