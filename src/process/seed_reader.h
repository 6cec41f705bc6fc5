#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/peer.h"

namespace bramleyspoke {

class EventLoop;

/// Fetches routes, leafs and daemons from peers, one after the other, if the
/// store does not answer in time at the start of this daemon.
class SeedReader {
 public:
  /// Time to wait for the store before the first peer is queried.
  static constexpr Duration kStoreGracePeriod = std::chrono::milliseconds(600);
  /// Timeout of one call.
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(800);
  /// Delay between a failed call and the next one.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(200);

  static std::unique_ptr<SeedReader> Create(EventLoop& loop,
                                            PeerNetwork& peers,
                                            std::vector<Endpoint> seeds);
  virtual ~SeedReader() = default;

  /// `done` is called on the loop, at most once.
  virtual void Start(std::function<void(const StoreKnowledge&)> done) = 0;
  /// Makes no further call for `delay` and the grace period; called if the
  /// store answers and is to be read on after that delay.
  virtual void Postpone(Duration delay) = 0;
  /// Stops the calls for good; called once the store has answered.
  virtual void Stop() = 0;
};

}  // namespace bramleyspoke
