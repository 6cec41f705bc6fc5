#pragma once

#include <memory>
#include <vector>

#include "base/endpoint.h"
#include "history.h"

namespace bramleyspoke::Harness {

/// Watches from outside which generation each daemon has in force, and what
/// the store's head lists; on a thread of its own.
class Observer {
 public:
  static std::unique_ptr<Observer> Start(std::vector<Endpoint> daemons,
                                         Endpoint store);
  virtual ~Observer() = default;

  /// Ends the watch and adds what was seen to `history`.
  virtual void Finish(History& history) = 0;
};

}  // namespace bramleyspoke::Harness
