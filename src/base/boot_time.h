#pragma once

#include "base/time.h"

namespace bramleyspoke {

/// Time since the VM was started. Unlike the monotonic clock, it also runs
/// while the VM is suspended.
Duration TimeSinceBoot();

}  // namespace bramleyspoke
