#pragma once

#include <memory>
#include <vector>

#include "base/endpoint.h"
#include "history.h"

namespace bramleyspoke::Harness {

/// Polls each daemon's generation in force and the publishes listed in the
/// store's head, on a separate thread.
class Observer {
 public:
  static std::unique_ptr<Observer> Start(std::vector<Endpoint> daemons,
                                         Endpoint store);
  virtual ~Observer() = default;

  /// Stops polling and adds the observations to `history`.
  virtual void Finish(History& history) = 0;
};

}  // namespace bramleyspoke::Harness
