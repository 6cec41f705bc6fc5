#pragma once

#include <cstdint>

namespace bramleyspoke {

/// Which exchange with a leaf this was; for the log.
struct ExchangePosition {
  /// Number of the connection in the process, from 1; 0 without one.
  std::uint64_t connection = 0;
  /// Number of the exchange on its connection, from 1.
  std::uint64_t exchange = 0;
};

}  // namespace bramleyspoke
