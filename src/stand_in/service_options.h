#pragma once

#include "base/result.h"
#include "base/time.h"
#include "stand_in/faulty_server.h"

namespace bramleyspoke::StandIn {

/// Command-line options of the stand-in services.
struct ServiceOptions {
  ServicePorts ports;
  /// Delay until a VM list that is put becomes visible.
  Duration lag = Duration::zero();
};

/// Parses --listen IP:PORT, --control IP:PORT (default: the next port) and
/// --lag-ms N.
Result<ServiceOptions> ParseServiceOptions(int argc, char** argv);

}  // namespace bramleyspoke::StandIn
