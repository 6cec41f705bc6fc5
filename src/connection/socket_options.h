#pragma once

#include <optional>

#include "base/time.h"

namespace bramleyspoke {

/// Enables TCP keep-alive probes, so that a connection whose remote end is
/// unreachable fails within seconds although no reset arrives.
void SetKeepAlive(int socket);

/// Enables keep-alive probes at the shortest interval, and makes the connection
/// fail once the remote end has acknowledged neither data nor probes for
/// `limit`; the probes add up to a second.
void LimitSilence(int socket, Duration limit);

/// Round-trip time of a connection, as reported by the system.
std::optional<Duration> RoundTripOf(int socket);

}  // namespace bramleyspoke
