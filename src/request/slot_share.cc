#include "request/slot_share.h"

#include <algorithm>

namespace bramleyspoke {

std::uint32_t SlotShare(const ServiceRoute& route) {
  const std::size_t holders =
      route.holders.empty() ? route.spec.holders : route.holders.size();
  const auto divisor =
      std::max<std::uint32_t>(1, static_cast<std::uint32_t>(holders));
  return std::max<std::uint32_t>(1, route.spec.slots / divisor);
}

}  // namespace bramleyspoke
