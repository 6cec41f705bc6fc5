#pragma once

#include <cstddef>
#include <memory>

#include "base/endpoint.h"
#include "base/result.h"
#include "stand_in/leaf_config.h"

namespace bramleyspoke::StandIn {

/// Many leafs in one process, with an endpoint that controls them:
/// POST /fault, GET /log?since=N, GET /counts.
class BackendServerHost {
 public:
  /// Leafs are spread over `threads` loops, which start at once.
  static Result<std::unique_ptr<BackendServerHost>> Create(
      const BackendServerConfig& config,
      std::size_t threads);
  virtual ~BackendServerHost() = default;

  virtual Endpoint Control() const = 0;
};

}  // namespace bramleyspoke::StandIn
