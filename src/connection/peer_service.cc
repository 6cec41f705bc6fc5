#include "connection/peer_service.h"

#include <kj/debug.h>

#include <utility>

#include "base/boot_time.h"
#include "connection/knowledge_messages.h"

namespace bramleyspoke {
namespace {

// A fulfiller may be used and destroyed only on the kj thread, but the handler
// may reply on any thread. The reply callback therefore shares a slot with the
// call, which empties the slot when it ends.
template <typename Reply>
struct ReplySlot {
  kj::Own<kj::PromiseFulfiller<Reply>> fulfiller;
};

}  // namespace

PeerService::PeerService(std::shared_ptr<KjQueue> queue,
                         PeerHandler& handler,
                         kj::Timer& timer,
                         std::shared_ptr<CallActivity> activity)
    : m_queue(std::move(queue)),
      m_handler(handler),
      m_timer(timer),
      m_activity(std::move(activity)) {}

template <typename Reply>
kj::Promise<Reply> PeerService::CallHandler(
    const std::function<void(std::function<void(Reply)>)>& call) {
  auto pair = kj::newPromiseAndFulfiller<Reply>();
  auto slot = std::make_shared<ReplySlot<Reply>>();
  slot->fulfiller = kj::mv(pair.fulfiller);
  ++m_activity->calls_in_flight;
  call([queue = m_queue, slot](Reply reply) {
    queue->Post([slot, reply = std::move(reply)]() mutable {
      if (slot->fulfiller.get() != nullptr) {
        slot->fulfiller->fulfill(std::move(reply));
      }
    });
  });
  return pair.promise.attach(
      kj::defer([slot, activity = m_activity, &timer = m_timer] {
        slot->fulfiller = nullptr;
        --activity->calls_in_flight;
        activity->last_call_end = timer.now();
      }));
}

kj::Promise<void> PeerService::gossip(GossipContext context) {
  auto message = ReadGossip(context.getParams().getMessage());
  KJ_REQUIRE(message.has_value(), "malformed gossip");
  context.releaseParams();
  return CallHandler<GossipMessage>(
             [&](std::function<void(GossipMessage)> reply) {
               m_handler.OnGossip(std::move(*message), std::move(reply));
             })
      .then([context](GossipMessage reply) mutable {
        WriteGossip(reply, context.getResults().initReply());
      });
}

kj::Promise<void> PeerService::pingVia(PingViaContext context) {
  const auto text = context.getParams().getTarget();
  const auto target = ParseEndpoint({text.cStr(), text.size()});
  KJ_REQUIRE(target.has_value(), "malformed target");
  return CallHandler<bool>([&](std::function<void(bool)> reply) {
           m_handler.OnPingVia(*target, std::move(reply));
         })
      .then([context](bool is_alive) mutable {
        context.getResults().setAlive(is_alive);
      });
}

kj::Promise<void> PeerService::forward(ForwardContext context) {
  const auto params = context.getParams();
  const Duration time_left = std::chrono::milliseconds(params.getDeadlineMs());
  std::string body = FromData(params.getBody());
  context.releaseParams();
  return CallHandler<ForwardReply>(
             [&](std::function<void(ForwardReply)> reply) {
               m_handler.OnForward(std::move(body), time_left,
                                   std::move(reply));
             })
      .then([context](const ForwardReply& reply) mutable {
        context.getResults().setStatus(
            static_cast<std::uint16_t>(reply.status));
        context.getResults().setBody(AsData(reply.body));
      });
}

kj::Promise<void> PeerService::fetchParts(FetchPartsContext context) {
  std::vector<std::string> hashes = ReadTexts(context.getParams().getHashes());
  return CallHandler<std::vector<std::string>>(
             [&](std::function<void(std::vector<std::string>)> reply) {
               m_handler.OnFetchParts(std::move(hashes), std::move(reply));
             })
      .then([context](const std::vector<std::string>& parts) mutable {
        WriteBlobs(parts, context.getResults().initParts(parts.size()));
      });
}

kj::Promise<void> PeerService::fetchKnowledge(FetchKnowledgeContext context) {
  return CallHandler<StoreKnowledge>(
             [&](std::function<void(StoreKnowledge)> reply) {
               m_handler.OnFetchKnowledge(std::move(reply));
             })
      .then([context](const StoreKnowledge& knowledge) mutable {
        WriteKnowledge(knowledge, context.getResults().initKnowledge());
      });
}

kj::Promise<void> PeerService::watchStore(WatchStoreContext context) {
  const auto params = context.getParams();
  const PeerWatch watch{params.getEra(), params.getRevision(),
                        std::chrono::milliseconds(params.getWaitMs())};
  return CallHandler<KeyValueChanges>(
             [&](std::function<void(KeyValueChanges)> reply) {
               m_handler.OnWatchStore(watch, std::move(reply));
             })
      .then([context](const KeyValueChanges& changes) mutable {
        WriteChanges(changes, context.getResults().initChanges());
      });
}

// A query waits in the socket while this daemon has no processor time. Its
// caller waits meanwhile.
TimePoint PeerService::ArrivalOf(wire::ShardQuery::Reader query) {
  const TimePoint now = std::chrono::steady_clock::now();
  if (query.getSentAtUs() == 0) {
    return now;
  }
  const Duration sent = std::chrono::microseconds(query.getSentAtUs());
  return now - m_transit_delay.OnMessage(sent, TimeSinceBoot());
}

// Cancelling the call destroys its promise, which notifies the handler. The
// notification also comes after a reply, where it has no effect.
kj::Promise<void> PeerService::queryShards(QueryShardsContext context) {
  const wire::ShardQuery::Reader message = context.getParams().getQuery();
  ShardQuery query = ReadShardQuery(message, ArrivalOf(message));
  context.releaseParams();
  context.allowCancellation();
  std::function<void()> on_cancel;
  auto shard_answer =
      CallHandler<ShardAnswer>([&](std::function<void(ShardAnswer)> reply) {
        on_cancel = m_handler.OnQueryShards(std::move(query), std::move(reply));
      });
  return shard_answer
      .then([context](const ShardAnswer& answer) mutable {
        WriteShardAnswer(answer, context.getResults().initAnswer());
      })
      .attach(kj::defer(std::move(on_cancel)));
}

}  // namespace bramleyspoke
