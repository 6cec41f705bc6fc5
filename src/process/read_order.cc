#include "process/read_order.h"

#include <algorithm>

#include "process/holder_choice.h"

namespace bramleyspoke {

Duration ChooseReadDelay(const DaemonEntry& self,
                         const std::vector<DaemonEntry>& daemons) {
  const auto earlier = std::count_if(
      daemons.begin(), daemons.end(), [&self](const DaemonEntry& other) {
        return other.region == self.region && IsPreferredHolder(other, self);
      });
  return std::min<Duration>(earlier * kReadInterval, kMaxReadDelay);
}

}  // namespace bramleyspoke
