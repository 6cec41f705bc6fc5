#pragma once

#include <optional>

#include "base/time.h"

namespace bramleyspoke {

/// Tells by how much a message was delayed on its way from one sender, although
/// the clocks of sender and receiver are not synchronized.
class TransitDelay {
 public:
  /// How long the fastest message is remembered, at least; clocks may drift.
  static constexpr Duration kWindow = std::chrono::seconds(30);

  /// `sent` and `read` are times of the sender's and the receiver's clock,
  /// which both run while their VMs are suspended. Returns the time that the
  /// message took beyond the fastest one of the window; zero for the first
  /// message.
  Duration OnMessage(Duration sent, Duration read);

 private:
  Duration m_window_start{0};
  std::optional<Duration> m_shortest;
  /// Of the window before.
  std::optional<Duration> m_previous_shortest;
};

}  // namespace bramleyspoke
