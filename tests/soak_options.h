#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace bramleyspoke {

/// First half of a soak's addresses; soaks that run at a time need different
/// ones.
inline std::string SoakNetwork() {
  const char* number = std::getenv("BRAMLEYSPOKE_TEST_NETWORK");
  return "127." + std::string(number == nullptr ? "1" : number);
}

/// The seed given by the environment, or `fallback`.
inline std::uint64_t SoakSeed(std::uint64_t fallback) {
  const char* text = std::getenv("BRAMLEYSPOKE_SOAK_SEED");
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

}  // namespace bramleyspoke
