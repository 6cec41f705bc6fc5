#pragma once

#include <kj/async.h>
#include <kj/timer.h>

#include <cstddef>
#include <memory>

#include "connection/kj_queue.h"
#include "connection/peer.h"
#include "connection/peer_messages.h"
#include "connection/transit_delay.h"

namespace bramleyspoke {

/// Number of calls in flight on one connection and when the last call ended.
struct CallActivity {
  std::size_t calls_in_flight = 0;
  kj::TimePoint last_call_end = kj::origin<kj::TimePoint>();
};

/// Serves the peer interface on one connection: converts Cap'n Proto calls to
/// calls of a `PeerHandler`.
class PeerService final : public wire::Peer::Server {
 public:
  PeerService(std::shared_ptr<KjQueue> queue,
              PeerHandler& handler,
              kj::Timer& timer,
              std::shared_ptr<CallActivity> activity);

 protected:
  kj::Promise<void> gossip(GossipContext context) override;
  kj::Promise<void> pingVia(PingViaContext context) override;
  kj::Promise<void> forward(ForwardContext context) override;
  kj::Promise<void> fetchParts(FetchPartsContext context) override;
  kj::Promise<void> fetchKnowledge(FetchKnowledgeContext context) override;
  kj::Promise<void> watchStore(WatchStoreContext context) override;
  kj::Promise<void> queryShards(QueryShardsContext context) override;

 private:
  /// Runs `call` with a reply callback and returns a promise of the reply.
  template <typename Reply>
  kj::Promise<Reply> CallHandler(
      const std::function<void(std::function<void(Reply)>)>& call);
  TimePoint ArrivalOf(wire::ShardQuery::Reader query);

  std::shared_ptr<KjQueue> m_queue;
  PeerHandler& m_handler;
  kj::Timer& m_timer;
  std::shared_ptr<CallActivity> m_activity;
  TransitDelay m_transit_delay;
};

}  // namespace bramleyspoke
