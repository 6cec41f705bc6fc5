#include "connection/transit_delay.h"

#include <doctest/doctest.h>

namespace bramleyspoke {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

// The receiver's clock is behind the sender's.
constexpr Duration kOffset = hours(-3);
constexpr Duration kTransit = milliseconds(20);

Duration OnMessage(TransitDelay& delay, Duration sent, Duration waited) {
  return delay.OnMessage(sent, sent + kOffset + kTransit + waited);
}

}  // namespace

TEST_CASE("a message that waited before it was read shows for how long") {
  TransitDelay delay;
  CHECK(OnMessage(delay, hours(5), milliseconds(0)) == milliseconds(0));
  CHECK(OnMessage(delay, hours(5) + milliseconds(10), milliseconds(700)) ==
        milliseconds(700));
  CHECK(OnMessage(delay, hours(5) + milliseconds(20), milliseconds(1)) ==
        milliseconds(1));
}

TEST_CASE("a first message that waited is corrected by a faster one") {
  TransitDelay delay;
  CHECK(OnMessage(delay, hours(5), milliseconds(300)) == milliseconds(0));
  CHECK(OnMessage(delay, hours(5) + milliseconds(400), milliseconds(0)) ==
        milliseconds(0));
  CHECK(OnMessage(delay, hours(5) + milliseconds(500), milliseconds(300)) ==
        milliseconds(300));
}

TEST_CASE("the fastest message is remembered for a window and then replaced") {
  TransitDelay delay;
  OnMessage(delay, hours(5), milliseconds(0));
  const Duration later = hours(5) + TransitDelay::kWindow + milliseconds(1);
  CHECK(OnMessage(delay, later, milliseconds(50)) == milliseconds(50));
  const Duration much_later = later + TransitDelay::kWindow + milliseconds(1);
  CHECK(OnMessage(delay, much_later, milliseconds(50)) == milliseconds(0));
}

}  // namespace bramleyspoke
