#include "manifest_spread.h"

#include <ostream>

#include "follower_fleet.h"

namespace bramleyspoke {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);
constexpr Duration kWarmUp = std::chrono::seconds(40);
constexpr Duration kTimeout = std::chrono::seconds(60);

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void MeasureSpread(int daemons,
                   int loss_percent,
                   std::uint64_t seed,
                   std::ostream& out) {
  FollowerFleet fleet(daemons, seed);
  fleet.loss_percent = loss_percent;
  fleet.Publish();
  fleet.Run(kWarmUp);
  fleet.store_calls = 0;
  const TimePoint start = fleet.now;
  fleet.Publish();
  Duration time_to_99_percent = Duration::zero();
  int count = 0;
  while (count < daemons && fleet.now - start < kTimeout) {
    fleet.Run(kStep);
    count = fleet.CountAt(2);
    if (time_to_99_percent == Duration::zero() && count * 100 >= daemons * 99) {
      time_to_99_percent = fleet.now - start;
    }
  }
  out << R"({"bench":"manifest_spread","daemons":)" << daemons
      << R"(,"loss_percent":)" << loss_percent << R"(,"seed":)" << seed
      << R"(,"reached":)" << count << R"(,"seconds_to_99_percent":)"
      << ToSeconds(time_to_99_percent) << R"(,"seconds_to_all":)"
      << ToSeconds(fleet.now - start) << R"(,"store_calls":)"
      << fleet.store_calls << "}\n";
}

}  // namespace

void BenchManifestSpread(std::ostream& out) {
  for (const int daemons : {250, 1000, 2500, 5500}) {
    for (const int loss_percent : {0, 10}) {
      MeasureSpread(daemons, loss_percent, 1, out);
    }
  }
}

}  // namespace bramleyspoke
