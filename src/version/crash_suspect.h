#pragma once

#include <cstdint>
#include <string>

namespace bramleyspoke {

/// A request that is refused because it crashes the leafs that run it.
struct CrashSuspect {
  /// Fingerprint of the request's content.
  std::uint64_t content = 0;
  /// The service whose leafs it crashes; empty if it is refused as a whole.
  std::string service;

  bool operator==(const CrashSuspect&) const = default;
};

}  // namespace bramleyspoke
