#pragma once

#include <string>
#include <vector>

#include "version/daemon_entry.h"
#include "version/leaf_registration.h"

namespace bramleyspoke {

/// A daemon and the key of its entry.
struct KeyedDaemon {
  std::string key;
  DaemonEntry daemon;

  bool operator==(const KeyedDaemon&) const = default;
};

/// What a daemon knows from the store, for one that starts while it is away.
struct StoreKnowledge {
  /// As the store has them; empty if it knows none.
  std::string routes;
  std::vector<LeafRegistration> leafs;
  std::vector<KeyedDaemon> daemons;

  bool operator==(const StoreKnowledge&) const = default;
};

}  // namespace bramleyspoke
