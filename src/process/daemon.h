#pragma once

#include <memory>

#include "base/result.h"

namespace bramleyspoke {

struct Settings;

/// A complete daemon: HTTP interface, traffic threads, peer server and control.
class Daemon {
 public:
  /// Binds all addresses; fails if one is unavailable.
  static Result<std::unique_ptr<Daemon>> Create(const Settings& settings);
  virtual ~Daemon() = default;

  /// Serves until a planned stop has ended. Returns false if the stop cut off
  /// requests.
  virtual bool Run() = 0;
};

}  // namespace bramleyspoke
