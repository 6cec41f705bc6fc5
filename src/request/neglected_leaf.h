#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/time.h"
#include "request/leaf_table.h"

namespace bramleyspoke {

/// A leaf is neglected if this daemon has sent it no attempt for this long, and
/// this many to other leafs of its service.
constexpr Duration kNeglectTime = std::chrono::seconds(2);
constexpr std::uint64_t kNeglectSends = 50;

/// The leaf of `service` that has been neglected for longest and is to get a
/// request of this kind in place of the one of lowest cost; null if none.
///
/// Only responses say how a leaf is, and of two alike one may cost a little
/// less for good. Then the other one's last state would hold for as long: a
/// rate that it has ended, or slowness. Only ready leafs in this daemon's
/// region qualify that are expected to answer by `answer_by`.
std::shared_ptr<RelayLeaf> FindNeglectedLeaf(const RelayService& service,
                                             const std::string& kind,
                                             TimePoint answer_by,
                                             TimePoint now);

}  // namespace bramleyspoke
