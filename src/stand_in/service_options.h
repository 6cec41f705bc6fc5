#pragma once

#include "base/result.h"
#include "base/time.h"
#include "stand_in/faulty_server.h"

namespace bramleyspoke::StandIn {

/// Command line of the stand-in services.
struct ServiceOptions {
  ServicePorts ports;
  Duration lag = Duration::zero();
};

/// --listen A:P, --control A:P (default: the next port), --lag-ms N.
Result<ServiceOptions> ParseServiceOptions(int argc, char** argv);

}  // namespace bramleyspoke::StandIn
