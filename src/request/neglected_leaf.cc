#include "request/neglected_leaf.h"

#include <algorithm>

namespace bramleyspoke {
namespace {

TimePoint NeglectedSince(const RelayLeaf& leaf) {
  return std::max(leaf.last_sent_at, leaf.first_seen);
}

bool IsNeglected(const RelayService& service,
                 const RelayLeaf& leaf,
                 TimePoint now) {
  return leaf.load.InFlight() == 0 &&
         now - NeglectedSince(leaf) >= kNeglectTime &&
         service.sends - leaf.sends_of_service >= kNeglectSends;
}

// The round-trip time is left out: it is as old as the last response, and
// unlike the other costs it doesn't decay.
bool IsInTime(const RelayLeaf& leaf,
              const std::string& kind,
              TimePoint answer_by,
              TimePoint now) {
  return now + leaf.load.Cost(kind, now) - leaf.load.RoundTripTime() <
         answer_by;
}

}  // namespace

std::shared_ptr<RelayLeaf> FindNeglectedLeaf(const RelayService& service,
                                             const std::string& kind,
                                             TimePoint answer_by,
                                             TimePoint now) {
  std::shared_ptr<RelayLeaf> found;
  for (const auto& leaf : service.leafs) {
    if (leaf->is_near && IsNeglected(service, *leaf, now) &&
        StateOf(*leaf, now) == LeafState::kReady &&
        IsInTime(*leaf, kind, answer_by, now) &&
        (!found || NeglectedSince(*leaf) < NeglectedSince(*found))) {
      found = leaf;
    }
  }
  return found;
}

}  // namespace bramleyspoke
