#pragma once

#include <cstdint>
#include <string>

#include "base/endpoint.h"
#include "base/time.h"

namespace bramleyspoke {

/// What a leaf that registers itself says of itself.
struct LeafRegistration {
  /// Name of the leaf; a request that names another one is not run by it.
  std::string id;
  /// Start of its process; tells two runs under the same id apart. 0: unsaid.
  std::int64_t started_at_ms = 0;
  std::string service;
  Endpoint address;
  std::string failure_domain;
  std::uint32_t slots = 1;
  bool is_draining = false;
  /// How much longer it is slow after its start.
  Duration cold_remaining{0};

  bool operator==(const LeafRegistration&) const = default;
};

}  // namespace bramleyspoke
