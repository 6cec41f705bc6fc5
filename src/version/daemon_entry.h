#pragma once

#include <cstdint>
#include <string>

#include "base/endpoint.h"

namespace bramleyspoke {

/// A daemon as others find it.
struct DaemonEntry {
  /// Where it serves callers.
  Endpoint address;
  /// Where it serves other daemons.
  Endpoint peer;
  std::string failure_domain;
  std::string region;
  /// Of a core, in thousandths.
  std::uint32_t processor = 1000;

  bool operator==(const DaemonEntry&) const = default;
};

}  // namespace bramleyspoke
