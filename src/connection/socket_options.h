#pragma once

#include <optional>

#include "base/time.h"

namespace bramleyspoke {

/// Lets the system probe an idle connection, so that one which went silent
/// ends within seconds; no reset tells of it.
void SetKeepAlive(int socket);

/// Round trip time of a connection as the system measured it.
std::optional<Duration> RoundTripOf(int socket);

}  // namespace bramleyspoke
