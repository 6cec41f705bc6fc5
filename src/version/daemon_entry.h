#pragma once

#include <cstdint>
#include <string>

#include "base/endpoint.h"

namespace bramleyspoke {

/// A daemon's registration in the store.
struct DaemonEntry {
  /// Address for callers.
  Endpoint address;
  /// Address for other daemons.
  Endpoint peer;
  std::string failure_domain;
  std::string region;
  /// Processing capacity: share of a core times its relative speed, in
  /// thousandths.
  std::uint32_t processor = 1000;
  /// Whether the daemon reaches no leafs: it hands requests over to others.
  bool is_cut_off = false;

  bool operator==(const DaemonEntry&) const = default;
};

}  // namespace bramleyspoke
