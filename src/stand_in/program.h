#pragma once

#include <functional>

#include "base/result.h"

namespace bramleyspoke::StandIn {

/// Blocks SIGINT and SIGTERM in all threads that start later.
void BlockStopSignals();

/// Waits for SIGINT or SIGTERM.
void WaitForStopSignal();

/// Runs `body` and prints its problems to stderr; returns the exit code.
int RunProgram(const std::function<Result<void>()>& body);

}  // namespace bramleyspoke::StandIn
