#pragma once

#include <memory>

#include "base/result.h"

namespace bramleyspoke {

struct Settings;

/// A whole daemon: callers' interface, traffic, peers and control.
class Daemon {
 public:
  /// Binds all addresses; fails when one can't be had.
  static Result<std::unique_ptr<Daemon>> Create(const Settings& settings);
  virtual ~Daemon() = default;

  /// Serves until a planned stop has ended; false if it cut requests off.
  virtual bool Run() = 0;
};

}  // namespace bramleyspoke
