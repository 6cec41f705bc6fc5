#include "request/fan_out_admission.h"

#include <algorithm>
#include <cmath>

namespace bramleyspoke {

// The queues shrink by one millisecond a millisecond if no more work arrives.
std::optional<Duration> FanOutAdmission::RetryAfter(double needed,
                                                    Duration time_left) const {
  const auto least = static_cast<std::size_t>(std::ceil(std::max(needed, 0.0)));
  if (least == 0 || least > m_latencies.size()) {
    return std::nullopt;
  }
  std::vector<Duration> sorted = m_latencies;
  const auto last = sorted.begin() + static_cast<std::ptrdiff_t>(least - 1);
  std::nth_element(sorted.begin(), last, sorted.end());
  if (*last <= time_left) {
    return std::nullopt;
  }
  return std::max(kMinRetryAfter, *last - time_left);
}

}  // namespace bramleyspoke
