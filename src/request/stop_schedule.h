#pragma once

#include "base/time.h"

namespace bramleyspoke {

/// Times of a planned stop that bound what requests may still do.
struct StopSchedule {
  /// From then on, new requests are refused.
  TimePoint accept_until;
  /// By then, every request is answered.
  TimePoint answer_all_by;
};

}  // namespace bramleyspoke
