#pragma once

#include <cstdint>
#include <string>

#include "base/endpoint.h"
#include "base/time.h"

namespace bramleyspoke {

/// A leaf's registration in the store, written by the leaf itself.
struct LeafRegistration {
  /// Name of the leaf. A leaf does not execute requests that name another leaf.
  std::string id;
  /// Start time of the leaf's process; distinguishes two runs with the same id.
  /// 0 if not reported.
  std::int64_t started_at_ms = 0;
  std::string service;
  Endpoint address;
  std::string failure_domain;
  /// Number of requests that the leaf executes concurrently.
  std::uint32_t slots = 1;
  bool is_draining = false;
  /// Remaining warm-up time, during which the leaf is slower than usual.
  Duration cold_remaining{0};

  bool operator==(const LeafRegistration&) const = default;
};

}  // namespace bramleyspoke
