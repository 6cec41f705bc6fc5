#pragma once

#include <optional>

#include "base/time.h"

namespace bramleyspoke {

/// Enables TCP keep-alive probes, so that a connection whose remote end is
/// unreachable fails within seconds although no reset arrives.
void SetKeepAlive(int socket);

/// Round-trip time of a connection as measured by the system.
std::optional<Duration> RoundTripOf(int socket);

}  // namespace bramleyspoke
