#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/key_value_store.h"
#include "connection/peer.h"

namespace bramleyspoke {

class EventLoop;
class PeerWatches;

/// A store whose watches go to a peer that follows the store, while there is a
/// source. All other calls go to the store itself.
///
/// What the store answers to watches is passed on to this daemon's own
/// `PeerWatches`, and so is what a peer answers.
class PeerFollowedStore : public KeyValueStore {
 public:
  /// Watches that wait no longer than this ask the store itself, as they are to
  /// show whether it is available.
  static constexpr Duration kMaxDirectWait = std::chrono::milliseconds(200);
  /// Longest wait of a watch at a peer.
  static constexpr Duration kPeerWait = std::chrono::seconds(5);
  /// Added to the wait to give the call's timeout.
  static constexpr Duration kTimeoutMargin = std::chrono::seconds(1);
  /// Time for which watches go to the store after a peer failed or lagged.
  static constexpr Duration kSourcePause = std::chrono::seconds(10);
  /// The same after a peer did not know the changes, as after its start.
  static constexpr Duration kUnknownRevisionPause = std::chrono::seconds(2);

  static std::unique_ptr<PeerFollowedStore> Create(
      EventLoop& loop,
      std::unique_ptr<KeyValueStore> store,
      PeerNetwork& peers,
      PeerWatches& watches);

  /// Sets the peer that watches go to from the next one on; none: the store.
  virtual void SetSource(std::optional<Endpoint> source) = 0;
};

}  // namespace bramleyspoke
