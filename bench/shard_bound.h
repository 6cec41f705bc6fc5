#pragma once

#include "relay_load.h"

namespace bramleyspoke::Harness {

/// Mean credit of a load, from 0 to 1, if each shard's leafs were used with
/// full knowledge of every request's work, of stalls and of faults: each part
/// goes to the slot that ends it first, and is left out at no cost if no slot
/// ends it in time. No policy without that knowledge does better by much.
double BestMeanCredit(const RelayLoad& load, Duration from, Duration until);

}  // namespace bramleyspoke::Harness
