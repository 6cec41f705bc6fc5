#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/peer.h"

namespace bramleyspoke {

class EventLoop;

/// At a start, asks other daemons in turn for what they know, if the store does
/// not answer in time.
class SeedReader {
 public:
  /// How long the store is given first.
  static constexpr Duration kStoreTime = std::chrono::milliseconds(600);
  /// For a seed's answer.
  static constexpr Duration kCallTime = std::chrono::milliseconds(800);
  /// Between one seed and the next.
  static constexpr Duration kPause = std::chrono::milliseconds(200);

  static std::unique_ptr<SeedReader> Create(EventLoop& loop,
                                            PeerNetwork& peers,
                                            std::vector<Endpoint> seeds);
  virtual ~SeedReader() = default;

  /// `done` comes on the loop, once at most.
  virtual void Start(std::function<void(const StoreKnowledge&)> done) = 0;
  /// The store has answered.
  virtual void Stop() = 0;
};

}  // namespace bramleyspoke
