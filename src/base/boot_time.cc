#include "base/boot_time.h"

#include <time.h>

namespace bramleyspoke {

Duration TimeSinceBoot() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace bramleyspoke
