#pragma once

#include <cstdint>
#include <cstdlib>

namespace bramleyspoke {

/// The seed given by the environment, or `fallback`.
inline std::uint64_t SoakSeed(std::uint64_t fallback) {
  const char* text = std::getenv("BRAMLEYSPOKE_SOAK_SEED");
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

}  // namespace bramleyspoke
