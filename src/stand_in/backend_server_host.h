#pragma once

#include <cstddef>
#include <memory>

#include "base/endpoint.h"
#include "base/result.h"
#include "stand_in/leaf_config.h"

namespace bramleyspoke::StandIn {

/// Runs many leafs in one process. Its control endpoint serves POST /fault,
/// GET /log?since=N and GET /counts.
class BackendServerHost {
 public:
  /// Distributes the leafs over `threads` event loops and starts the loops.
  static Result<std::unique_ptr<BackendServerHost>> Create(
      const BackendServerConfig& config,
      std::size_t threads);
  virtual ~BackendServerHost() = default;

  virtual Endpoint Control() const = 0;
};

}  // namespace bramleyspoke::StandIn
