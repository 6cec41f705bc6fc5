#pragma once

#include <cstddef>

namespace bramleyspoke {

/// Requests in flight by what they wait for.
struct RequestStages {
  /// No leaf or peer has the request: it waits for a leaf with free capacity,
  /// for the retry budget or for the outcome of a trial.
  std::size_t waiting = 0;
  /// A leaf has it, or part of it.
  std::size_t at_leafs = 0;
  /// Only peers have it, or part of it.
  std::size_t at_peers = 0;
};

}  // namespace bramleyspoke
