#pragma once

#include <string>
#include <vector>

#include "version/crash_suspect.h"
#include "version/daemon_entry.h"
#include "version/leaf_registration.h"

namespace bramleyspoke {

/// A daemon's registration and its key in the store.
struct KeyedDaemon {
  std::string key;
  DaemonEntry daemon;

  bool operator==(const KeyedDaemon&) const = default;
};

/// A daemon's copy of the store's contents, for daemons that start while the
/// store is unavailable.
struct StoreKnowledge {
  /// Routes as stored; empty if the daemon has none.
  std::string routes;
  std::vector<LeafRegistration> leafs;
  std::vector<KeyedDaemon> daemons;
  std::vector<CrashSuspect> suspects;

  bool operator==(const StoreKnowledge&) const = default;
};

}  // namespace bramleyspoke
